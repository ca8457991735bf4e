#include "lab/soak.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "lab/soak_evidence.h"

namespace myrtleloft::lab {
namespace {

constexpr double kSlackMs = 500, kWindowMs = 2500;
constexpr double kSocketSlackMs = 50;  // PROTOCOL's of every time limit on sockets
constexpr double kMostMessageMs = 6000;
constexpr int kReusedOfTen = 6, kBurst = 5, kHastyOfHundred = 8;
// Each relay's log has what became of each request.
constexpr const char* kTraces = "[log]\nformat = \"logfmt\"\nlevel = \"debug\"\n";
// Every other one syncs what it promises.
constexpr const char* kSynced = "[journal]\ndurability = \"group\"\n";
std::string operatorText(const FleetPlace& place) {
  return std::string(kTraces) + (std::atoi(place.name.c_str() + 1) % 2 == 0 ? kSynced : "");
}
constexpr const char* kViolation = "event=guard.violation";

std::size_t countOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

// The relays that the lines of the findings name.
std::string logsOf(const FleetOfProcesses& fleet, const std::vector<AuditFinding>& findings) {
  std::string text;
  std::vector<std::string> done;
  for (const AuditFinding& finding : findings)
    for (const std::size_t line : finding.lines) {
      const std::string& relay = fleet.history().records[line].relay;
      if (relay.empty() || std::find(done.begin(), done.end(), relay) != done.end()) continue;
      done.push_back(relay);
      text += fleet.logOf(relay);
    }
  return text;
}

}  // namespace

SoakResult soak(const SoakOptions& options, std::uint64_t seed, const FaultPlan* plan) {
  FleetOfProcesses fleet({.program = options.program,
                          .relays = options.relays,
                          .operatorText = operatorText,
                          .trafficMs = options.trafficMs,
                          .perSecond = options.perSecond,
                          .messageMs = kMostMessageMs,
                          .slackMs = kSlackMs,
                          .waitSlackMs = kSocketSlackMs,
                          .statusSlackMs = kSocketSlackMs,
                          .perEndpoint = options.perSecond,
                          .shim = options.shim,
                          .proxies = true,
                          .leastMessageMs = kSoakLeastMessageMs,
                          .reusedOfTen = kReusedOfTen,
                          .windowMs = kWindowMs,
                          .bulk = true,
                          .burst = kBurst,
                          .hastyOfHundred = kHastyOfHundred});
  SoakResult result;
  result.played = fleet.play(plan ? *plan : soakPlan(fleet, seed, options.faults));
  result.findings = fleet.judge();
  result.report = fleet.report() + fleet.shimCounts();
  const std::string logs = fleet.logs();
  result.violations = countOf(logs, kViolation);
  result.evidence = evidenceOf(result.findings, fleet.history(), logs);
  if (!result.held()) result.logs = result.findings.empty() ? logs : logsOf(fleet, result.findings);
  return result;
}

}  // namespace myrtleloft::lab
