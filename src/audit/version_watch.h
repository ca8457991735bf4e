// Tracks for each part of the rules whether a peer has the same version, and for how long it has not.
//
// Versions change while messages are in flight: a digest report may carry a version that this relay had until
// just now or will have in a moment. A report counts as different only if it acknowledges a report of this
// relay, this relay has not had that version since it sent the acknowledged report, and it does not get that
// version before the next report either. Therefore an endpoint list that changes all the time is not
// reported, but a peer that is one revision behind in every report is.
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
  // `sentMs` is when the report that `digestReport` acknowledges was sent. If it is not known, the digest
  // report can only show that the versions are equal.
  void onDigestReport(double nowMs, std::optional<double> sentMs, const std::string& peer,
                      const DigestReport& digestReport, const OwnDecisions& own, const AuditTuning& tuning,
                      AuditCounters& counters, std::vector<AuditReport>& reports);
  // The first part that differed in two consecutive reports, until it is equal again.
  std::optional<RulesPart> differingPart() const;

 private:
  struct Part {
    std::optional<Hash> lastDifferent;  // the digest in the last report that differed
    double lastDifferentMs = 0;
    std::optional<double> sinceMs;
    int repeats = 0;  // number of differing reports after the first
    bool reported = false, late = false;
  };
  std::array<Part, kRulesParts> parts_;
  double lastReportMs_ = 0;  // time of the last report that acknowledged one of ours
};

}  // namespace myrtleloft
