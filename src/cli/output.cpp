#include "cli/output.h"

namespace myrtleloft {

std::string jsonLine(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string lineOf(const Json& json, bool asJson) {
  if (asJson) return jsonLine(json);
  std::string text;
  for (const auto& [key, value] : json.items())
    text += (text.empty() ? "" : " ") + key + "=" +
            (value.is_string() ? value.get<std::string>() : jsonLine(value));
  return text;
}

}  // namespace myrtleloft
