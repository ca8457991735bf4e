#include "exchange/admission.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

// By how much a request's time left may exceed the limit of its class, because of its client's clock.
constexpr double kClockSkewMs = 1000;

}  // namespace

void Admission::onRequest(IncomingRequest request, RequestSink::AnswerCallback callback) {
  // A repetition of an accepted request is already recorded. A different request under the same id must not
  // be accepted: only one of the two could be kept.
  if (const OpenRequest* const known = parts_.requests.find(request.id))
    return callback({isSame(*known, request) ? Answer::Kind::kAccepted : Answer::Kind::kMalformed});
  if (const auto answer = parts_.completed.answerTo(request, parts_.loop.nowMs())) {
    ++parts_.counters.repeatedIds;
    return callback(*answer);
  }
  if (const std::optional<Rejection> rejection = findRejection(request))
    return reject(request.id, callback, rejection->reason,
                  {Answer::Kind::kRejected, rejection->retryAfterMs});
  // A request with far more time than its class allows would stay pending almost without limit.
  const double maxLifetimeMs =
      parts_.settings.classes.at(static_cast<std::size_t>(request.classIndex)).maxLifetimeMs;
  if (request.timeLeftMs > maxLifetimeMs + kClockSkewMs) return callback({Answer::Kind::kMalformed});
  const double timeLeftMs = std::min(request.timeLeftMs, maxLifetimeMs);
  QuotaCharge charge = parts_.quotas.chargeFor(request.tenant, request.unit);
  if (const auto retryAfterMs = parts_.quotas.rejects(charge, request.classIndex))
    return reject(request.id, callback, RejectReason::kQuota, {Answer::Kind::kQuotaExceeded, *retryAfterMs});
  parts_.quotas.chargeRequest(charge, request.classIndex);
  open(std::move(request), std::move(callback), timeLeftMs, charge);
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
  // While a sync hangs, clients give up before their 202, and the queue would grow with every new request.
  if (isFull || isDraining || parts_.durabilityQueue.isFull()) {
    ++parts_.counters.failFastFull;
    if (isDraining) return Rejection{RejectReason::kDraining, kRetryAfterMs};
    return Rejection{isFull ? RejectReason::kFull : RejectReason::kSyncBacklog, kRetryAfterMs};
  }
  // Without any endpoint the request would stay pending until its deadline and only use up capacity.
  if (!parts_.directory.endpoints().knowsDestination(request.destination)) {
    ++parts_.counters.failFastUnknown;
    return Rejection{RejectReason::kUnknownDestination, kRetryAfterMs};
  }
  // With an outdated list, an endpoint's address may belong to another endpoint by now; the class forbids
  // that risk.
  if (const auto retryAfterMs = parts_.directory.rejects(request.classIndex))
    return Rejection{RejectReason::kStaleList, *retryAfterMs};
  return std::nullopt;
}

void Admission::reject(const std::string& id, const RequestSink::AnswerCallback& callback,
                       RejectReason reason, const Answer& answer) const {
  parts_.trace.rejected(id, nameOf(reason), answer.retryAfterMs);
  callback(answer);
}

void Admission::open(IncomingRequest request, RequestSink::AnswerCallback callback, double timeLeftMs,
                     const QuotaCharge& charge) {
  RequestEvent event;
  event.id = request.id;
  event.classIndex = request.classIndex;
  event.tenant = request.tenant;
  event.deadlineMs = request.arrivedMs + timeLeftMs;
  event.destination = request.destination;
  event.isRetry = request.isRetry;

  OpenRequest& added = parts_.requests.add(request.id, RequestPhase::kUnanswered);
  added.answerCallback = std::move(callback);
  added.deadlineMs = event.deadlineMs;
  added.charge = charge;
  PendingRequest& pending = added.pending;
  pending.acceptedWallMs = parts_.journal.nowMs();
  // Read after the journal's clock: if the process is suspended between the two readings, the recorded
  // deadline becomes earlier, never later.
  const double nowMs = parts_.loop.nowMs();
  pending.deadlineWallMs = pending.acceptedWallMs + event.deadlineMs - nowMs;
  pending.key = std::move(request.key);
  pending.body = std::move(request.body);
  pending.classIndex = request.classIndex;
  pending.tenant = request.tenant;
  pending.destination = request.destination;
  pending.isRetry = request.isRetry;
  if (request.heldByAnotherRelay) recordAttemptByAnotherRelay(added, event);
  newRequests_.push_back(added.handle());
  parts_.scheduler.push(std::move(event));
}

// The attempt goes to the module, and into the request's record: it also binds a later process of this relay.
void Admission::recordAttemptByAnotherRelay(OpenRequest& request, RequestEvent& event) const {
  const ClassSettings& settings = parts_.settings.classes.at(static_cast<std::size_t>(event.classIndex));
  const std::optional<AmbiguousAttempt> attempt = attemptByAnotherRelay(settings, event.deadlineMs);
  if (!attempt) return;
  event.ambiguousAttempts.push_back(*attempt);
  request.firstAmbiguousMs = attempt->sentMs;
  PendingRequest& pending = request.pending;
  const double sentWallMs = pending.deadlineWallMs - settings.maxLifetimeMs;
  pending.ambiguousAttempts.push_back(
      {"", RecordedAttempt::kLostZone, sentWallMs, RecordedAttempt::kLostAttempt});
}

bool Admission::recordAccepted(const RequestHandle& handle) {
  OpenRequest* const request = parts_.requests.find(handle);
  if (request == nullptr) return false;
  if (parts_.journal.recordAccepted(request->pending)) return true;
  ++parts_.counters.journalFaults;
  parts_.quotas.refundRequest(request->charge, request->pending.classIndex);
  parts_.trace.rejected(handle.id, nameOf(RejectReason::kNotRecorded), kRetryAfterMs);
  request->answerClient({Answer::Kind::kRejected, kRetryAfterMs});
  parts_.requests.erase(handle.id);
  parts_.scheduler.push(ClientDisconnectEvent{handle.id});
  return false;
}

void Admission::rejectNewRequests() {
  for (const RequestHandle& handle : takeNewRequests()) {
    OpenRequest* const request = parts_.requests.find(handle);
    if (request == nullptr) continue;
    request->answerClient({Answer::Kind::kRejected, kRetryAfterMs});
    parts_.requests.erase(handle.id);
  }
}

}  // namespace myrtleloft
