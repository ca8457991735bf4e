#include "policy/upstream.h"

#include <algorithm>
#include <iterator>

#include "state/request.h"

namespace myrtleloft::policy {

void Upstream::attach(DestinationTraffic& traffic, bool isOneEndpoint, double nowMs) {
  traffic_ = &traffic;
  isOneEndpoint_ = isOneEndpoint;
  delivered_.start(nowMs);
}

double Upstream::currentRate(BatchContext& batch) {
  if (slowStart_.expired(batch)) readmit();
  limiter_.startIfSparse(batch);
  if (!bounded(batch)) return limiter_.ratePerSecond();
  const double share = slowStart_.share(batch, outliers_.successes());
  const double rate = rateOfSlowStart(batch, share);
  if (share < 1) return std::min(limiter_.ratePerSecond(), rate);
  readmit();
  // The rate continues where the ramp ended: without a limit, the backlog would be sent at once and rejected.
  return limiter_.restartAt(std::max(rate, kMinRatePerSecond));
}

double Upstream::rateOfSlowStart(const BatchContext& batch, double share) const {
  const double queued = slowStart_.busy(batch) ? 0 : waitingSinceFailure() / upstreamCount();
  const double capacity = slowStart_.capacityShare(batch, limiter_.fairShare(batch), queued);
  const double windowMs = batch.settings.overloadWindowMs;
  return std::max(capacity * batch.settings.overloadFactor * share * slowStart_.budget(batch),
                  kMinProbesPerWindow * 1000 / (windowMs * batch.settings.instanceCount));
}

double Upstream::waitingSinceFailure() const {
  const auto& queue = traffic_->queue;
  const auto isOlder = [this](const auto& waiting) {
    return waiting.second->arrivalBatch < slowStart_.firstFailureBatch();
  };
  return static_cast<double>(
      std::distance(queue.rbegin(), std::find_if(queue.rbegin(), queue.rend(), isOlder)));
}

double Upstream::availableAtMs(BatchContext& batch) {
  const double rate = currentRate(batch);
  const double nowMs = batch.nowMs();
  const double windowMs = batch.settings.overloadWindowMs;
  callsAreRare_ = rate * windowMs < 1000;
  if (rate == kNever) {
    limiter_.bucket.fill(nowMs, 1);
    return blockedUntilMs();
  }
  const bool isBounded = bounded(batch);
  const bool probes = isBounded && callsAreRare_;
  // An unused probe expires. Otherwise hundreds of relays could accumulate probes during an outage without
  // traffic, and send them all at once.
  if (probes && limiter_.bucket.lastRefillMs() < nowMs && limiter_.bucket.tokens() >= slowStart_.probeToken())
    drawProbeToken(batch);
  const bool accumulates = limiter_.sparseTraffic(batch) && outliers_.rejections() == 0;
  const double unboundedBurst = accumulates ? kSparseBurst : std::max(1.0, rate * kBurstSeconds);
  double burst = isBounded ? 1 : unboundedBurst;
  if (probes) burst = kNever;
  limiter_.bucket.refill(nowMs, rate, isBounded ? windowMs * 0.1 : kNever, burst);
  const double needed = probes ? slowStart_.probeToken() : 1;
  if (limiter_.bucket.tokens() >= needed || (isBounded && slowStart_.freeProbe())) return blockedUntilMs();
  return std::max(blockedUntilMs(), nowMs + (needed - limiter_.bucket.tokens()) / rate * 1000 + 0.001);
}

void Upstream::spend(BatchContext& batch, int sizeBefore, int sizeAfter) {
  const double newCallTokens = sizeBefore > 0 ? 0 : 1;
  const int furtherRequests = sizeAfter - std::max(1, sizeBefore);
  const double cost =
      bounded(batch) ? newCallTokens + kFurtherRequestWeight * furtherRequests : newCallTokens;
  limiter_.bucket.spend(cost);
  slowStart_.setFreeProbe(false);
  if (callsAreRare_ && bounded(batch)) drawProbeToken(batch);
}

void Upstream::recordUnsuccessfulCall(BatchContext& batch, double sentMs, bool rejected) {
  const bool expected = rejected && !slowStart_.failurePending() && limiter_.sparseTraffic(batch);
  if (!expected) recordPendingFailure(batch, sentMs);
}

void Upstream::recordSuccess(const BatchContext& batch, double sentMs, int size,
                             double backgroundFailureRate) {
  outliers_.recordSuccess(batch, backgroundFailureRate);
  if (!ejected())
    delivered_.add(batch.nowMs(), batch.settings.slowStartMs, 1 + kFurtherRequestWeight * (size - 1));
  // A call that was sent before the ejection has succeeded: calls were lost, but the upstream had no outage.
  // It is readmitted, and slow start still bounds its rate. During an announced outage, such a success proves
  // nothing.
  if (awaitsRecovery() && outliers_.ejectedAfter(sentMs) && !outliers_.outageLikely() &&
      !outageAnnounced(batch.nowMs()))
    outliers_.readmit();
  if (slowStart_.recoveryShownBy(sentMs)) slowStart_.recordRecovery(batch, ejected());
  limiter_.increase(batch, traffic_->queue.empty(), sent_);
}

void Upstream::recordRejection(BatchContext& batch, double sentMs, double backgroundRejectionRate) {
  outliers_.recordRejection(batch.nowMs());
  decreaseRate(batch, sentMs);
  if (outliers_.rejectsAll(batch, backgroundRejectionRate)) {
    recordPendingFailure(batch, sentMs);
    eject(batch);
  }
  if (ejected() && outliers_.rejections() >= 3) slowStart_.restart();
}

void Upstream::recordAnnouncedOutage(BatchContext& batch, double sentMs) {
  announcedOutageUntilMs_ = retryAfterUntilMs_;
  recordPendingFailure(batch, sentMs);
  // The outage, and with it the failure, lasts until the announced end.
  slowStart_.recordFailure(std::max(batch.nowMs(), announcedOutageUntilMs_), sentMs);
  eject(batch);
  outliers_.restartSuccesses();
  slowStart_.restart();
  slowStart_.setFreeProbe(false);
}

void Upstream::recordFailure(BatchContext& batch, double sentMs, bool connected, double expectedFailureRate) {
  if (connected) slowStart_.halveProgress(batch.nowMs());
  outliers_.recordFailure(batch, expectedFailureRate);
  if (!outliers_.outageLikely()) return;  // isolated failures are no outage and do not restart the ramp
  decreaseRate(batch, sentMs);
  slowStart_.restart();
  eject(batch);
}

void Upstream::recordPendingFailure(BatchContext& batch, double sentMs) {
  if (!slowStart_.failurePending()) {
    const double delivered = decayedPerSecond(batch, delivered_, batch.settings.slowStartMs);
    const double arrivals = decayedPerSecond(batch, traffic_->arrivals, batch.settings.slowStartMs);
    limiter_.bucket.setTokens(slowStart_.recordFirstFailure(batch, delivered, arrivals / upstreamCount()));
  }
  slowStart_.recordFailure(batch.nowMs(), sentMs);
}

void Upstream::decreaseRate(BatchContext& batch, double sentMs) {
  if (ejected()) return;
  if (!limiter_.sparseTraffic(batch)) {
    limiter_.decrease(batch, sentMs, outliers_.rejections(), sent_, delivered_);
  } else if (limiter_.decreaseSparse(batch, sentMs, outliers_.rejections())) {
    drawProbeToken(batch);
    limiter_.bucket.setTokens(1 - slowStart_.probeToken());
  }
}

void Upstream::eject(const BatchContext& batch) {
  if (ejected()) return;
  outliers_.eject(batch.nowMs());
  delivered_.restart(batch.nowMs());  // the rate delivered while ejected is not a healthy rate
  limiter_.lift();  // slow start bounds the rate; failed probes would decrease the limiter's rate permanently
}

void Upstream::readmit() {
  slowStart_.end();
  outliers_.readmit();
}

void Upstream::drawProbeToken(BatchContext& batch) {
  limiter_.bucket.setTokens(0);
  slowStart_.drawProbeToken(batch);
}

}  // namespace myrtleloft::policy
