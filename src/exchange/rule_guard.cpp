#include "exchange/rule_guard.h"

#include <algorithm>
#include <array>

namespace myrtleloft {
namespace {

// In the order of Violation. Operators search the log for these names, so they must not change.
constexpr std::array<const char*, kViolations> kNames = {
    "after-completion", "after-deadline",     "non-idempotent-repeated",
    "outside-window",   "outside-scope",      "hedged",
    "draining",         "before-retry-after", "rejected-after-attempt",
    "future-record"};
constexpr double kClockToleranceMs = 1;  // two clock readings of the same moment may differ this much

// The idempotency by which the request is retried.
Idempotency idempotencyOf(const PendingRequest& pending, const ClassSettings& requestClass) {
  return pending.nonIdempotent ? Idempotency::kNonIdempotent : requestClass.idempotency;
}

}  // namespace

const char* nameOf(Violation violation) { return kNames.at(static_cast<std::size_t>(violation)); }

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
  const auto retryAfter = retryAfterUntilMs_.find(upstreamOf(*endpoint));
  if (retryAfter != retryAfterUntilMs_.end() && facts.nowMs < retryAfter->second)
    return Violation::kBeforeRetryAfter;
  return violationOfRetry(facts, settings_.classes.at(static_cast<std::size_t>(facts.pending.classIndex)));
}

std::optional<Violation> RuleGuard::violationOfRetry(const SendFacts& facts,
                                                     const ClassSettings& requestClass) const {
  const Idempotency idempotency = idempotencyOf(facts.pending, requestClass);
  if (facts.pending.ambiguousAttempts.size() < 2 || idempotency == Idempotency::kIdempotent)
    return std::nullopt;
  if (idempotency == Idempotency::kNonIdempotent) return Violation::kNonIdempotentRepeated;
  if (facts.nowMs > facts.firstAmbiguousMs + requestClass.idempotencyWindowMs)
    return Violation::kOutsideWindow;
  const auto inAnotherZone = [&](const RecordedAttempt& attempt) {
    return attempt.zone != facts.endpoint->info.zone;
  };
  const bool leavesScope = requestClass.deduplicationScope == DeduplicationScope::kZone &&
                           std::ranges::any_of(facts.pending.ambiguousAttempts, inAnotherZone);
  return leavesScope ? std::optional(Violation::kOutsideScope) : std::nullopt;
}

bool RuleGuard::mayReject(const PendingRequest& pending) const {
  return pending.ambiguousAttempts.empty() || mayExecuteAgain(pending);
}

bool RuleGuard::mayNextProcessReject(const PendingRequest& pending) const {
  return mayReject(pending) && (!pending.recordedAsAmbiguous || mayExecuteAgain(pending));
}

bool RuleGuard::mayExecuteAgain(const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes.at(static_cast<std::size_t>(pending.classIndex));
  const Idempotency idempotency = idempotencyOf(pending, requestClass);
  return idempotency == Idempotency::kIdempotent ||
         (idempotency == Idempotency::kIdempotentWithKey &&
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
  std::erase_if(retryAfterUntilMs_, [nowMs](const auto& entry) { return entry.second <= nowMs; });
  double& untilMs = retryAfterUntilMs_[upstreamOf(endpoint)];
  untilMs = std::max(untilMs, nowMs + retryAfterMs);
}

void RuleGuard::onRecovered(const PendingRequest& pending, double nowMs) {
  if (pending.acceptedWallMs > nowMs + kClockToleranceMs) report(Violation::kFutureRecord, pending.id);
}

void RuleGuard::report(Violation violation, const std::string& id) {
  ++counters_.guard.at(static_cast<std::size_t>(violation));
  const LogLevel level = isFault(violation) ? LogLevel::kError : LogLevel::kWarning;
  log_.write(
      level, isFault(violation) ? "guard.violation" : "guard.withheld",
      std::string(isFault(violation) ? "guard.violation " : "guard.withheld ") + nameOf(violation) + " " + id,
      {{"rule", nameOf(violation)}, {"id", id}});
}

}  // namespace myrtleloft
