// A fault at one key of the JSON configuration. What reads the file turns it into a ConfigError with the line
// and the column of the key.
#pragma once

#include <string>
#include <utility>

#include "myrtleloft/relay.h"

namespace myrtleloft {

struct KeyFault : ConfigError {
  KeyFault(std::string key, const std::string& what) : ConfigError(key + ": " + what), key(std::move(key)) {}
  std::string key;  // "settings.classes[2].repeat", or a variable of the environment
};

[[noreturn]] inline void refuse(const std::string& key, const std::string& what) {
  throw KeyFault(key, what);
}

}  // namespace myrtleloft
