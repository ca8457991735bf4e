#include "audit/version_watch.h"

#include <cmath>
#include <utility>

namespace myrtleloft {

void VersionWatch::onTold(double nowMs, std::optional<double> sentMs, const std::string& peer,
                          const AuditTold& told, const OwnDecisions& own, const AuditTuning& tuning,
                          AuditCounters& counters, std::vector<AuditReport>& reports) {
  if (sentMs && nowMs - std::exchange(wordMs_, nowMs) > tuning.agreeForMs) parts_ = {};
  bool first = true;
  for (std::size_t i = 0; i < kRulesParts; ++i) {
    const auto name = static_cast<RulesPart>(i);
    Part& part = parts_[i];
    // What it had ahead of this relay is no sign that it stays behind.
    const bool ahead = part.seen && own.hadSince(name, *part.seen, part.seenMs);
    if (told.version.parts[i] == own.version().parts[i] || ahead) part = Part();
    if (told.version.parts[i] == own.version().parts[i]) continue;
    // It may have had the same since.
    if (!sentMs || own.hadSince(name, told.version.parts[i], *sentMs)) continue;
    if (part.seen) ++part.times;
    if (!part.sinceMs) part.sinceMs = nowMs;
    part.seen = told.version.parts[i];
    part.seenMs = nowMs;
    if (!first || part.times == 0) continue;
    first = false;
    const bool late = nowMs - *part.sinceMs >= tuning.lateMs;
    if (part.told && (part.late || !late)) continue;
    part.told = true;
    part.late = late;
    counters.late += late;
    AuditReport& report = reports.emplace_back();
    report.kind = late ? AuditReport::Kind::kLateVersion : AuditReport::Kind::kOtherVersion;
    report.peer = peer;
    report.version = shortText(told.version.digest());
    report.part = name;
    report.forMs = nowMs - *part.sinceMs;
    const double heldMs = nowMs - own.heldSinceMs(name), theirsMs = told.heldS[i] * 1000.0;
    if (name == RulesPart::kList && told.listRev != own.listRev())
      report.older = told.listRev < own.listRev() ? OlderVersion::kThere : OlderVersion::kHere;
    else if (std::abs(heldMs - theirsMs) > tuning.everyMs)
      report.older = theirsMs > heldMs ? OlderVersion::kThere : OlderVersion::kHere;
  }
}

std::optional<RulesPart> VersionWatch::differing() const {
  for (std::size_t i = 0; i < kRulesParts; ++i)
    if (parts_[i].times > 0) return static_cast<RulesPart>(i);
  return std::nullopt;
}

}  // namespace myrtleloft
