#include "exchange/admission.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

// By how much the clock of a client may make its request's time left longer than its class allows.
constexpr double kClockSkewMs = 1000;

}  // namespace

void Admission::onRequest(IncomingRequest request, RequestSink::AnswerCallback answer) {
  // The same request again is accepted already; another one under its id would be lost between the two.
  if (const OpenRequest* const known = parts_.requests.find(request.id))
    return answer({isSame(*known, request) ? Answer::Kind::kAccepted : Answer::Kind::kMalformed});
  if (const std::optional<Rejection> rejection = findRejection(request))
    return reject(request.id, answer, rejection->reason, {Answer::Kind::kRejected, rejection->retryAfterMs});
  // A request with far more time than its class allows would be pending for good.
  const double maxLifetimeMs =
      parts_.settings.classes.at(static_cast<std::size_t>(request.classIndex)).maxLifetimeMs;
  if (request.timeLeftMs > maxLifetimeMs + kClockSkewMs) return answer({Answer::Kind::kMalformed});
  const double timeLeftMs = std::min(request.timeLeftMs, maxLifetimeMs);
  QuotaCharge charge = parts_.quotas.chargeFor(request.tenant, request.unit);
  if (const auto retryAfterMs = parts_.quotas.rejects(charge, request.classIndex))
    return reject(request.id, answer, RejectReason::kQuota, {Answer::Kind::kQuotaExceeded, *retryAfterMs});
  parts_.quotas.chargeRequest(charge, request.classIndex);
  open(std::move(request), std::move(answer), timeLeftMs, charge);
}

bool Admission::isSame(const OpenRequest& known, const IncomingRequest& request) {
  const PendingRequest& pending = known.pending;
  return known.phase() == RequestPhase::kAccepted && pending.classIndex == request.classIndex &&
         pending.destination == request.destination && pending.key == request.key;
}

std::optional<Admission::Rejection> Admission::findRejection(const IncomingRequest& request) const {
  const int maxPending = parts_.settings.maxPendingRequests;
  const bool isFull = maxPending > 0 && parts_.requests.undecided() >= static_cast<std::size_t>(maxPending);
  const bool isDraining = parts_.scheduler.stopped();
  // Where a sync hangs its client would not wait for it, and what waits would grow with every request.
  if (isFull || isDraining || parts_.commit.isFull()) {
    ++parts_.counters.failFastFull;
    if (isDraining) return Rejection{RejectReason::kDraining, kRetryAfterMs};
    return Rejection{isFull ? RejectReason::kFull : RejectReason::kSyncBacklog, kRetryAfterMs};
  }
  // Pending until its deadline, it would only take up the capacity for others.
  if (!parts_.directory.endpoints().knowsDestination(request.destination)) {
    ++parts_.counters.failFastUnknown;
    return Rejection{RejectReason::kUnknownDestination, kRetryAfterMs};
  }
  // Its endpoint's address may be another's by now, and this class cannot afford that.
  if (const auto retryAfterMs = parts_.directory.rejects(request.classIndex))
    return Rejection{RejectReason::kStaleList, *retryAfterMs};
  return std::nullopt;
}

void Admission::reject(const std::string& id, const RequestSink::AnswerCallback& answer, RejectReason reason,
                       const Answer& text) const {
  parts_.trace.refused(id, wordOf(reason), text.retryAfterMs);
  answer(text);
}

void Admission::open(IncomingRequest request, RequestSink::AnswerCallback answer, double timeLeftMs,
                     const QuotaCharge& charge) {
  RequestEvent event;
  event.id = request.id;
  event.classIndex = request.classIndex;
  event.tenant = request.tenant;
  event.deadlineMs = request.arrivedMs + timeLeftMs;
  event.destination = request.destination;
  event.isRetry = request.isRetry;

  OpenRequest& added = parts_.requests.add(request.id, RequestPhase::kUnanswered);
  added.answer = std::move(answer);
  added.deadlineMs = event.deadlineMs;
  added.charge = charge;
  PendingRequest& pending = added.pending;
  pending.acceptedWallMs = parts_.journal.nowMs();
  // Read behind the journal's clock: where the process stands in between, the recorded deadline is earlier.
  const double nowMs = parts_.loop.nowMs();
  pending.deadlineWallMs = pending.acceptedWallMs + event.deadlineMs - nowMs;
  pending.key = std::move(request.key);
  pending.body = std::move(request.body);
  pending.classIndex = request.classIndex;
  pending.tenant = request.tenant;
  pending.destination = request.destination;
  pending.isRetry = request.isRetry;
  new_.push_back(added.handle());
  parts_.scheduler.push(std::move(event));
}

bool Admission::recordAccepted(const RequestHandle& handle) {
  OpenRequest* const request = parts_.requests.find(handle);
  if (request == nullptr) return false;
  if (parts_.journal.recordAccepted(request->pending)) return true;
  ++parts_.counters.journalFaults;
  parts_.quotas.refundRequest(request->charge, request->pending.classIndex);
  parts_.trace.refused(handle.id, wordOf(RejectReason::kNotRecorded), kRetryAfterMs);
  request->answerClient({Answer::Kind::kRejected, kRetryAfterMs});
  parts_.requests.erase(handle.id);
  parts_.scheduler.push(ClientDisconnectEvent{handle.id});
  return false;
}

void Admission::rejectNew() {
  for (const RequestHandle& handle : takeNew()) {
    OpenRequest* const request = parts_.requests.find(handle);
    if (request == nullptr) continue;
    request->answerClient({Answer::Kind::kRejected, kRetryAfterMs});
    parts_.requests.erase(handle.id);
  }
}

}  // namespace myrtleloft
