#include "policy/cached_list_hold.h"

#include "policy/constants.h"

namespace myrtleloft::policy {

void CachedListHold::recordCachedList(const BatchContext& batch) {
  if (maxWaitMs_ > 0) untilMs_ = batch.nowMs() + maxWaitMs_;
}

void CachedListHold::admit(BatchContext& batch, Request& request) {
  if (batch.nowMs() >= untilMs_) return;
  request.heldUntilMs = batch.nowMs() + (request.sendByMs - batch.nowMs()) * kListConfirmationShare;
  if (pollRequested_) return;
  pollRequested_ = true;
  batch.emit(WatchEndpointListAction{true});
}

bool CachedListHold::isWaiting(BatchContext& batch) const {
  if (batch.nowMs() >= untilMs_) return false;
  batch.wakeNoLaterThan(untilMs_);
  return true;
}

bool CachedListHold::holds(BatchContext& batch, const Request& request) const {
  const double untilMs = std::min(untilMs_, request.heldUntilMs);
  if (batch.nowMs() >= untilMs) return false;
  batch.wakeNoLaterThan(untilMs);
  return true;
}

}  // namespace myrtleloft::policy
