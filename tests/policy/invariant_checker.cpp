#include "tests/policy/invariant_checker.h"

namespace myrtleloft::testing {

void InvariantChecker::begin(double nowMs) {
  now_ = nowMs;
  newRetryAfterUntilMs_.clear();
  callsInBatch_.clear();
}

void InvariantChecker::finish() {
  for (const auto& [scope, untilMs] : newRetryAfterUntilMs_) {
    double& retryAfterUntilMs = retryAfterUntilMs_[scope];
    retryAfterUntilMs = std::max(retryAfterUntilMs, untilMs);
  }
  for (auto& [id, request] : requests_) {
    if (request.completed) continue;
    // A request whose outcome arrives at this time is answered in the batch of that outcome.
    if (now_ > request.deadlineMs + kAnswerSlackMs) reportViolation("not answered by its deadline", id);
    if (request.attemptInFlight < 0 && exhausted(request))
      reportViolation("not answered at once although no attempt is permitted", id);
  }
  std::erase_if(requests_,
                [](const auto& entry) { return entry.second.completed && entry.second.attemptInFlight < 0; });
}

std::vector<RequestEvent> InvariantChecker::restart() {
  std::vector<RequestEvent> pending;
  for (auto& [id, request] : requests_) {
    if (request.completed) continue;
    if (request.attemptInFlight >= 0) recordAmbiguous(request);
    request.attemptInFlight = -1;
    RequestEvent event;
    event.id = id;
    event.classIndex = request.classIndex;
    event.destination = request.destination;
    event.orderKey = request.orderKey;
    event.deadlineMs = request.deadlineMs;
    event.attempts = request.attempts;
    event.ambiguousAttempts = request.ambiguousAttempts;
    pending.push_back(std::move(event));
  }
  std::erase_if(requests_, [](const auto& entry) { return entry.second.completed; });
  calls_.clear();
  retryAfterUntilMs_.clear();  // a restart discards Retry-After
  orderedQueues_.clear();
  for (const RequestEvent& event : pending)
    if (!requests_.at(event.id).orderKey.empty())
      orderedQueues_[requests_.at(event.id).orderKey].ids.push_back(event.id);
  return pending;
}

void InvariantChecker::reportViolation(const std::string& rule, const std::string& id) {
  if (violation.empty()) violation = rule + ": " + id + " at " + std::to_string(now_) + " ms";
}

bool InvariantChecker::exhausted(const TrackedRequest& request) const {
  const ClassSettings classSettings = classOf(request);
  if (request.attempts >= std::min(kMaxAttempts, settings_.maxAttempts)) return true;
  if (request.ambiguousAttempts.empty()) return false;
  if (classSettings.idempotency == Idempotency::kNonIdempotent) return true;
  return classSettings.idempotency == Idempotency::kIdempotentWithKey &&
         now_ > request.ambiguousAttempts.front().sentMs + classSettings.idempotencyWindowMs;
}

void InvariantChecker::on(const RequestEvent& event) {
  if (requests_.count(event.id)) return;
  TrackedRequest& request = requests_[event.id];
  request.classIndex = event.classIndex;
  request.destination = event.destination;
  request.deadlineMs = std::max(event.deadlineMs, now_);
  request.attempts = event.attempts;
  request.ambiguousAttempts = event.ambiguousAttempts;
  if (classOf(request).orderedByKey && !event.orderKey.empty()) {
    request.orderKey = event.orderKey;
    orderedQueues_[request.orderKey].ids.push_back(event.id);
  }
}

void InvariantChecker::on(const OutcomeEvent& event) {
  const auto at = requests_.find(event.id);
  if (at == requests_.end() || at->second.attemptInFlight < 0 || at->second.attemptInFlight != event.attempt)
    return;
  TrackedRequest& request = at->second;
  const bool knownNotExecuted = event.outcome == Outcome::kRejected ||
                                event.outcome == Outcome::kConnectFailed ||
                                event.outcome == Outcome::kNotSent;
  const bool outcomeUnknown = event.outcome == Outcome::kTimeout || event.outcome == Outcome::kReset ||
                              event.outcome == Outcome::kCancelled;
  if (!knownNotExecuted && event.outcome != Outcome::kSuccess) recordAmbiguous(request);
  if (outcomeUnknown && !request.orderKey.empty())
    orderedQueues_[request.orderKey].pausedUntilMs = now_ + settings_.orderHoldAfterAmbiguityMs;
  // A Retry-After applies from the batch after the one that stated it.
  if (event.outcome != Outcome::kNotSent && event.retryAfterMs > 0)
    newRetryAfterUntilMs_.emplace_back(upstreamOf(request.endpointId),
                                       now_ + static_cast<double>(event.retryAfterMs));
  request.attemptInFlight = -1;
  if (--calls_.at(request.call) == 0) calls_.erase(request.call);
  if (event.completed || event.outcome == Outcome::kSuccess) complete(at->first, request);
  if (request.completed) removeFromOrderedQueue(at->first, request);
}

void InvariantChecker::on(const EndpointListEvent& event) {
  if (event.kind == ListUpdateKind::kError) return;
  if (event.kind != ListUpdateKind::kDelta)
    for (auto& [endpointId, known] : endpoints_)
      if (known.closedAtMs < 0) known.closedAtMs = now_;
  for (const EndpointInfo& entry : event.entries) {
    const auto [at, isNew] = endpoints_.try_emplace(entry.endpoint);
    KnownEndpoint& known = at->second;
    if (isNew) known.destination = entry.destination, known.kind = entry.kind;
    known.zone = entry.zone;
    if (entry.state == EndpointState::kRunning)
      known.closedAtMs = -1;
    else if (known.closedAtMs < 0)
      known.closedAtMs = now_;
  }
}

void InvariantChecker::on(const ClientDisconnectEvent& event) {
  const auto at = requests_.find(event.id);
  if (at == requests_.end()) return;
  at->second.completed = true;
  removeFromOrderedQueue(at->first, at->second);
}

void InvariantChecker::complete(const std::string& id, TrackedRequest& request) {
  if (request.completed) return;
  ++completions;
  request.completed = true;
  if (now_ > request.deadlineMs + kAnswerSlackMs) reportViolation("completed after its deadline", id);
}

void InvariantChecker::removeFromOrderedQueue(const std::string& id, const TrackedRequest& request) {
  if (request.orderKey.empty() || request.attemptInFlight >= 0) return;
  std::erase(orderedQueues_[request.orderKey].ids, id);
}

void InvariantChecker::on(const SendAction& action) {
  const auto at = requests_.find(action.id);
  if (at == requests_.end() || at->second.completed)
    return reportViolation("send after completion", action.id);
  const auto endpoint = endpoints_.find(action.endpoint);
  if (endpoint == endpoints_.end()) return reportViolation("send to an unknown endpoint", action.id);
  TrackedRequest& request = at->second;
  const ClassSettings classSettings = classOf(request);
  ++sends;
  if (request.attemptInFlight >= 0) return reportViolation("two attempts in flight at once", action.id);
  if (endpoint->second.destination != request.destination)
    reportViolation("send to another destination", action.id);
  if (endpoint->second.closedAtMs >= 0 && now_ >= endpoint->second.closedAtMs + kDrainMs)
    reportViolation("send to a draining or removed endpoint", action.id);
  if (!request.ambiguousAttempts.empty()) {
    ++repeatedAttempts;
    if (classSettings.idempotency == Idempotency::kNonIdempotent)
      reportViolation("repeated attempt of a non-idempotent request", action.id);
    if (classSettings.idempotency == Idempotency::kIdempotentWithKey) {
      if (now_ > request.ambiguousAttempts.front().sentMs + classSettings.idempotencyWindowMs)
        reportViolation("repeated attempt outside the idempotency window", action.id);
      for (const AmbiguousAttempt& earlier : request.ambiguousAttempts)
        if (classSettings.deduplicationScope == DeduplicationScope::kZone &&
            earlier.zone != endpoint->second.zone)
          reportViolation("repeated attempt outside the deduplication scope", action.id);
    }
  }
  if (request.ambiguousAttempts.size() >= kMaxAmbiguousAttempts)
    reportViolation("attempt after the maximum number of ambiguous attempts", action.id);
  if (const auto retryAfterUntilMs = retryAfterUntilMs_.find(upstreamOf(action.endpoint));
      retryAfterUntilMs != retryAfterUntilMs_.end() && now_ < retryAfterUntilMs->second)
    reportViolation("send before a Retry-After has ended", action.id);
  if (!request.orderKey.empty() && request.attempts == 0) {
    const OrderedQueue& orderedQueue = orderedQueues_[request.orderKey];
    if (orderedQueue.ids.front() != action.id) reportViolation("send out of order", action.id);
    if (now_ < orderedQueue.pausedUntilMs) reportViolation("send while its order key is paused", action.id);
  }
  if (now_ > request.deadlineMs) reportViolation("send after its deadline", action.id);
  // Attempts of one batch at the same endpoint share calls up to the batch size of its kind.
  const int kind = endpoint->second.kind;
  const bool hasBatchSize = kind >= 0 && static_cast<std::size_t>(kind) < settings_.kindBatchSize.size();
  const int batch = hasBatchSize ? std::max(1, settings_.kindBatchSize[static_cast<std::size_t>(kind)]) : 1;
  auto& [call, size] = callsInBatch_.try_emplace(action.endpoint, -1, 0).first->second;
  if (size % batch == 0) call = ++lastCall_;
  ++size;
  ++calls_[call];
  if (settings_.maxConcurrentCalls > 0 &&
      calls_.size() > static_cast<std::size_t>(settings_.maxConcurrentCalls))
    reportViolation("more calls in flight than maxConcurrentCalls", action.id);
  request.endpointId = action.endpoint;
  request.zone = endpoint->second.zone;
  request.sentMs = now_;
  request.call = call;
  request.attemptInFlight = request.attempts++;
  if (request.attempts > std::min(kMaxAttempts, settings_.maxAttempts))
    reportViolation("more attempts than allowed", action.id);
}

void InvariantChecker::on(const RejectAction& action) {
  ++rejections;
  recordFinalAnswer(action.id, [&](const TrackedRequest& request, const ClassSettings& classSettings) {
    const bool keyRecognizedEverywhere = classSettings.idempotency == Idempotency::kIdempotentWithKey &&
                                         classSettings.deduplicationScope == DeduplicationScope::kDestination;
    if (!request.ambiguousAttempts.empty() && classSettings.idempotency != Idempotency::kIdempotent &&
        !keyRecognizedEverywhere)
      reportViolation("rejection of a request that may have been executed", action.id);
    if (settings_.maxRetryAfterMs > 0 &&
        !(action.retryAfterMs > 0 && action.retryAfterMs <= settings_.maxRetryAfterMs))
      reportViolation("rejection without a valid Retry-After", action.id);
  });
}

void InvariantChecker::on(const FailAction& action) {
  recordFinalAnswer(action.id, [](const TrackedRequest&, const ClassSettings&) {});
}

void InvariantChecker::on(const CancelAction& action) {
  const auto at = requests_.find(action.id);
  if (at == requests_.end() || at->second.attemptInFlight != action.attempt)
    reportViolation("cancellation of an unknown attempt", action.id);
  if (!settings_.mayCancel) reportViolation("cancellation although it is not allowed", action.id);
}

void InvariantChecker::on(const TimerAction& action) {
  if (!(action.delayMs >= 0 && action.delayMs < 71 * 60e3))
    reportViolation("timer with an invalid delay", std::to_string(action.token));
}

}  // namespace myrtleloft::testing
