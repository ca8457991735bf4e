#include "policy/outcome_recorder.h"

namespace myrtleloft::policy {

void OutcomeRecorder::record(BatchContext& batch, const Call& call, Outcome outcome) {
  if (outcome == Outcome::kNotSent) return;  // whereas kCancelled counts as a failure
  Endpoint& endpoint = *call.endpoint;
  Upstream& upstream = *endpoint.upstream;
  const bool rejected = outcome == Outcome::kRejected;
  const bool refused = outcome == Outcome::kConnectFailed;
  updateRates(batch, call, outcome);
  if (outcome != Outcome::kSuccess) upstream.recordUnsuccessfulCall(batch, call.sentMs, rejected);
  if (connections_.brokeOnIdleConnection(batch, endpoint, call, outcome)) return;
  if (outcome == Outcome::kSuccess) {
    recordSuccess(batch, call);
  } else if (rejected) {
    endpoint.rejectionRate += (1 - endpoint.rejectionRate) * kNewestWeight * 0.3;
    upstream.recordRejection(batch, call.sentMs, backgroundRejectionRate_);
  } else if (refused && endpoint.lastSuccessMs > call.sentMs - batch.settings.connectTimeoutMs &&
             !endpoint.calls.empty()) {
    endpoint.connectionLimit =
        static_cast<int>(endpoint.calls.size());  // the endpoint is up, as other calls succeed
  } else {
    const double refusalRate = std::min(connectionRefusalRate_[endpoint.kind], kMaxConnectionRefusalRate);
    upstream.recordFailure(batch, call.sentMs, !refused, refused ? refusalRate : backgroundFailureRate_);
  }
}

void OutcomeRecorder::updateRates(const BatchContext& batch, const Call& call, Outcome outcome) {
  const Upstream& upstream = *call.endpoint->upstream;
  const bool failed = outcome != Outcome::kSuccess;
  const bool rejected = outcome == Outcome::kRejected;
  const bool refused = outcome == Outcome::kConnectFailed;
  if (!upstream.ejected()) {
    backgroundRejectionRate_ += (rejected - backgroundRejectionRate_) * kBackgroundWeight;
    if (!rejected) backgroundFailureRate_ += (failed - backgroundFailureRate_) * kBackgroundWeight;
  }
  // An endpoint with a full connection table either refuses a new connection, or accepts it and rejects its
  // first call without Retry-After.
  const bool unexplained = rejected && !call.idleMs && upstream.retryAfterUntilMs() <= batch.nowMs();
  double& refusalRate = connectionRefusalRate_[call.endpoint->kind];
  double& tableFullRate = connectionTableFullRate_[call.endpoint->kind];
  refusalRate += (refused - refusalRate) * kConnectionRateWeight;
  tableFullRate += ((refused || unexplained) - tableFullRate) * kConnectionRateWeight;
}

void OutcomeRecorder::recordSuccess(const BatchContext& batch, const Call& call) {
  Endpoint& endpoint = *call.endpoint;
  endpoint.rejectionRate *= 1 - kNewestWeight * 0.3;
  latency_.record(endpoint, batch.nowMs() - call.sentMs);
  endpoint.lastSuccessMs = batch.nowMs();
  endpoint.newestAnsweredSentMs = std::max(endpoint.newestAnsweredSentMs, call.sentMs);
  endpoint.upstream->recordSuccess(batch, call.sentMs, call.size(), backgroundFailureRate_);
  const bool limited = endpoint.connectionLimit < std::numeric_limits<int>::max();
  if (limited && endpoint.upstream->successes() % 10 == 0) ++endpoint.connectionLimit;
}

}  // namespace myrtleloft::policy
