// The operator's section [membership] and the configuration as the parts of src/discovery/ take them.
#pragma once

#include "config/config.h"
#include "discovery/membership.h"
#include "discovery/trust.h"
#include "discovery/watch.h"

namespace myrtleloft {

TrustTuning trustTuning(const OperatorFile::Membership& membership);
Membership::Options membershipOptions(const Config& config);
DiscoveryWatch::Options watchOptions(const Config& config);

}  // namespace myrtleloft
