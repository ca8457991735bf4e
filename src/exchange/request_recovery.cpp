#include "exchange/request_recovery.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

void RequestRecovery::recover(PendingTable& pendingRequests) {
  const double nowMs = parts_.loop.nowMs();
  const WallClock wall{parts_.journal.nowMs(), newestRecordedWallMs(pendingRequests),
                       parts_.directory.wallSetBackMs()};
  pendingRequests.take([&](RecoveredRequest request) { recover(std::move(request), wall, nowMs); });
}

void RequestRecovery::recover(RecoveredRequest recoveredRequest, const WallClock& wall, double nowMs) {
  ++parts_.counters.recovered;
  OpenRequest& request = parts_.requests.add(recoveredRequest.pending.id, RequestPhase::kAccepted);
  request.firstAmbiguousMs = nowMs;
  request.pending = std::move(recoveredRequest.pending);
  PendingRequest& pending = request.pending;
  request.charge = parts_.quotas.chargeFor(pending.tenant, "");  // the journal does not record its unit
  parts_.journal.attach(pending);
  parts_.guard.onRecovered(pending, wall.nowMs);
  const WallClock clock = recoveredRequest.timesKnown ? WallClock{wall.nowMs, 0, 0} : wall;
  request.deadlineMs = nowMs + pending.deadlineWallMs - clock.nowMs;
  if (pending.status != FinalStatus::kUndecided) {
    parts_.requests.giveUp(request);  // the earlier process gave it up
    return parts_.notifications.add(pending.id, pending.status, pending.retryAfterMs);
  }
  if (!mayContinue(pending, recoveredRequest.permission, parts_.settings, clock)) {
    parts_.requests.giveUp(request);
    return parts_.completions.recordFinalStatus(request, FinalStatus::kFailed, 0);
  }
  const double maxLifetimeMs =
      parts_.settings.classes.at(static_cast<std::size_t>(pending.classIndex)).maxLifetimeMs;
  RequestEvent event = requestEventOf(pending, nowMs, clock, maxLifetimeMs);
  request.deadlineMs = event.deadlineMs;
  for (const AmbiguousAttempt& attempt : event.ambiguousAttempts)
    request.firstAmbiguousMs = std::min(request.firstAmbiguousMs, attempt.sentMs);
  parts_.scheduler.enqueue(std::move(event));
}

void RequestRecovery::rememberCompleted(const std::deque<PendingRequest>& completedRequests) {
  const double nowMs = parts_.loop.nowMs();
  const double journalNowMs = parts_.journal.nowMs();
  for (const PendingRequest& request : completedRequests) {
    const auto index = static_cast<std::size_t>(request.classIndex);
    const bool isKnown = index < parts_.settings.classes.size();
    if (isKnown && parts_.settings.classes[index].idempotency == Idempotency::kIdempotent) continue;
    parts_.completed.add(request, CompletedRequests::Ending::kFailed,
                         nowMs + request.deadlineWallMs - journalNowMs, nowMs);
  }
}

}  // namespace myrtleloft
