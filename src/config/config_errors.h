// Errors of the readers of the JSON configuration. A reader reports the path of the key; `readConfig`, which
// has the text of the file, adds line and column.
//
//   rejectKey("settings.classes[2].repeat", "expected repeatable, by_key or once");
//
// Thread-safe: there is no shared state.
#pragma once

#include <string>

#include "json/location.h"
#include "myrtleloft/relay.h"

namespace myrtleloft {

// Throws a ConfigError with the text "KEY: WHAT". `key` is a path in the file or an environment variable.
[[noreturn]] inline void rejectKey(const std::string& key, const std::string& what) {
  throw ConfigError(key + ": " + what, {"", key, 0, 0});
}

// The same for a file that is missing, incomplete or cannot be read for now.
[[noreturn]] inline void rejectUnavailable(const std::string& key, const std::string& what) {
  throw ConfigError(key + ": " + what, {"", key, 0, 0}, ConfigErrorKind::kUnavailable);
}

// Returns `what` with line and column appended.
inline std::string withPlace(const std::string& what, const json::Location& place) {
  return what + " (line " + std::to_string(place.line) + ", column " + std::to_string(place.column) + ")";
}

}  // namespace myrtleloft
