// What a reader of a broken play needs to trace a request, short enough for CI's output.
#pragma once

#include <string>
#include <vector>

#include "lab/auditor.h"

namespace myrtleloft::lab {

// Of the first few findings: their lines, what befell their relay in that time, and what the relays' logs say
// of their request. `logs`: all of the relays' logs, one after the other.
std::string evidenceOf(const std::vector<AuditFinding>& findings, const FleetHistory& history,
                       const std::string& logs);

}  // namespace myrtleloft::lab
