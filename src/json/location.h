// Where in a JSON text the value of a key stands, for whoever has to mend it. Looked up only once there is a
// fault to tell, so that reading itself costs nothing more.
//
//   locationOf(text, "settings.classes[2].repeat")   // {line, column}, from 1
//
// Safe for several threads; O(text).
#pragma once

#include <cstddef>
#include <string_view>

namespace myrtleloft::json {

struct Location {
  std::size_t line = 1, column = 1;  // columns in bytes
};

// `text` must have been parsed without a fault. `path`: names and indices, set apart by dots; an index may
// stand in brackets. Where a part of it is missing, the place of the object or list that lacks it.
Location locationOf(std::string_view text, std::string_view path);
// Of a byte.
Location locationAt(std::string_view text, std::size_t byte);

}  // namespace myrtleloft::json
