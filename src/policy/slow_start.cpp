#include "policy/slow_start.h"

#include "state/portable_math.h"

namespace myrtleloft::policy {

double SlowStart::recordFirstFailure(BatchContext& batch, double deliveredPerSecond,
                                     double arrivalsPerSecond) {
  const double spanMs = batch.settings.slowStartMs;
  firstFailureMs_ = batch.nowMs();
  firstFailureBatch_ = batch.number();
  restart();
  healthyRate_ = std::max(deliveredPerSecond, healthyRate_ * kHealthyRateDecay);
  drawProbeToken(batch);
  const double tokens = batch.drawUniform();
  probeToken_ += tokens;
  const double rate = std::max(0.0, arrivalsPerSecond - 1000 / spanMs);
  const double graceMs = kShortOutageSpans * spanMs - kGraceCalls / rate * 1000;
  boundFromMs_ = batch.nowMs() + (rate > 0 ? std::max(0.0, graceMs) : 0);
  const double freeRetries = kFreeRetryShare * portable::exp(rate * spanMs / 1000);
  freeProbe_ = batch.drawUniform() < std::max(freeRetries, kFewRelays / batch.settings.instanceCount);
  return tokens;
}

void SlowStart::recordFailure(double nowMs, double sentMs) {
  if (failurePending() && sentMs >= firstFailureMs_) freeProbe_ = false;
  lastFailureMs_ = nowMs;
  newestFailedSentMs_ = std::max(newestFailedSentMs_, sentMs);
}

void SlowStart::recordRecovery(const BatchContext& batch, bool ejected) {
  const double spanMs = batch.settings.slowStartMs;
  // Brief failures without an ejection end here. After long failures without an ejection, the slow start
  // counts as started one span ago, so that the share depends on the number of successes only.
  if (!ejected && batch.nowMs() - firstFailureMs_ < kShortOutageSpans * spanMs) end();
  if (!failurePending()) return;
  if (!started()) startedAtMs_ = ejected ? batch.nowMs() : batch.nowMs() - spanMs;
  freeProbe_ = !busy(batch);  // with rare calls, each success allows another call
}

void SlowStart::halveProgress(double nowMs) {
  if (started()) startedAtMs_ = (startedAtMs_ + nowMs) / 2;
}

}  // namespace myrtleloft::policy
