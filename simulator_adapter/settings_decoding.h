// Decodes the settings of the decision module from the simulator's wire format. The relay uses the same
// function for its own configuration (config/settings_section.h), so that both interpret settings alike.
//
//   const Settings settings =
//   decodeSettings(Fields("randomSeed=7\tclasses.count=1\tclasses.0.hardLimitMs=20000"));
//
// No state, thread-safe. Cost: quadratic in the number of fields, as each lookup scans all fields.
#pragma once

#include "myrtleloft/dispatcher.h"
#include "simulator_adapter/wire_fields.h"

namespace myrtleloft::wire {

// Missing fields get defaults, and so do fields with an unknown enumeration value. Throws WireError at the
// first malformed value.
Settings decodeSettings(const Fields& fields);

}  // namespace myrtleloft::wire
