// How the readers of the JSON configuration report a fault: by the path of its key. `readConfig` adds line
// and column, which only it can look up.
//
//   rejectKey("settings.classes[2].repeat", "expected repeatable, by_key or once");
//
// No state; safe for several threads.
#pragma once

#include <string>

#include "json/location.h"
#include "myrtleloft/relay.h"

namespace myrtleloft {

// Throws ConfigError with the text "KEY: WHAT". `key`: a path in the file, or a variable of the environment.
[[noreturn]] inline void rejectKey(const std::string& key, const std::string& what) {
  throw ConfigError(key + ": " + what, {"", key, 0, 0});
}

// `what`, with line and column.
inline std::string withPlace(const std::string& what, const json::Location& place) {
  return what + " (line " + std::to_string(place.line) + ", column " + std::to_string(place.column) + ")";
}

}  // namespace myrtleloft
