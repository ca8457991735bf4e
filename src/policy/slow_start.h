// The bounded rate of one upstream after any failure, rejection or lost call, until it takes its full rate
// again; docs/design/slow-start.md has the argument.
// Cost: constant, without allocation.
#pragma once

#include <cstdint>

#include "policy/constants.h"
#include "state/batch_context.h"

namespace myrtleloft::policy {

// The state after a failure: none, failed (waits for a success), started (the share of the capacity grows
// with time and successes). What the rate is then, its upstream computes from the shares here.
// Invariants: started only by a success after the failures; the rate is bounded only while a failure is
// pending.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class SlowStart {
 public:
  // Whether a failure was seen from which the upstream has not yet recovered.
  bool failurePending() const { return lastFailureMs_ >= 0; }
  // The number of the batch in which the first failure since the last recovery was seen.
  std::uint64_t firstFailureBatch() const { return firstFailureBatch_; }
  // Whether a call that was sent after the failures has succeeded.
  bool started() const { return startedAtMs_ >= 0; }
  // Whether the rate is bounded at that time: a busy upstream that is not ejected goes on unbounded for a
  // while.
  bool bounds(double nowMs, bool ejected) const {
    return failurePending() && (ejected || nowMs >= boundFromMs_);
  }
  // Whether it had a call or more in a span while healthy.
  bool busy(const BatchContext& batch) const { return healthyRate_ * batch.settings.slowStartMs >= 1000; }
  // Whether the failures are so old that they bound nothing any more.
  bool expired(const BatchContext& batch) const {
    return failurePending() && !started() && !busy(batch) &&
           batch.nowMs() - lastFailureMs_ > kFailureMemorySpans * batch.settings.slowStartMs;
  }
  // Whether a success of a call sent at that time shows a recovery.
  bool provenBy(double sentMs) const { return sentMs > newestFailedSentMs_; }
  // Whether the next call takes no token.
  bool freeProbe() const { return freeProbe_; }
  // Tokens that the next call takes while calls are rare, above 0; about 1 on average.
  double probeToken() const { return probeToken_; }
  // The part of the share, in (0, kRampBudget], that relays which saw a failure may use.
  double budget(const BatchContext& batch) const;
  // The share of the capacity that all relays together may use; 1 or more: the slow start has ended.
  double share(const BatchContext& batch, std::int64_t successes) const;
  // This relay's part of the capacity, in calls a second: `fairShare` at least; `queued` requests wait for
  // it.
  double capacityShare(const BatchContext& batch, double fairShare, double queued) const;

  // The first failure since the last recovery, with the rates before it, in calls a second. Draws the tokens,
  // in [0, 1), that the rate limiter has from then on.
  double recordFirstFailure(BatchContext& batch, double deliveredPerSecond, double arrivalsPerSecond);
  // Any failure, the first included, of a call sent at `sentMs`.
  void recordFailure(double nowMs, double sentMs);
  // A success after the failures: it starts, or ends it where a short failure led to no ejection.
  void recordRecovery(const BatchContext& batch, bool ejected);
  // Goes back to waiting for a success.
  void restart() { startedAtMs_ = -1; }
  // Halves the progress in time.
  void setBack(double nowMs);
  // The upstream takes its full rate: no failure is pending.
  void end() { lastFailureMs_ = -1; }
  // Draws what the next call takes, by chance: relays must not probe in step.
  void drawProbeToken(BatchContext& batch) { probeToken_ = batch.drawExponential(); }
  // Sets whether the next call takes no token.
  void setFreeProbe(bool granted) { freeProbe_ = granted; }

 private:
  double startedAtMs_ = -1;    // first success after the last failure; -1: none yet
  double healthyRate_ = 0;     // calls a second that were delivered before the failures
  double lastFailureMs_ = -1;  // since the last recovery; -1: none
  double firstFailureMs_ = 0;
  std::uint64_t firstFailureBatch_ = 0;
  double newestFailedSentMs_ = -kNever;
  double boundFromMs_ = 0;
  double probeToken_ = 1;
  bool freeProbe_ = false;
};

// Inline, as those below: evaluated for each endpoint whenever endpoints are ranked.
inline double SlowStart::budget(const BatchContext& batch) const {
  const double probes = kProbeBudget + kRampBudget / batch.settings.instanceCount;
  return started() ? kRampBudget : std::min(kRampBudget, probes);
}

inline double SlowStart::share(const BatchContext& batch, std::int64_t successes) const {
  const double least = batch.settings.slowStartShare;
  if (!started()) return least;
  // At most twofold with each success: where calls are rare, one may be a lucky one of an outage.
  const double spans = (batch.nowMs() - startedAtMs_) / batch.settings.slowStartMs;
  return std::min(least + (1 - least) * spans, least * std::exp2(static_cast<double>(successes) + spans));
}

inline double SlowStart::capacityShare(const BatchContext& batch, double fairShare, double queued) const {
  if (busy(batch)) return std::max(healthyRate_, fairShare);
  const double windowMs = batch.settings.overloadWindowMs;
  const double ageS = std::max(batch.nowMs() - firstFailureMs_, windowMs) / 1000;
  const double windows = std::max(1.0, batch.longestLifetimeMs() / windowMs);
  return std::max(fairShare, kQueueShare * queued / (ageS * (1 + std::log(windows))));
}

}  // namespace myrtleloft::policy
