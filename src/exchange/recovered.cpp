#include "exchange/recovered.h"

#include <algorithm>

namespace myrtleloft {
namespace {

// Older than any idempotency window.
constexpr double kLongAgoMs = 1e12;

// A recorded time lies in the future: the clock must have been set back.
bool wasSetBack(const WallClock& wall) { return wall.newestMs > wall.nowMs; }

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
  if (pending.ambiguousAttempts.empty() || !permission) return true;
  const ClassSettings& classNow = settings.classes[static_cast<std::size_t>(pending.classIndex)];
  if (permission->idempotency > classNow.idempotency) return false;
  // Non-idempotent: the module retries nothing. Idempotent: it was so then too.
  if (classNow.idempotency != Idempotency::kIdempotentWithKey) return true;
  if (permission->idempotency != Idempotency::kIdempotentWithKey) return !pending.key.empty();
  if (permission->deduplicationScope == DeduplicationScope::kZone &&
      classNow.deduplicationScope != DeduplicationScope::kZone)
    return false;
  const double shorterMs = classNow.idempotencyWindowMs - permission->idempotencyWindowMs;
  if (shorterMs <= 0) return true;
  if (wasSetBack(wall)) return false;
  for (RecordedAttempt& attempt : pending.ambiguousAttempts) attempt.sentWallMs -= shorterMs;
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
  event.attempts = pending.attempts;
  for (const RecordedAttempt& attempt : pending.ambiguousAttempts) {
    const double agoMs = wasSetBack(wall) ? kLongAgoMs : wall.nowMs - attempt.sentWallMs + wall.setBackMs;
    event.ambiguousAttempts.push_back({attempt.zone, nowMs - agoMs});
  }
  return event;
}

}  // namespace myrtleloft
