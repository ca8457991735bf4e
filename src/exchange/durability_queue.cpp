#include "exchange/durability_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace myrtleloft {
namespace {

// Share of the idempotency window in which a retry's last byte may be sent; the rest covers its transit time.
constexpr double kUsableWindowShare = 0.97;

}  // namespace

void DurabilityQueue::closeBatch() {
  if (staged_.accepted.empty() && staged_.calls.empty()) return;
  staged_.position = parts_.journal.position();
  waiting_.push_back(std::exchange(staged_, {}));
}

void DurabilityQueue::releaseDurable() {
  while (!waiting_.empty() && waiting_.front().position <= parts_.journal.durable()) {
    Batch batch = std::move(waiting_.front());
    waiting_.pop_front();
    for (const RequestHandle& request : batch.accepted) answerAccepted(request);
    for (PlannedCall& call : batch.calls) makeCall(call);
  }
  scheduleExpiry();
}

void DurabilityQueue::scheduleExpiry() {
  parts_.loop.cancel(expiryTimer_);
  double soonestMs = std::numeric_limits<double>::infinity();
  for (const Batch& batch : waiting_)
    for (const PlannedCall& call : batch.calls)
      for (const CallItem& item : call.items) soonestMs = std::min(soonestMs, item.answerDeadlineMs);
  if (soonestMs == std::numeric_limits<double>::infinity()) return;
  expiryTimer_ = parts_.loop.after(soonestMs - parts_.loop.nowMs(), [this] { expireCalls(); });
}

void DurabilityQueue::expireCalls() {
  expiryTimer_ = Loop::kNoTimer;
  const double nowMs = parts_.loop.nowMs();
  reportUnsent([nowMs](const PlannedCall&, const CallItem& item) { return item.answerDeadlineMs <= nowMs; });
  scheduleExpiry();
}

void DurabilityQueue::answerAccepted(const RequestHandle& handle) {
  OpenRequest* const request = parts_.requests.find(handle);
  if (request == nullptr || !parts_.requests.accept(*request)) return;
  ++parts_.counters.accepted;
  parts_.trace.accepted(handle.id);
  request->answerClient({Answer::Kind::kAccepted});
}

void DurabilityQueue::makeCall(PlannedCall& call) {
  const EndpointRecord* const endpoint = parts_.endpoints.find(call.endpoint);
  const bool isRunning = endpoint != nullptr && endpoint->info.state == EndpointState::kRunning;
  const double nowMs = parts_.loop.nowMs();
  std::vector<CallItem> items;
  for (CallItem& item : call.items) {
    const OpenRequest* const request = parts_.requests.find(item.id);
    const bool isUndecided = request != nullptr && request->isUndecided();
    if (isUndecided) item.sendDeadlineMs = sendDeadlineMs(*request);
    // While the call waited for the sync, the request may have completed, its deadline or its idempotency
    // window may have passed, or the endpoint may have been removed or begun to drain. The connect timeout
    // counts as well: a call that is still connecting at the end of the window would only be withdrawn then.
    const bool hasTime =
        nowMs < item.answerDeadlineMs && nowMs + parts_.settings.connectTimeoutMs <= item.sendDeadlineMs;
    if (isUndecided && isRunning && hasTime) {
      items.push_back(std::move(item));
    } else {
      parts_.unsent.reportRecorded(item.id, call.endpoint);
    }
  }
  if (!items.empty()) parts_.outbound.call(*endpoint, std::move(items));
}

// The module decides within the window, but the sync, the wait for a call slot, the connection or a slow
// endpoint may delay the call beyond it.
double DurabilityQueue::sendDeadlineMs(const OpenRequest& request) const {
  const ClassSettings& requestClass =
      parts_.settings.classes.at(static_cast<std::size_t>(request.pending.classIndex));
  const bool isRetry = request.pending.ambiguousAttempts.size() > 1;  // the last one is this call's own
  if (!isRetry || requestClass.idempotency != Idempotency::kIdempotentWithKey)
    return std::numeric_limits<double>::infinity();
  return request.firstAmbiguousMs + requestClass.idempotencyWindowMs * kUsableWindowShare;
}

std::size_t DurabilityQueue::reportUnsent(const ItemPredicate& affected) {
  std::size_t count = 0;
  for (Batch& batch : waiting_) {
    for (PlannedCall& call : batch.calls) {
      count += std::erase_if(call.items, [&](const CallItem& item) {
        if (!affected(call, item)) return false;
        parts_.unsent.reportRecorded(item.id, call.endpoint);
        return true;
      });
    }
  }
  return count;
}

bool DurabilityQueue::cancelCall(const std::string& id) {
  return reportUnsent([&id](const PlannedCall&, const CallItem& item) { return item.id == id; }) > 0;
}

void DurabilityQueue::withdrawCalls(const EndpointPredicate& affected) {
  reportUnsent([&](const PlannedCall& call, const CallItem&) { return affected(call.endpoint); });
  parts_.outbound.cancelUnsent(affected);
}

void DurabilityQueue::rejectWaiting() {
  for (const Batch& batch : std::exchange(waiting_, {})) {
    for (const RequestHandle& request : batch.accepted) rejectAccepted(request);
    for (const PlannedCall& call : batch.calls)
      for (const CallItem& item : call.items) parts_.unsent.reportRecorded(item.id, call.endpoint);
  }
}

void DurabilityQueue::rejectAccepted(const RequestHandle& handle) {
  OpenRequest* const request = parts_.requests.find(handle);
  if (request == nullptr || !parts_.requests.reject(*request)) return;
  parts_.quotas.refundRequest(request->charge, request->pending.classIndex);
  parts_.scheduler.push(ClientDisconnectEvent{handle.id});
  parts_.completions.rejectOnceRecorded(*request, FinalStatus::kReturned,
                                        {Answer::Kind::kRejected, kRetryAfterMs});
}

}  // namespace myrtleloft
