// The larger sections of the operator's file, each read in a source of its own.
#pragma once

#include <string>

#include "config/operator_file.h"
#include "config/section.h"

namespace myrtleloft {

void readMembership(Section& s, OperatorFile::Membership& m);
void readQuota(Section& s, QuotaPlan& plan);
// `relay`: the own name, which may not be among the peers; empty: not known, and not looked at.
void readFleet(Section& s, const std::string& relay, FleetPlan& plan);

}  // namespace myrtleloft
