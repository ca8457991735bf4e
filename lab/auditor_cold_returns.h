// The auditor's rule on endpoints that are back from an outage, and cold: how many calls they may get.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lab/auditor.h"
#include "lab/auditor_timeline.h"

namespace myrtleloft::lab {

// Told the records in their order.
class ColdReturns {
 public:
  ColdReturns(const AuditRules& rules, const FleetHistory& history, const AuditorTimeline& time)
      : rules_(rules), history_(history), time_(time) {}

  // A new process knows nothing of earlier outages.
  void onStarted(const std::string& relay);
  void onOutage(const FleetRecord& outage);
  void onBack(const FleetRecord& back) { endpoints_[back.endpoint].backMs = back.atMs; }
  void onCapacity(const FleetRecord& capacity) { endpoints_[capacity.endpoint].perSecond = capacity.ms; }
  // A call was answered, or its connection ended.
  void onOutcome(const FleetRecord& outcome);
  // A call or a probe, which is that line of the history: the lines of those that are too many, this one
  // last; once for each outage.
  std::vector<std::size_t> onArrival(const FleetRecord& arrival, std::size_t line);

 private:
  struct Endpoint {
    double fromMs = kForEver, backMs = kForEver;
    bool found = false;
    double perSecond = 0;
    std::set<std::string> told;        // relays that saw a call fail while it was out
    std::vector<std::size_t> arrived;  // since it is back
  };

  const AuditRules& rules_;
  const FleetHistory& history_;
  const AuditorTimeline& time_;
  std::map<std::string, Endpoint> endpoints_;
};

}  // namespace myrtleloft::lab
