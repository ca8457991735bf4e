// Converts the operator's rules for the age of the endpoint list into the options of discovery/freshness.h.
// Used by the relay and by the command-line tools for the endpoint list. O(classes named in the section).
#pragma once

#include "config/operator_file.h"
#include "discovery/freshness.h"

namespace myrtleloft {

FreshnessTuning freshnessTuning(const OperatorFile::EndpointListSection& section);

}  // namespace myrtleloft
