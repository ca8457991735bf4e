#include "exchange/call_tracker.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

bool isKnownNotExecuted(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

bool statesRetryAfter(const CallOutcome& outcome) {
  return outcome.outcome != Outcome::kNotSent && outcome.retryAfterMs > 0;
}

}  // namespace

bool CallTracker::maySend(const OutgoingCall& call) {
  const EndpointRecord* const endpoint = parts_.endpoints.find(call.uid);
  for (const CallItem& item : call.items) {
    const std::optional<Violation> violation = violationOf(call, item.id, endpoint);
    if (!violation) continue;
    parts_.guard.report(*violation, item.id);
    return false;
  }
  for (const CallItem& item : call.items) {
    parts_.requests.at(item.id).callInFlight = call.number;
    parts_.trace.departed(item.id, call.uid, call.number, item.answerDeadlineMs - parts_.loop.nowMs());
  }
  return true;
}

std::optional<Violation> CallTracker::violationOf(const OutgoingCall& call, const std::string& id,
                                                  const EndpointRecord* endpoint) {
  const OpenRequest* const request = parts_.requests.find(id);
  if (request == nullptr) return Violation::kAfterCompletion;
  const bool anotherInFlight = request->callInFlight != 0 && request->callInFlight != call.number;
  return parts_.guard.violationOfSend({request->pending, endpoint, call.to.text, parts_.loop.nowMs(),
                                       request->deadlineMs, request->firstAmbiguousMs, anotherInFlight});
}

void CallTracker::onOutcomes(const std::string& endpoint, const std::vector<CallOutcome>& outcomes,
                             const LoadReport& report) {
  bool hasRetryAfter = false;
  for (const CallOutcome& outcome : outcomes) {
    if (parts_.requests.find(outcome.id) == nullptr) continue;
    onOutcome(endpoint, outcome, report);
    hasRetryAfter = hasRetryAfter || statesRetryAfter(outcome);
  }
  if (hasRetryAfter) withdrawCallsTo(endpoint);
}

void CallTracker::onOutcome(const std::string& endpoint, CallOutcome outcome, const LoadReport& report) {
  OpenRequest& request = parts_.requests.at(outcome.id);
  // By the client's clock the deadline may have passed already, and the client then relies on the platform's
  // notification. Notifying the platform of a request that was delivered after all does no harm.
  const bool isTooLate = outcome.arrivedMs > request.deadlineMs - kDeadlineMarginMs;
  if (outcome.outcome == Outcome::kSuccess && isTooLate) {
    outcome.outcome = Outcome::kTimeout;
    outcome.completed = false;
  }
  request.callInFlight = 0;
  parts_.trace.outcome(outcome.id, endpoint,
                       Counters::kOutcomeNames.at(static_cast<std::size_t>(outcome.outcome)),
                       outcome.retryAfterMs, outcome.halfClosed);
  parts_.scheduler.push(OutcomeEvent{outcome.id, request.pending.attempts - 1, endpoint, outcome.outcome,
                                     outcome.completed, outcome.retryAfterMs, report});
  const EndpointRecord* const record = statesRetryAfter(outcome) ? parts_.endpoints.find(endpoint) : nullptr;
  if (record != nullptr)
    parts_.guard.onRetryAfter(*record, parts_.loop.nowMs(), static_cast<double>(outcome.retryAfterMs));
  if (outcome.completed) {
    ++(outcome.outcome == Outcome::kSuccess ? parts_.counters.delivered : parts_.counters.expired);
    parts_.completions.close(outcome.id);
  } else if (isKnownNotExecuted(outcome.outcome)) {
    parts_.journal.recordNotExecuted(request.pending);
    parts_.quotas.refundCall(request.charge);
  } else {
    QuotaCharges::confirmCall(request.charge);
  }
}

void CallTracker::withdrawCallsTo(const std::string& endpoint) {
  const EndpointRecord* const limited = parts_.endpoints.find(endpoint);
  parts_.durabilityQueue.withdrawCalls([&](const std::string& other) {
    if (other == endpoint || limited == nullptr) return other == endpoint;
    const EndpointRecord* const record = parts_.endpoints.find(other);
    const std::vector<bool>& separate = parts_.settings.kindHasSeparateLimits;
    const auto kind = static_cast<std::size_t>(std::max(0, limited->info.kind));
    const bool hasSeparateLimit = kind < separate.size() && separate[kind];
    return !hasSeparateLimit && record != nullptr && record->info.destination == limited->info.destination;
  });
}

}  // namespace myrtleloft
