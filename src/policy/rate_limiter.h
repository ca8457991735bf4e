// Adaptive rate limiter of one upstream: a token bucket whose rate increases with successes and decreases
// multiplicatively with rejections.
//
//     limiter.decrease(batch, sentMs, rejections, sent, delivered);   // with a rejection
//     limiter.increase(batch, queueEmpty, sent);                      // with a success
//     limiter.bucket.refill(nowMs, limiter.ratePerSecond(), kNever, burst);
//
// Cost: constant, without allocation.
#pragma once

#include "policy/constants.h"
#include "state/batch_context.h"
#include "state/decayed_rate.h"
#include "state/token_bucket.h"

namespace myrtleloft::policy {

// Events per second, averaged over at least kMinObservedShare of the time constant.
inline double decayedPerSecond(const BatchContext& batch, const DecayedRate& rate, double timeConstantMs) {
  return rate.perSecond(batch.nowMs(), timeConstantMs, timeConstantMs * kMinObservedShare);
}

// The rate at which one relay may call one upstream. Traffic is sparse if the relay's share of the upstream's
// capacity during slow start is less than one call per overload window. A single rejection then says little
// about the relay's own rate, so the rate stays near the relay's share of the listed limit.
// Invariants: the rate is above 0; it is kNever while no limit is known, and the threshold is then unused.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class AdaptiveRateLimiter {
 public:
  TokenBucket bucket;  // a call takes one token; class Upstream refills it

  // Calls per second; kNever if no limit is known.
  double ratePerSecond() const { return ratePerSecond_; }
  // When the pause after the latest rejection ends, in ms; -kNever if there was none.
  double pausedUntilMs() const { return pausedUntilMs_; }
  // Sets the limit from the endpoint list, in calls per second for all relays together; 0 if none is listed.
  void setListedRate(double perSecond) { listedRate_ = perSecond; }
  // Sets the limit from a load report, in calls per second for all relays together. It takes precedence over
  // the listed limit.
  void setReportedLimit(double perSecond) { reportedLimit_ = perSecond; }

  // The part of the reported or listed limit that this relay may safely use, in calls per second; 0 if no
  // limit is known.
  double fairShare(const BatchContext& batch) const;
  // Whether this relay's share of the upstream's initial capacity in a slow start is less than one call per
  // overload window.
  bool sparseTraffic(const BatchContext& batch) const;
  // Records the rejection of a call sent at `sentMs`, the last of `rejections` consecutive ones: decreases
  // the rate, unless it was already decreased after the call was sent, and pauses all calls.
  void decrease(const BatchContext& batch, double sentMs, int rejections, const DecayedRate& sent,
                const DecayedRate& delivered);
  // Decreases the rate in sparse traffic, where a rejection only shows that all relays together exceeded the
  // limit. Returns false, without any change, if the rate was already decreased after the call was sent.
  bool decreaseSparse(const BatchContext& batch, double sentMs, int rejections);
  // Records a success: increases the rate, and removes the limit if the rate is far above the rate of calls.
  void increase(const BatchContext& batch, bool queueEmpty, const DecayedRate& sent);
  // Removes the limit.
  void lift() { ratePerSecond_ = kNever; }
  // In sparse traffic without a limit, starts at the relay's share of the listed limit with a random fraction
  // of a token, so that relays do not send their first calls at the same time.
  void startIfSparse(BatchContext& batch);
  // Sets both the rate and the threshold, in calls per second. Returns the rate.
  double restartAt(double perSecond);

 private:
  // This relay's share of the upstream's initial capacity in a slow start, in calls per second.
  double slowStartCapacityShare(const BatchContext& batch) const {
    return listedRate_ * batch.settings.overloadFactor * batch.settings.slowStartShare * kRampBudget /
           batch.settings.instanceCount;
  }
  double listedShare(const BatchContext& batch) const {
    return listedRate_ * kRatingShare / batch.settings.instanceCount;
  }

  double ratePerSecond_ = kNever;
  double threshold_ = kNever;  // rate at the last decrease; above it the rate grows slowly
  double lastDecreaseMs_ = -kNever;
  double lastIncreaseMs_ = 0;
  double pausedUntilMs_ = -kNever;
  double listedRate_ = 0;
  double reportedLimit_ = 0;
};

// The functions from here to the end are inline because they are evaluated for each endpoint at each ranking.
inline bool AdaptiveRateLimiter::sparseTraffic(const BatchContext& batch) const {
  return batch.settings.instanceCount > kRejectionHoldRelays && listedRate_ > 0 &&
         slowStartCapacityShare(batch) * batch.settings.overloadWindowMs < 1000;
}

inline double AdaptiveRateLimiter::fairShare(const BatchContext& batch) const {
  const bool rough = batch.settings.ratingKind == RatingKind::kRough;
  if (reportedLimit_ > 0) return reportedLimit_ * kRatingShare / batch.settings.instanceCount;
  return listedRate_ * (rough ? kRoughRatingShare : kRatingShare) / batch.settings.instanceCount;
}

inline void AdaptiveRateLimiter::startIfSparse(BatchContext& batch) {
  if (ratePerSecond_ != kNever || !sparseTraffic(batch)) return;
  restartAt(listedShare(batch));
  bucket.fill(batch.nowMs(), batch.drawUniform());
  lastIncreaseMs_ = batch.nowMs();
}

inline double AdaptiveRateLimiter::restartAt(double perSecond) {
  threshold_ = perSecond;
  ratePerSecond_ = perSecond;
  return ratePerSecond_;
}

}  // namespace myrtleloft::policy
