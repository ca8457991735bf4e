// Whether another relay has the same version of the rules, and for how long it has not, part by part.
//
// Versions change under way: what another had when its word left may be what this relay had until now, or
// will have in a moment. A word counts as *other* only where it answers a word of this relay, this relay had
// nothing of the kind since it sent that one, and does not come to have it before the next word either. So a
// list that changes all the time is no sign of anything, and one that is a rev behind at each word shows.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "audit/audit_message.h"
#include "audit/audit_report.h"
#include "audit/own_decisions.h"

namespace myrtleloft {

class VersionWatch {
 public:
  // `sentMs`: when the word left here that `told` is the answer to; not known: it can only show that both are
  // equal.
  void onTold(double nowMs, std::optional<double> sentMs, const std::string& peer, const AuditTold& told,
              const OwnDecisions& own, const AuditTuning& tuning, AuditCounters& counters,
              std::vector<AuditReport>& reports);
  // The first part that was other at two words in a row; it stands until both are equal.
  std::optional<RulesPart> differing() const;

 private:
  struct Part {
    std::optional<Hash> seen;  // at the last word that was other
    double seenMs = 0;
    std::optional<double> sinceMs;
    int times = 0;  // beyond the first
    bool told = false, late = false;
  };
  std::array<Part, kRulesParts> parts_;
  double wordMs_ = 0;  // the last one that was an answer
};

}  // namespace myrtleloft
