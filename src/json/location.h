// Finds the line and column of a value in a JSON text, for error messages. The text is searched only when an
// error is reported, so that parsing does not have to record locations.
//
//   locationOf(text, "settings.classes[2].repeat")   // {line, column}, from 1
//
// Thread-safe; O(text).
#pragma once

#include <cstddef>
#include <string_view>

namespace myrtleloft::json {

// A position in a text, counted from 1. Columns are counted in bytes.
struct Location {
  std::size_t line = 1, column = 1;
};

// Returns the location of the value at `path` in a text that must be valid JSON. The path consists of names
// and indices separated by dots; an index may also be in brackets. If a component does not exist, returns the
// location of the object or array in which it is missing.
Location locationOf(std::string_view text, std::string_view path);
// Returns the location of the byte at this offset.
Location locationAt(std::string_view text, std::size_t byte);

}  // namespace myrtleloft::json
