// The tab-separated name=value fields of one line of the simulator's wire format.
//
//   const Fields fields("corr=ae5a\tnotAfterMs=20100.0");
//   fields.number("notAfterMs")          // 20100
//   fields.integerOr("destination", 0)   // 0, as there is no such field
//
// Unknown names are ignored. The line must outlive the fields and all views that they return. Immutable and
// therefore thread-safe.
// Cost: each lookup is linear in the fields.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "simulator_adapter/wire_values.h"

namespace myrtleloft::wire {

class Fields {
 public:
  // `line` is the line without its message name. Throws WireError if a part is not name=value.
  explicit Fields(std::string_view line);

  // If a name occurs several times, the first field counts. `text`, `number` and `integer` throw WireError if
  // the field is missing. All functions that convert a value throw WireError, naming the field, if it is
  // malformed.
  bool has(std::string_view name) const;
  std::string_view text(std::string_view name) const;
  std::string_view textOr(std::string_view name, std::string_view fallback) const;
  double number(std::string_view name) const;
  double numberOr(std::string_view name, double fallback) const;
  std::int64_t integer(std::string_view name) const;
  std::int64_t integerOr(std::string_view name, std::int64_t fallback) const;
  bool flag(std::string_view name) const;  // false if the field is missing
  // Comma-separated lists, empty if the field is missing.
  std::vector<double> numberList(std::string_view name) const;
  std::vector<std::int64_t> integerList(std::string_view name) const;
  std::vector<bool> flagList(std::string_view name) const;

 private:
  struct Field {
    std::string_view name;
    std::string_view value;
  };

  std::vector<Field> fields_;
};

}  // namespace myrtleloft::wire
