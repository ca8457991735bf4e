#include "exchange/recovered.h"

#include <algorithm>

namespace myrtleloft {
namespace {

// An age that exceeds any idempotency window.
constexpr double kLongAgoMs = 1e12;

// A recorded time in the future shows that the wall clock was set back.
bool wasSetBack(const WallClock& wall) { return wall.newestMs > wall.nowMs; }

// Whether a class permitted less than it does now.
bool isStricter(const RetryPermission& permission, const ClassSettings& now) {
  if (permission.idempotency != now.idempotency) return permission.idempotency > now.idempotency;
  if (now.idempotency != Idempotency::kIdempotentWithKey) return false;
  const bool wasZone = permission.deduplicationScope == DeduplicationScope::kZone;
  const bool isZone = now.deduplicationScope == DeduplicationScope::kZone;
  return (wasZone && !isZone) || permission.idempotencyWindowMs < now.idempotencyWindowMs;
}

}  // namespace

double newestRecordedWallMs(const PendingTable& table) {
  double newestMs = 0;
  for (const RecoveredRequest& request : table) {
    if (request.timesKnown) continue;
    newestMs = std::max(newestMs, request.pending.acceptedWallMs);
    for (const RecordedAttempt& attempt : request.pending.ambiguousAttempts)
      newestMs = std::max(newestMs, attempt.sentWallMs);
  }
  return newestMs;
}

bool mayContinue(PendingRequest& pending, const std::optional<RetryPermission>& permission,
                 const Settings& settings, const WallClock& wall) {
  if (static_cast<std::size_t>(pending.classIndex) >= settings.classes.size() ||
      pending.tenant == NameTranslation::kUnconfigured)
    return false;
  if (!permission) return true;
  const ClassSettings& classNow = settings.classes[static_cast<std::size_t>(pending.classIndex)];
  if (pending.ambiguousAttempts.empty()) {
    pending.nonIdempotent = pending.nonIdempotent || isStricter(*permission, classNow);
    return true;
  }
  if (permission->idempotency > classNow.idempotency) return false;
  // If the class is non-idempotent now, the module retries nothing. If it is idempotent now, it was
  // idempotent when the attempt was made, too.
  if (classNow.idempotency != Idempotency::kIdempotentWithKey) return true;
  if (permission->idempotency != Idempotency::kIdempotentWithKey) return !pending.key.empty();
  if (permission->deduplicationScope == DeduplicationScope::kZone &&
      classNow.deduplicationScope != DeduplicationScope::kZone)
    return false;
  const double windowReductionMs = classNow.idempotencyWindowMs - permission->idempotencyWindowMs;
  if (windowReductionMs <= 0) return true;
  if (wasSetBack(wall)) return false;
  for (RecordedAttempt& attempt : pending.ambiguousAttempts) attempt.sentWallMs -= windowReductionMs;
  return true;
}

RequestEvent requestEventOf(const PendingRequest& pending, double nowMs, const WallClock& wall,
                            double maxLifetimeMs) {
  RequestEvent event;
  event.id = pending.id;
  event.classIndex = pending.classIndex;
  event.tenant = pending.tenant;
  event.deadlineMs = nowMs + std::min(pending.deadlineWallMs - wall.nowMs, maxLifetimeMs);
  event.destination = pending.destination;
  event.isRetry = pending.isRetry;
  event.nonIdempotent = pending.nonIdempotent;
  event.attempts = pending.attempts;
  for (const RecordedAttempt& attempt : pending.ambiguousAttempts) {
    const double ageMs = wasSetBack(wall) ? kLongAgoMs : wall.nowMs - attempt.sentWallMs + wall.setBackMs;
    event.ambiguousAttempts.push_back({attempt.zone, nowMs - ageMs});
  }
  return event;
}

}  // namespace myrtleloft
