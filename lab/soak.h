// A randomized soak: a fleet of real relays under a drawn plan of overlapping faults of processes, machines,
// surroundings and endpoints, with the auditor as its oracle.
//
//   const SoakResult result = soak({.program = "build/myrtleloft", .shim = "build/libfault_shim.so"}, 7);
//   if (!result.held()) std::cerr << result.report;      // seed, plan, findings with their timelines
//
// The plan follows from the seed alone, so that a seed is enough to play it again. Times are real; what a
// busy machine adds is in AuditRules::slackMs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/fault_plan.h"
#include "lab/fleet_of_processes.h"

namespace myrtleloft::lab {

// The shortest time of a request in a play.
inline constexpr double kSoakLeastMessageMs = 700;

struct SoakOptions {
  std::string program, shim;
  int relays = 10;
  int faults = 80;
  double trafficMs = 12000, perSecond = 250;
};

struct SoakResult {
  bool played = false;  // all relays were up at the end
  std::vector<AuditFinding> findings;
  // What the relays' own guards withheld that no timing excuses (src/exchange/rule_guard.h).
  std::size_t violations = 0;
  std::string report;    // plan, findings, figures
  std::string evidence;  // of the first findings (lab/soak_evidence.h)
  std::string logs;      // of the relays whose names the findings hold; of all where there is none
  bool held() const { return played && findings.empty() && violations == 0; }
};

// The plan of a seed for such a fleet.
FaultPlan soakPlan(const FleetOfProcesses& fleet, std::uint64_t seed, int faults);
// Plays the plan of the seed, or `plan` where one is given.
SoakResult soak(const SoakOptions& options, std::uint64_t seed, const FaultPlan* plan = nullptr);

}  // namespace myrtleloft::lab
