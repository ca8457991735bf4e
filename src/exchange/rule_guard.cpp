#include "exchange/rule_guard.h"

#include <algorithm>
#include <array>

namespace myrtleloft {
namespace {

// In the order of Violation; operators search the log for them.
constexpr std::array<const char*, kViolations> kWords = {
    "after-completion", "after-deadline",     "non-idempotent-repeated",
    "outside-window",   "outside-scope",      "hedged",
    "draining",         "before-retry-after", "rejected-after-attempt",
    "future-record"};
constexpr double kClockToleranceMs = 1;  // two readings of one moment may differ by that

}  // namespace

const char* wordOf(Violation violation) { return kWords.at(static_cast<std::size_t>(violation)); }

bool isFault(Violation violation) {
  return violation == Violation::kAfterCompletion || violation == Violation::kNonIdempotentRepeated ||
         violation == Violation::kOutsideScope || violation == Violation::kHedged ||
         violation == Violation::kRejectedAfterAttempt;
}

std::optional<Violation> RuleGuard::violationOfSend(const SendFacts& facts) const {
  if (facts.pending.status != FinalStatus::kUndecided) return Violation::kAfterCompletion;
  if (facts.nowMs > facts.deadlineMs) return Violation::kAfterDeadline;
  if (facts.anotherInFlight) return Violation::kHedged;
  const EndpointRecord* endpoint = facts.endpoint;
  if (!endpoint || endpoint->info.state != EndpointState::kRunning || endpoint->address.text != facts.address)
    return Violation::kDraining;
  const auto wait = retryAfterUntilMs_.find(upstreamOf(*endpoint));
  if (wait != retryAfterUntilMs_.end() && facts.nowMs < wait->second) return Violation::kBeforeRetryAfter;
  return violationOfRetry(facts, settings_.classes.at(static_cast<std::size_t>(facts.pending.classIndex)));
}

std::optional<Violation> RuleGuard::violationOfRetry(const SendFacts& facts,
                                                     const ClassSettings& requestClass) const {
  if (facts.pending.ambiguousAttempts.size() < 2 || requestClass.idempotency == Idempotency::kIdempotent)
    return std::nullopt;
  if (requestClass.idempotency == Idempotency::kNonIdempotent) return Violation::kNonIdempotentRepeated;
  if (facts.nowMs > facts.firstAmbiguousMs + requestClass.idempotencyWindowMs)
    return Violation::kOutsideWindow;
  const auto elsewhere = [&](const RecordedAttempt& attempt) {
    return attempt.zone != facts.endpoint->info.zone;
  };
  const bool leavesScope = requestClass.deduplicationScope == DeduplicationScope::kZone &&
                           std::ranges::any_of(facts.pending.ambiguousAttempts, elsewhere);
  return leavesScope ? std::optional(Violation::kOutsideScope) : std::nullopt;
}

bool RuleGuard::mayReject(const PendingRequest& pending) const {
  return pending.ambiguousAttempts.empty() || mayRunAgain(pending);
}

bool RuleGuard::mayNextProcessReject(const PendingRequest& pending) const {
  return mayReject(pending) && (!pending.recordedAsAmbiguous || mayRunAgain(pending));
}

bool RuleGuard::mayRunAgain(const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes.at(static_cast<std::size_t>(pending.classIndex));
  return requestClass.idempotency == Idempotency::kIdempotent ||
         (requestClass.idempotency == Idempotency::kIdempotentWithKey &&
          requestClass.deduplicationScope == DeduplicationScope::kDestination);
}

std::string RuleGuard::upstreamOf(const EndpointRecord& endpoint) const {
  const auto kind = static_cast<std::size_t>(std::max(0, endpoint.info.kind));
  const bool hasSeparateLimit =
      kind < settings_.kindHasSeparateLimits.size() && settings_.kindHasSeparateLimits[kind];
  return hasSeparateLimit ? endpoint.info.endpoint
                          : "destination " + std::to_string(endpoint.info.destination);
}

void RuleGuard::onRetryAfter(const EndpointRecord& endpoint, double nowMs, double retryAfterMs) {
  std::erase_if(retryAfterUntilMs_, [nowMs](const auto& wait) { return wait.second <= nowMs; });
  double& until = retryAfterUntilMs_[upstreamOf(endpoint)];
  until = std::max(until, nowMs + retryAfterMs);
}

void RuleGuard::onRecovered(const PendingRequest& pending, double nowMs) {
  if (pending.acceptedWallMs > nowMs + kClockToleranceMs) report(Violation::kFutureRecord, pending.id);
}

void RuleGuard::report(Violation violation, const std::string& id) {
  ++counters_.guard.at(static_cast<std::size_t>(violation));
  const LogLevel level = isFault(violation) ? LogLevel::kError : LogLevel::kWarning;
  log_.write(
      level, isFault(violation) ? "guard.violation" : "guard.withheld",
      std::string(isFault(violation) ? "guard.violation " : "guard.withheld ") + wordOf(violation) + " " + id,
      {{"rule", wordOf(violation)}, {"id", id}});
}

}  // namespace myrtleloft
