#include "exchange/completions.h"

#include <algorithm>
#include <utility>

#include "exchange/reject_reason.h"

namespace myrtleloft {
namespace {

// How long after its deadline a request may be without a final status (PROTOCOL, "The rules on sockets").
constexpr double kNotificationLimitMs = 300;

// The final status as the log and the platform name it.
const char* nameOf(FinalStatus status) { return status == FinalStatus::kFailed ? "dead" : "bounced"; }

}  // namespace

void Completions::giveUp(const std::string& id, FinalStatus status, double retryAfterMs) {
  OpenRequest* const request = parts_.requests.find(id);
  if (request == nullptr) return;
  const std::optional<RequestPhase> phase = parts_.requests.giveUp(*request);
  if (!phase) return;
  if (status == FinalStatus::kReturned && !parts_.guard.mayReject(request->pending)) {
    parts_.guard.report(Violation::kRejectedAfterAttempt, id);
    status = FinalStatus::kFailed;
  }
  const bool failed = status == FinalStatus::kFailed;
  if (phase == RequestPhase::kRejected) {
    ++parts_.counters.failFast;
    if (!failed) parts_.quotas.refundRequest(request->charge, request->pending.classIndex);
    const RejectReason reason = failed ? RejectReason::kFailed : RejectReason::kNotExecuted;
    parts_.trace.rejected(id, myrtleloft::nameOf(reason), retryAfterMs);
    const Answer::Kind kind = failed ? Answer::Kind::kFailed : Answer::Kind::kRejected;
    return rejectOnceRecorded(*request, status, {kind, retryAfterMs});
  }
  ++(failed ? parts_.counters.failed : parts_.counters.returned);
  recordFinalStatus(*request, status, retryAfterMs);
  parts_.sends.drop(id);
}

void Completions::recordFinalStatus(OpenRequest& request, FinalStatus status, double retryAfterMs) {
  const double nowMs = parts_.loop.nowMs();
  const bool isOverdue = nowMs >= request.deadlineMs;
  bool recorded = parts_.journal.recordFinalStatus(request.pending, status, retryAfterMs);
  if (!recorded && isOverdue && status == FinalStatus::kReturned &&
      !parts_.guard.mayNextProcessReject(request.pending)) {
    --parts_.counters.returned;
    ++parts_.counters.failed;
    status = FinalStatus::kFailed;
    retryAfterMs = 0;
    recorded = parts_.journal.recordFinalStatus(request.pending, status, retryAfterMs);
  }
  parts_.trace.completed(request.pending.id, nameOf(status), retryAfterMs, recorded,
                         request.deadlineMs - nowMs);
  if (recorded || isOverdue) return parts_.notifications.add(request.pending.id, status, retryAfterMs);
  ++parts_.counters.journalFaults;
  unrecordedStatuses_.push_back(request.handle());
  const double retryMs = std::min(nowMs + parts_.journal.faultPauseMs(), request.deadlineMs);
  if (statusTimer_ != Loop::kNoTimer && statusTimer_.first <= retryMs) return;
  parts_.loop.cancel(statusTimer_);
  statusTimer_ = parts_.loop.after(retryMs - nowMs, [this] { retryFinalStatuses(); });
}

void Completions::retryFinalStatuses() {
  statusTimer_ = Loop::kNoTimer;
  for (const RequestHandle& handle : std::exchange(unrecordedStatuses_, {})) {
    OpenRequest* const request = parts_.requests.find(handle);
    if (request == nullptr) continue;  // delivered meanwhile by a call that was still in flight
    recordFinalStatus(*request, request->pending.status, request->pending.retryAfterMs);
  }
}

void Completions::rejectOnceRecorded(OpenRequest& request, FinalStatus status, const Answer& answer) {
  const RequestHandle handle = request.handle();
  if (parts_.journal.recordCompleted(request.pending)) {
    request.pending.status = status;
    request.answerClient(answer);
    return close(handle.id);
  }
  request.pending.status = status;
  request.pending.ambiguousAttempts.clear();  // a call, if any, still waits for its sync and is never sent
  parts_.sends.drop(handle.id);
  pendingRejections_.push_back({handle, answer});
  if (rejectTimer_ == Loop::kNoTimer)
    rejectTimer_ = parts_.loop.after(parts_.journal.faultPauseMs(), [this] { retryRejections(); });
}

void Completions::retryRejections() {
  rejectTimer_ = Loop::kNoTimer;
  parts_.compactor.step();  // also writes the completion records that could not be written before
  for (PendingRejection& rejection : std::exchange(pendingRejections_, {})) {
    OpenRequest* const request = parts_.requests.find(rejection.request);
    if (request == nullptr) continue;  // its client has disconnected
    if (!parts_.journal.completionRecorded(rejection.request.id)) {
      pendingRejections_.push_back(std::move(rejection));
      continue;
    }
    request->answerClient(rejection.answer);
    close(rejection.request.id);
  }
  if (!pendingRejections_.empty())
    rejectTimer_ = parts_.loop.after(parts_.journal.faultPauseMs(), [this] { retryRejections(); });
}

void Completions::close(const std::string& id) {
  OpenRequest* const request = parts_.requests.find(id);
  if (request == nullptr) return;
  remember(*request);
  parts_.journal.recordCompleted(request->pending);  // has no effect if the request was never recorded
  parts_.requests.erase(id);
  parts_.sends.drop(id);
}

// A request that was returned, or whose client left before its answer, may be sent again under the same id.
void Completions::remember(const OpenRequest& request) {
  using Ending = CompletedRequests::Ending;
  const bool isDelivered = request.phase() == RequestPhase::kAccepted;
  if (!isDelivered && request.pending.status != FinalStatus::kFailed) return;
  parts_.completed.add(request.pending, isDelivered ? Ending::kDelivered : Ending::kFailed,
                       request.deadlineMs, parts_.loop.nowMs());
}

void Completions::onConfirmed(const std::string& id) {
  if (const OpenRequest* const request = parts_.requests.find(id)) {
    const double lateMs = parts_.loop.nowMs() - request->deadlineMs;
    if (lateMs > kNotificationLimitMs) ++parts_.counters.lateNotifications;
    parts_.counters.maxNotificationLateMs = std::max(parts_.counters.maxNotificationLateMs, lateMs);
    parts_.trace.notified(id, lateMs);
  }
  close(id);
}

void Completions::answerPendingRejections() {
  for (const PendingRejection& rejection : std::exchange(pendingRejections_, {})) {
    OpenRequest* const request = parts_.requests.find(rejection.request);
    if (request == nullptr) continue;  // its client has disconnected
    const bool isRecorded = parts_.journal.completionRecorded(rejection.request.id);
    request->answerClient(isRecorded ? rejection.answer : Answer{Answer::Kind::kAccepted});
  }
}

}  // namespace myrtleloft
