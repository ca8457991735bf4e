#include "exchange/journaled_sends.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

// Size of an item of a bulk call without its id, key and body.
constexpr std::size_t kItemFrameBytes = 40;
// Largest size of one printable byte after JSON escaping.
constexpr std::size_t kMaxEscapedBytes = 2;
constexpr double kMinTimeoutMs = 1;

std::size_t maxBytesOf(const CallItem& item) {
  const std::size_t base64Bytes = (item.body.size() + 2) / 3 * 4;
  return (item.id.size() + item.key.size()) * kMaxEscapedBytes + base64Bytes + kItemFrameBytes;
}

}  // namespace

std::vector<PlannedCall> JournaledSends::record(const std::vector<const SendAction*>& sends,
                                                double decidedMs) {
  std::vector<PlannedCall> calls;
  for (const SendAction* send : sends) plan(*send, calls);
  for (PlannedCall& call : calls) recordAttempts(call, decidedMs);
  std::erase_if(calls, [](const PlannedCall& call) { return call.items.empty(); });
  return calls;
}

std::size_t JournaledSends::batchSizeOf(int kind) const {
  const std::vector<int>& sizes = parts_.settings.kindBatchSize;
  const auto index = static_cast<std::size_t>(std::max(0, kind));
  return index < sizes.size() ? static_cast<std::size_t>(std::max(1, sizes[index])) : 1;
}

void JournaledSends::plan(const SendAction& send, std::vector<PlannedCall>& calls) {
  const OpenRequest* const request = parts_.requests.find(send.id);
  const EndpointRecord* const endpoint = parts_.endpoints.find(send.endpoint);
  // The request was rejected after the decision, or the endpoint was removed from the list. The send must be
  // reported, or its call slot would never be freed.
  if (request == nullptr || endpoint == nullptr)
    return parts_.unsent.reportUnrecorded(send.id, send.endpoint);
  const double leftMs =
      std::max(kMinTimeoutMs, request->deadlineMs - kDeadlineMarginMs - parts_.loop.nowMs());
  const double timeoutMs = send.timeoutMs > 0 ? std::min(send.timeoutMs, leftMs) : leftMs;
  const PendingRequest& pending = request->pending;
  CallItem item{pending.id, pending.key, pending.body, timeoutMs, parts_.loop.nowMs() + leftMs};
  const std::size_t bytes = maxBytesOf(item);
  const auto fitting = std::find_if(calls.begin(), calls.end(), [&](const PlannedCall& call) {
    return call.endpoint == send.endpoint && call.items.size() < batchSizeOf(endpoint->info.kind) &&
           call.bytes + bytes < kBodyLimit;  // a bulk call's body has the same limit as any other
  });
  PlannedCall& call =
      fitting != calls.end() ? *fitting : calls.emplace_back(PlannedCall{send.endpoint, 0, {}});
  call.bytes += bytes;
  call.items.push_back(std::move(item));
}

void JournaledSends::recordAttempts(PlannedCall& call, double decidedMs) {
  const EndpointRecord& endpoint = *parts_.endpoints.find(call.endpoint);
  const RecordedAttempt attempt{call.endpoint, endpoint.info.zone, parts_.journal.nowMs(), 0};
  std::vector<CallItem> recorded;
  for (CallItem& item : call.items) {
    OpenRequest& request = parts_.requests.at(item.id);
    if (request.pending.ambiguousAttempts.empty()) request.firstAmbiguousMs = decidedMs;
    if (!parts_.journal.recordAttempt(request.pending, attempt)) {
      ++parts_.counters.journalFaults;
      defer({item.id, call.endpoint, attempt.zone, parts_.loop.nowMs() + item.timeoutMs});
      continue;
    }
    parts_.quotas.chargeCall(request.charge);
    parts_.trace.called(item.id, call.endpoint, request.pending.attempts - 1);
    if (request.pending.attempts > 1) ++parts_.counters.retries;
    recorded.push_back(std::move(item));
  }
  call.items = std::move(recorded);
}

bool JournaledSends::cancel(const std::string& id) {
  const auto send = findDeferred(id);
  if (send == deferred_.end()) return false;
  send->expiresMs = 0;
  return true;
}

void JournaledSends::drop(const std::string& id) {
  const auto send = findDeferred(id);
  if (send == deferred_.end()) return;
  const std::string endpoint = send->endpoint;
  deferred_.erase(send);
  parts_.unsent.reportUnrecorded(id, endpoint);
}

void JournaledSends::defer(UnrecordedSend send) {
  const double nowMs = parts_.loop.nowMs();
  const double retryMs = std::min(nowMs + parts_.journal.faultPauseMs(), send.expiresMs);
  deferred_.push_back(std::move(send));
  if (timer_ != Loop::kNoTimer && timer_.first <= retryMs) return;
  parts_.loop.cancel(timer_);
  timer_ = parts_.loop.after(retryMs - nowMs, [this] { retryRecords(); });
}

// A send whose attempt can be recorded now is nevertheless reported as not sent: the module chose its
// endpoint before the disk fault, and must choose again.
void JournaledSends::retryRecords() {
  timer_ = Loop::kNoTimer;
  for (UnrecordedSend& send : std::exchange(deferred_, {})) {
    PendingRequest& pending = parts_.requests.at(send.id).pending;
    if (send.expiresMs <= parts_.loop.nowMs()) {
      parts_.unsent.reportUnrecorded(send.id, send.endpoint);
    } else if (parts_.journal.recordAttempt(pending, {send.endpoint, send.zone, parts_.journal.nowMs(), 0})) {
      parts_.unsent.reportRecorded(send.id, send.endpoint);
    } else {
      defer(std::move(send));
    }
  }
}

std::vector<JournaledSends::UnrecordedSend>::iterator JournaledSends::findDeferred(const std::string& id) {
  return std::find_if(deferred_.begin(), deferred_.end(),
                      [&](const UnrecordedSend& send) { return send.id == id; });
}

}  // namespace myrtleloft
