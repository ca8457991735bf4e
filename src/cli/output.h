// Output of the commands that inspect a state folder: one object per line, as JSON or as key=value pairs.
//
// Thread-safe: there is no shared state.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace myrtleloft {

using Json = nlohmann::ordered_json;

// Returns the object as JSON on one line. Ids are sent by clients and may contain any bytes; those that are
// not valid UTF-8 are printed as replacement characters.
std::string jsonLine(const Json& json);
// Returns the object as JSON if `asJson` is set, otherwise as "key=value key=value ...".
std::string lineOf(const Json& json, bool asJson);

}  // namespace myrtleloft
