#include "policy/rate_limiter.h"

#include "state/portable_math.h"

namespace myrtleloft::policy {

void AdaptiveRateLimiter::decrease(const BatchContext& batch, double sentMs, int rejections,
                                   const DecayedRate& sent, const DecayedRate& delivered) {
  const double windowMs = batch.settings.overloadWindowMs;
  if (sentMs >= lastDecreaseMs_) {
    const double sentRate = std::max(decayedPerSecond(batch, sent, windowMs), kMinRatePerSecond);
    threshold_ = std::min(ratePerSecond_, sentRate);
    // At least half of the recently delivered rate remains, as repeated decreases would stop all calls.
    const double deliveredRate = decayedPerSecond(batch, delivered, batch.settings.slowStartMs);
    const double minimumRate = std::max({fairShare(batch), deliveredRate * 0.5, kMinRatePerSecond});
    ratePerSecond_ = std::max(threshold_ * kDecreaseFactor, minimumRate);
    lastDecreaseMs_ = batch.nowMs();
    lastIncreaseMs_ = batch.nowMs();
  }
  const double pauseMs = 1000 / ratePerSecond_ * std::pow(2, std::max(0, rejections - 1));
  pausedUntilMs_ = batch.nowMs() + std::min(pauseMs, windowMs * 0.5);
}

bool AdaptiveRateLimiter::decreaseSparse(const BatchContext& batch, double sentMs, int rejections) {
  if (sentMs < lastDecreaseMs_) return false;
  threshold_ = std::max(slowStartCapacityShare(batch), threshold_ * kSparseDecreaseFactor);
  ratePerSecond_ = slowStartCapacityShare(batch) * portable::exp2(-std::clamp(rejections - 1, 0, 2));
  lastDecreaseMs_ = batch.nowMs();
  lastIncreaseMs_ = batch.nowMs();
  return true;
}

void AdaptiveRateLimiter::increase(const BatchContext& batch, bool queueEmpty, const DecayedRate& sent) {
  if (ratePerSecond_ == kNever) return;
  const double sinceS = (batch.nowMs() - lastIncreaseMs_) / 1000;
  lastIncreaseMs_ = batch.nowMs();
  if (sparseTraffic(batch)) {
    const double increased = threshold_ * (queueEmpty ? 1 : 1 + kSparseIncrease);
    const double recovered = threshold_ * portable::exp(sinceS * kSparseRecovery);
    restartAt(std::min(recovered, std::max(increased, listedShare(batch))));
    return;
  }
  const double growth = ratePerSecond_ < threshold_ * 0.9 ? kFastIncrease : kSlowIncrease;
  ratePerSecond_ *= 1 + std::clamp(sinceS, 0.0, 1.0) * growth;
  if (ratePerSecond_ > 4 * decayedPerSecond(batch, sent, batch.settings.overloadWindowMs) + 4) lift();
}

}  // namespace myrtleloft::policy
