#include "exchange/durability_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace myrtleloft {
namespace {

// The part of an idempotency window in which a retry's last byte may leave: it still has its way to go.
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
}

void DurabilityQueue::answerAccepted(const RequestHandle& handle) {
  OpenRequest* const request = parts_.requests.find(handle);
  if (request == nullptr || !parts_.requests.accept(*request)) return;
  ++parts_.counters.taken;
  parts_.trace.taken(handle.id);
  request->answerClient({Answer::Kind::kAccepted});
}

void DurabilityQueue::makeCall(PlannedCall& call) {
  const EndpointRecord* const endpoint = parts_.endpoints.find(call.endpoint);
  const bool isRunning = endpoint != nullptr && endpoint->info.state == EndpointState::kRunning;
  std::vector<CallItem> items;
  for (CallItem& item : call.items) {
    const OpenRequest* const request = parts_.requests.find(item.id);
    const bool isUndecided = request != nullptr && request->isUndecided();
    if (isUndecided) item.leaveByMs = sendDeadlineMs(*request);
    // While it waited for the disk the request may have completed, its idempotency window may have passed, or
    // the endpoint may have gone or begun to drain. The time to connect counts: at the window's end the call
    // would only be withdrawn.
    if (isUndecided && isRunning &&
        parts_.loop.nowMs() + parts_.settings.connectTimeoutMs <= item.leaveByMs) {
      items.push_back(std::move(item));
    } else {
      parts_.unsent.reportRecorded(item.id, call.endpoint);
    }
  }
  if (!items.empty()) parts_.outbound.call(*endpoint, std::move(items));
}

// The module decided inside the window; the disk, a call slot, the connection or the endpoint may take any
// time.
double DurabilityQueue::sendDeadlineMs(const OpenRequest& request) const {
  const ClassSettings& requestClass =
      parts_.settings.classes.at(static_cast<std::size_t>(request.pending.classIndex));
  const bool isRetry = request.pending.ambiguousAttempts.size() > 1;  // the last one is this call's own
  if (!isRetry || requestClass.idempotency != Idempotency::kIdempotentWithKey)
    return std::numeric_limits<double>::infinity();
  return request.firstAmbiguousMs + requestClass.idempotencyWindowMs * kUsableWindowShare;
}

bool DurabilityQueue::cancelCall(const std::string& id) {
  for (Batch& batch : waiting_) {
    for (PlannedCall& call : batch.calls) {
      const auto item = std::find_if(call.items.begin(), call.items.end(),
                                     [&](const CallItem& candidate) { return candidate.id == id; });
      if (item == call.items.end()) continue;
      call.items.erase(item);
      parts_.unsent.reportRecorded(id, call.endpoint);
      return true;
    }
  }
  return false;
}

void DurabilityQueue::withdrawCalls(const EndpointPredicate& affected) {
  for (Batch& batch : waiting_) {
    for (PlannedCall& call : batch.calls) {
      if (!affected(call.endpoint)) continue;
      for (const CallItem& item : std::exchange(call.items, {}))
        parts_.unsent.reportRecorded(item.id, call.endpoint);
    }
  }
  parts_.outbound.recall(affected);
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
