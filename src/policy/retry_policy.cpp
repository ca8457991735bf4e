#include "policy/retry_policy.h"

#include "policy/constants.h"
#include "state/portable_math.h"

namespace myrtleloft::policy {

bool mayReject(const Request& request) {
  const ClassSettings& settings = *request.settings;
  return !request.mayHaveExecuted() || settings.idempotency == Idempotency::kIdempotent ||
         (settings.idempotency == Idempotency::kIdempotentWithKey &&
          settings.deduplicationScope == DeduplicationScope::kDestination);
}

bool exhausted(const BatchContext& batch, const Request& request) {
  const auto permitted = [&](const Endpoint* endpoint) {
    return endpoint->open && mayAttempt(batch, request, *endpoint);
  };
  return hasNoAttemptLeft(batch, request) ||
         (request.mayHaveExecuted() && std::ranges::none_of(request.destination->endpoints, permitted));
}

bool hasNoAttemptLeft(const BatchContext& batch, const Request& request) {
  return request.ambiguousZones.size() >= kMaxAmbiguousAttempts ||
         (batch.settings.maxAttempts > 0 && request.attempts >= batch.settings.maxAttempts);
}

void recordAmbiguousAttempt(const BatchContext& batch, Request& request, double sentMs, int zone) {
  // Further attempts must arrive within the idempotency window even if they wait for a connection as long as
  // connecting may take.
  const double windowMs = request.settings->idempotencyWindowMs * kIdempotencyWindowShare;
  if (!request.mayHaveExecuted() && request.settings->idempotency == Idempotency::kIdempotentWithKey)
    request.sendByMs = std::min(request.deadlineMs, sentMs + windowMs - batch.settings.connectTimeoutMs);
  request.ambiguousZones.push_back(zone);
}

double attemptTimeoutMs(const BatchContext& batch, const Request& request, double typicalLatencyMs) {
  double timeoutMs = request.deadlineMs - batch.nowMs();
  if (safeToRetry(request)) {
    const double share = request.ambiguousZones.size() + 1 < kMaxAmbiguousAttempts ? kAttemptTimeShare : 1;
    const double latencyLimitMs =
        std::max(kTimeoutLatencyFactor * typicalLatencyMs, request.objectiveSpanMs * kTimeoutObjectiveFactor);
    timeoutMs = std::min(timeoutMs * share, latencyLimitMs * portable::exp2(request.timeouts));
    if (request.settings->idempotency == Idempotency::kIdempotentWithKey)
      timeoutMs = std::min(timeoutMs, request.settings->idempotencyWindowMs * kAttemptTimeShare);
  }
  return std::max(1.0, timeoutMs);
}

}  // namespace myrtleloft::policy

namespace myrtleloft {

std::optional<AmbiguousAttempt> attemptByAnotherRelay(const ClassSettings& settings, double deadlineMs) {
  if (settings.idempotency != Idempotency::kIdempotentWithKey) return std::nullopt;
  return AmbiguousAttempt{AmbiguousAttempt::kUnknownZone, deadlineMs - settings.maxLifetimeMs};
}

}  // namespace myrtleloft
