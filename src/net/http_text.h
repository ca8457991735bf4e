// Lexical helpers for HttpReader: case-insensitive names, tokens, numbers and comma-separated lists.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace myrtleloft {

inline char toLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

// Header names and keywords are case-insensitive.
inline bool equalsIgnoreCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, toLower, toLower);
}

inline bool isTokenCharacter(char character) {
  return (character >= '0' && character <= '9') || (toLower(character) >= 'a' && toLower(character) <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}
inline bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

// Whether it is a printable ASCII character other than a space. A plain `char` is signed on some
// architectures and unsigned on others, so bytes above 0x7f are excluded by an unsigned comparison.
inline bool isVisible(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte > 0x20 && byte < 0x7f;
}
inline bool isVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) { return isVisible(character); });
}

// Returns the text without leading and trailing spaces and tabs.
inline std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Returns std::nullopt if the text is not made of digits only or the number is too large.
inline std::optional<std::uint64_t> parseNumber(std::string_view text, int base) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Returns true if a comma-separated list, such as the Connection header, contains the word.
inline bool listContains(std::string_view list, std::string_view word) {
  for (std::size_t at = 0; at <= list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    if (equalsIgnoreCase(trimmed(list.substr(at, end - at)), word)) return true;
    at = end + 1;
  }
  return false;
}

}  // namespace myrtleloft
