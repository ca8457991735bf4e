// The patterns and texts of the steps that the player of recorded exchanges takes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace myrtleloft::testing {

// Whether the text fits a pattern in which each * stands for any bytes.
inline bool fits(std::string_view pattern, std::string_view text) {
  const std::size_t star = pattern.find('*');
  if (star == std::string_view::npos) return pattern == text;
  if (text.substr(0, star) != pattern.substr(0, star)) return false;
  text.remove_prefix(star);
  pattern.remove_prefix(star + 1);
  for (std::size_t skip = 0; skip <= text.size(); ++skip)
    if (fits(pattern, text.substr(skip))) return true;
  return false;
}

// What a step says, with its escapes as bytes.
inline std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char next = i + 1 < text.size() ? text[i + 1] : '\0';
    if (text[i] != '\\' || std::string_view("rn0").find(next) == std::string_view::npos) {
      out += text[i];
      continue;
    }
    out += next == 'r' ? '\r' : next == 'n' ? '\n' : '\0';
    ++i;
  }
  return out;
}

// The beginning of what came, for a message.
inline std::string shown(const std::string& text) {
  return text.size() > 600 ? text.substr(0, 600) + "..." : text;
}

}  // namespace myrtleloft::testing
