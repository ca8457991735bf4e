// Parsing of values in the simulator's wire format: decimal numbers, booleans as 0, 1, false or true, and
// comma-separated lists.
//
//   finiteNumber("2.5")        // 2.5
//   integer("many")            // throws WireError: "not a whole number: 'many'"
//   commaList("1,0,")          // "1", "0", ""
//
// No state, thread-safe. Cost: linear in the text. The views returned refer to the text that was passed in.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace myrtleloft::wire {

// Malformed input. The message names the field, if there is one, and quotes what was found.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Quotes the first 80 bytes of the text, for error messages.
std::string quoted(std::string_view text);

// Parses the whole text as a number. Returns std::nullopt if it is not a number or out of range.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text) {
  Number value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

// Each parses the whole text, and throws WireError if it is not such a value.
double finiteNumber(std::string_view text);
std::int64_t integer(std::string_view text);
bool boolean(std::string_view text);  // an empty text is false

// Calls `visit` with each part of the text between separators; an empty text has one empty part.
template <typename Visit>
void split(std::string_view text, char separator, Visit visit) {
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t end = std::min(text.find(separator, at), text.size());
    visit(text.substr(at, end - at));
    at = end + 1;
  }
}

// Splits a comma-separated list; an empty text has no items.
std::vector<std::string_view> commaList(std::string_view text);

}  // namespace myrtleloft::wire
