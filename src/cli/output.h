// How the commands that look into a folder print: one object a line, as JSON or as key=value.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace myrtleloft {

using Json = nlohmann::ordered_json;

// Ids are what clients sent: bytes that are no UTF-8 are shown as replacement characters.
std::string jsonLine(const Json& json);
// "key=value ..." of an object's plain members, or its JSON.
std::string lineOf(const Json& json, bool asJson);

}  // namespace myrtleloft
