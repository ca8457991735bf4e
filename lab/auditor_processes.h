// The auditor's rules on processes and half requests: a process ends only when it is told to, is ready in
// time, and rids itself in time of clients that stop in the middle of a request.
#pragma once

#include <vector>

#include "lab/auditor.h"
#include "lab/auditor_timeline.h"

namespace myrtleloft::lab {

// `FleetRecord::status` of kTrouble and kCalm: what it is that fails.
inline constexpr int kNetworkTrouble = 1, kDiskTrouble = 2;
// ... of one whose writes may begin late, which excuses no start.
inline constexpr int kHeldUpTrouble = 3;
inline constexpr double kLongestHoldMs = 150;

// Appends what it finds. O(records x relays).
void judgeProcesses(const AuditRules& rules, const FleetHistory& history, const AuditorTimeline& time,
                    std::vector<AuditFinding>& findings);

}  // namespace myrtleloft::lab
