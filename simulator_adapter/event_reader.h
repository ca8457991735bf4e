// Converts lines of the simulator's wire format to events of the decision module.
//
//   readEvent("HANGUP", Fields("forwarderId=f0\tcorr=ae5a"), sheets, instances);   // adds an event to f0
//
// Not thread-safe. Cost: linear in the line.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "myrtleloft/dispatcher.h"
#include "simulator_adapter/instance_table.h"
#include "simulator_adapter/wire_fields.h"

namespace myrtleloft::wire {

// The endpoint lists (SHEET) that the simulator has sent, by the number it gave them. A list that reuses a
// number replaces the earlier one.
class EndpointSheets {
 public:
  static constexpr std::size_t kCount = 16;

  static bool isNumber(std::int64_t number) {
    return number >= 0 && number < static_cast<std::int64_t>(kCount);
  }
  void set(std::int64_t number, std::vector<EndpointInfo> endpoints) {
    sheets_.at(static_cast<std::size_t>(number)) = std::move(endpoints);
  }
  // Returns nullptr if the number is out of range or no list with it has been sent.
  const std::vector<EndpointInfo>* find(std::int64_t number) const;

 private:
  std::array<std::optional<std::vector<EndpointInfo>>, kCount> sheets_;
};

// Reads an entry of an endpoint list from the fields of a TARGET line. Throws WireError if one is malformed.
EndpointInfo readEndpoint(const Fields& fields);

// Adds the event to its instance. Events that the decision module does not use only select the instance for a
// decision. Throws WireError if the event is unknown or malformed, or names an unknown instance.
void readEvent(std::string_view name, const Fields& fields, const EndpointSheets& sheets,
               InstanceTable& instances);

}  // namespace myrtleloft::wire
