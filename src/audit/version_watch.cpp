#include "audit/version_watch.h"

#include <cmath>
#include <utility>

namespace myrtleloft {

void VersionWatch::onDigestReport(double nowMs, std::optional<double> sentMs, const std::string& peer,
                                  const DigestReport& digestReport, const OwnDecisions& own,
                                  const AuditTuning& tuning, AuditCounters& counters,
                                  std::vector<AuditReport>& reports) {
  if (sentMs && nowMs - std::exchange(lastReportMs_, nowMs) > tuning.agreementValidMs) parts_ = {};
  bool first = true;
  for (std::size_t i = 0; i < kRulesParts; ++i) {
    const auto name = static_cast<RulesPart>(i);
    Part& part = parts_[i];
    // If this relay has since had the version that differed, the peer was merely ahead of it.
    const bool ahead =
        part.lastDifferent && own.hasHeldSince(name, *part.lastDifferent, part.lastDifferentMs);
    if (digestReport.version.parts[i] == own.version().parts[i] || ahead) part = Part();
    if (digestReport.version.parts[i] == own.version().parts[i]) continue;
    // Without an acknowledged report, or if this relay had that version since, the difference proves nothing.
    if (!sentMs || own.hasHeldSince(name, digestReport.version.parts[i], *sentMs)) continue;
    if (part.lastDifferent) ++part.repeats;
    if (!part.sinceMs) part.sinceMs = nowMs;
    part.lastDifferent = digestReport.version.parts[i];
    part.lastDifferentMs = nowMs;
    if (!first || part.repeats == 0) continue;
    first = false;
    const bool late = nowMs - *part.sinceMs >= tuning.lateVersionMs;
    if (part.reported && (part.late || !late)) continue;
    part.reported = true;
    part.late = late;
    counters.late += late;
    AuditReport& report = reports.emplace_back();
    report.kind = late ? AuditReport::Kind::kLateVersion : AuditReport::Kind::kOtherVersion;
    report.peer = peer;
    report.version = shortText(digestReport.version.digest());
    report.part = name;
    report.forMs = nowMs - *part.sinceMs;
    const double heldMs = nowMs - own.heldSinceMs(name), remoteHeldMs = digestReport.heldS[i] * 1000.0;
    if (name == RulesPart::kList && digestReport.listRev != own.listRev())
      report.older = digestReport.listRev < own.listRev() ? OlderVersion::kThere : OlderVersion::kHere;
    else if (std::abs(heldMs - remoteHeldMs) > tuning.roundIntervalMs)
      report.older = remoteHeldMs > heldMs ? OlderVersion::kThere : OlderVersion::kHere;
  }
}

std::optional<RulesPart> VersionWatch::differingPart() const {
  for (std::size_t i = 0; i < kRulesParts; ++i)
    if (parts_[i].repeats > 0) return static_cast<RulesPart>(i);
  return std::nullopt;
}

}  // namespace myrtleloft
