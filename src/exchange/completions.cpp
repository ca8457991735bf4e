#include "exchange/completions.h"

#include <algorithm>
#include <utility>

#include "exchange/reject_reason.h"

namespace myrtleloft {
namespace {

// PROTOCOL, "The rules on sockets": how long after its deadline a request may be without its final status.
constexpr double kNotificationLimitMs = 300;

// The log's word for a final status.
const char* wordOf(FinalStatus status) { return status == FinalStatus::kFailed ? "dead" : "bounced"; }

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
    const RejectReason reason = failed ? RejectReason::kFailed : RejectReason::kDecided;
    parts_.trace.refused(id, myrtleloft::wordOf(reason), retryAfterMs);
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
  parts_.trace.ended(request.pending.id, wordOf(status), retryAfterMs, recorded, request.deadlineMs - nowMs);
  if (recorded || isOverdue) return parts_.notifications.add(request.pending.id, status, retryAfterMs);
  ++parts_.counters.journalFaults;
  unnotified_.push_back(request.handle());
  const double retryMs = std::min(nowMs + parts_.journal.restMs(), request.deadlineMs);
  if (notifyTimer_ != Loop::kNoTimer && notifyTimer_.first <= retryMs) return;
  parts_.loop.cancel(notifyTimer_);
  notifyTimer_ = parts_.loop.after(retryMs - nowMs, [this] { retryFinalStatuses(); });
}

void Completions::retryFinalStatuses() {
  notifyTimer_ = Loop::kNoTimer;
  for (const RequestHandle& handle : std::exchange(unnotified_, {})) {
    OpenRequest* const request = parts_.requests.find(handle);
    if (request == nullptr) continue;  // delivered after all, by a call that was still in flight
    recordFinalStatus(*request, request->pending.status, request->pending.retryAfterMs);
  }
}

void Completions::rejectOnceRecorded(OpenRequest& request, FinalStatus status, const Answer& answer) {
  const RequestHandle handle = request.handle();
  if (parts_.journal.recordCompleted(request.pending)) {
    request.answerClient(answer);
    return close(handle.id);
  }
  request.pending.status = status;
  request.pending.ambiguousAttempts.clear();  // its call, if any, waits as well and never leaves
  parts_.sends.drop(handle.id);
  unrejected_.push_back({handle, answer});
  if (rejectTimer_ == Loop::kNoTimer)
    rejectTimer_ = parts_.loop.after(parts_.journal.restMs(), [this] { retryRejections(); });
}

void Completions::retryRejections() {
  rejectTimer_ = Loop::kNoTimer;
  parts_.compactor.step();  // which records the completions that wait
  for (PendingRejection& rejection : std::exchange(unrejected_, {})) {
    OpenRequest* const request = parts_.requests.find(rejection.request);
    if (request == nullptr) continue;  // its client has gone
    if (!parts_.journal.completionRecorded(rejection.request.id)) {
      unrejected_.push_back(std::move(rejection));
      continue;
    }
    request->answerClient(rejection.answer);
    close(rejection.request.id);
  }
  if (!unrejected_.empty())
    rejectTimer_ = parts_.loop.after(parts_.journal.restMs(), [this] { retryRejections(); });
}

void Completions::close(const std::string& id) {
  OpenRequest* const request = parts_.requests.find(id);
  if (request == nullptr) return;
  parts_.journal.recordCompleted(request->pending);  // does nothing where it was not recorded
  parts_.requests.erase(id);
  parts_.sends.drop(id);
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
  for (const PendingRejection& rejection : std::exchange(unrejected_, {})) {
    OpenRequest* const request = parts_.requests.find(rejection.request);
    if (request == nullptr) continue;  // its client has gone
    const bool isRecorded = parts_.journal.completionRecorded(rejection.request.id);
    request->answerClient(isRecorded ? rejection.answer : Answer{Answer::Kind::kAccepted});
  }
}

}  // namespace myrtleloft
