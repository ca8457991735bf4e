#include "exchange/rule_guard.h"

#include <algorithm>
#include <array>

namespace myrtleloft {
namespace {

constexpr std::array<const char*, kViolations> kNames = {
    "after-end",   "after-time", "once-repeated", "outside-window",    "outside-group",
    "second-copy", "draining",   "told-to-wait",  "refused-after-run", "future-record"};
constexpr double kClockStepMs = 1;  // what two readings of one moment may differ by

}  // namespace

const char* nameOf(Violation violation) { return kNames.at(static_cast<std::size_t>(violation)); }

bool isFault(Violation violation) {
  return violation == Violation::kAfterEnd || violation == Violation::kOnceRepeated ||
         violation == Violation::kOutsideGroup || violation == Violation::kSecondCopy ||
         violation == Violation::kRefusedAfterRun;
}

std::optional<Violation> RuleGuard::forbidsSend(const SendFacts& facts) const {
  if (facts.owed.verdict != Verdict::kNone) return Violation::kAfterEnd;
  if (facts.nowMs > facts.notAfterMs) return Violation::kAfterTime;
  const auto cls = static_cast<std::size_t>(facts.owed.cls);
  if (facts.out) return Violation::kSecondCopy;
  const EndpointEntry* endpoint = facts.endpoint;
  if (!endpoint || endpoint->entry.state != RouteState::kRunning || endpoint->address.text != facts.address)
    return Violation::kDraining;
  const auto wait = waitsUntilMs_.find(scopeOf(*endpoint));
  if (wait != waitsUntilMs_.end() && facts.nowMs < wait->second) return Violation::kToldToWait;
  return forbidsRepeat(facts, settings_.classes.at(cls));
}

std::optional<Violation> RuleGuard::forbidsRepeat(const SendFacts& facts, const ClassSettings& cls) const {
  if (facts.owed.doubts.size() < 2 || cls.repeat == Repeat::kRepeatable) return std::nullopt;
  if (cls.repeat == Repeat::kOnce) return Violation::kOnceRepeated;
  if (facts.nowMs > facts.firstDoubtMs + cls.memorySpanMs) return Violation::kOutsideWindow;
  const auto elsewhere = [&](const Doubt& doubt) { return doubt.zone != facts.endpoint->entry.zone; };
  const bool leavesGroup = cls.group == Group::kZone && std::ranges::any_of(facts.owed.doubts, elsewhere);
  return leavesGroup ? std::optional(Violation::kOutsideGroup) : std::nullopt;
}

bool RuleGuard::mayRefuse(const OwedRequest& owed) const {
  if (owed.doubts.empty()) return true;
  const ClassSettings& cls = settings_.classes.at(static_cast<std::size_t>(owed.cls));
  return cls.repeat == Repeat::kRepeatable || (cls.repeat == Repeat::kByKey && cls.group == Group::kAll);
}

std::string RuleGuard::scopeOf(const EndpointEntry& endpoint) const {
  const auto kind = static_cast<std::size_t>(std::max(0, endpoint.entry.kind));
  const bool apart = kind < settings_.kindApart.size() && settings_.kindApart[kind];
  return apart ? endpoint.entry.target : "destination " + std::to_string(endpoint.entry.destination);
}

void RuleGuard::toldToWait(const EndpointEntry& endpoint, double nowMs, double waitMs) {
  std::erase_if(waitsUntilMs_, [nowMs](const auto& wait) { return wait.second <= nowMs; });
  double& until = waitsUntilMs_[scopeOf(endpoint)];
  until = std::max(until, nowMs + waitMs);
}

void RuleGuard::onRecovered(const OwedRequest& owed, double recordedNowMs) {
  if (owed.takenWallMs > recordedNowMs + kClockStepMs) withhold(Violation::kFutureRecord, owed.id);
}

void RuleGuard::withhold(Violation violation, const std::string& id) {
  ++counters_.guard.at(static_cast<std::size_t>(violation));
  const LogLevel level = isFault(violation) ? LogLevel::kError : LogLevel::kWarning;
  log_.write(
      level, isFault(violation) ? "guard.violation" : "guard.withheld",
      std::string(isFault(violation) ? "guard.violation " : "guard.withheld ") + nameOf(violation) + " " + id,
      {{"rule", nameOf(violation)}, {"id", id}});
}

}  // namespace myrtleloft
