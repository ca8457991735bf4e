// What the auditor found, for who has to read it.
#include <array>
#include <string>

#include "lab/auditor.h"

namespace myrtleloft::lab {
namespace {

constexpr std::array<const char*, 16> kRuleNames = {
    "lost",    "unanswered", "stranger",    "other destination", "once twice",    "keyed outside",
    "two out", "drained",    "wait broken", "cold overrun",      "after its end", "after a fail-fast",
    "exited",  "not ready",  "half kept",   "statuses differ"};

}  // namespace

const char* nameOf(Rule rule) { return kRuleNames.at(static_cast<std::size_t>(rule)); }

std::string describe(const AuditFinding& finding, const FleetHistory& history) {
  std::string text = std::string("broken: ") + nameOf(finding.rule) + " " + finding.id + "\n";
  for (const std::size_t line : finding.lines) text += "  " + history.line(line) + "\n";
  return text;
}

}  // namespace myrtleloft::lab
