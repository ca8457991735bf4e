// Slow start of one upstream: after a failure, rejection or lost call its rate is bounded until the upstream
// has recovered. docs/design/slow-start.md explains the reasoning.
// Cost: constant, without allocation.
#pragma once

#include <cstdint>

#include "policy/constants.h"
#include "state/batch_context.h"
#include "state/portable_math.h"

namespace myrtleloft::policy {

// State machine with three states: healthy; failure pending, waiting for a success; and started, where the
// share of the capacity grows with time and successes. Class Upstream computes the rate from these shares.
// Invariants: only a success of a call sent after the failures starts the slow start; the rate is bounded
// only while a failure is pending.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class SlowStart {
 public:
  // Whether a failure was recorded from which the upstream has not yet recovered.
  bool failurePending() const { return lastFailureMs_ >= 0; }
  // Number of the batch that brought the first failure since the last recovery.
  std::uint64_t firstFailureBatch() const { return firstFailureBatch_; }
  // Whether a call that was sent after the failures has succeeded, so that the rate is growing.
  bool started() const { return startedAtMs_ >= 0; }
  // Whether the rate is bounded at `nowMs`. For an upstream that is frequently called and not ejected, the
  // bound begins only some time after the first failure.
  bool bounds(double nowMs, bool ejected) const {
    return failurePending() && (ejected || nowMs >= boundFromMs_);
  }
  // Whether the upstream had at least one call per slow-start duration while healthy.
  bool busy(const BatchContext& batch) const { return healthyRate_ * batch.settings.slowStartMs >= 1000; }
  // Whether the last failure is too old to bound the rate any longer.
  bool expired(const BatchContext& batch) const {
    return failurePending() && !started() && !busy(batch) &&
           batch.nowMs() - lastFailureMs_ > kFailureMemorySpans * batch.settings.slowStartMs;
  }
  // Whether the success of a call sent at `sentMs` shows a recovery: it was sent after all failed calls.
  bool recoveryShownBy(double sentMs) const { return sentMs > newestFailedSentMs_; }
  // Whether the next call needs no token.
  bool freeProbe() const { return freeProbe_; }
  // Tokens that the next call needs while calls are rare, above 0. Drawn at random, 1 on average.
  double probeToken() const { return probeToken_; }
  // Fraction of `share` that may be used by the relays that saw a failure, in (0, kRampBudget].
  double budget(const BatchContext& batch) const;
  // Share of the capacity that all relays together may use; 1 or more when the slow start has ended.
  double share(const BatchContext& batch, std::int64_t successes) const;
  // Estimate of this relay's part of the upstream's full capacity, in calls per second, `fairShare` or more.
  // `queued` is the number of requests that wait for the upstream.
  double capacityShare(const BatchContext& batch, double fairShare, double queued) const;

  // Records the first failure since the last recovery, with the rates before it in calls per second. Returns
  // the tokens, drawn at random from [0, 1), with which the rate limiter continues.
  double recordFirstFailure(BatchContext& batch, double deliveredPerSecond, double arrivalsPerSecond);
  // Records a failure of a call sent at `sentMs`; for the first failure, call this after recordFirstFailure.
  void recordFailure(double nowMs, double sentMs);
  // Records a success of a call sent after the failures. Starts the slow start, or ends it at once if the
  // failures were brief and the upstream was not ejected.
  void recordRecovery(const BatchContext& batch, bool ejected);
  // Returns to the state in which a failure is pending and no call has succeeded since.
  void restart() { startedAtMs_ = -1; }
  // Halves the time since the start, and with it the progress of the ramp.
  void halveProgress(double nowMs);
  // Ends the slow start: no failure is pending any longer.
  void end() { lastFailureMs_ = -1; }
  // Draws the tokens that the next call needs; the randomness keeps relays from probing at the same time.
  void drawProbeToken(BatchContext& batch) { probeToken_ = batch.drawExponential(); }
  // Sets whether the next call needs no token.
  void setFreeProbe(bool granted) { freeProbe_ = granted; }

 private:
  double startedAtMs_ = -1;    // time of the first success after the failures; -1 if not started
  double healthyRate_ = 0;     // calls delivered per second before the failures
  double lastFailureMs_ = -1;  // since the last recovery; -1 if none
  double firstFailureMs_ = 0;
  std::uint64_t firstFailureBatch_ = 0;
  double newestFailedSentMs_ = -kNever;
  double boundFromMs_ = 0;
  double probeToken_ = 1;
  bool freeProbe_ = false;
};

// The functions from here to the end are inline because they are evaluated for each endpoint at each ranking.
inline double SlowStart::budget(const BatchContext& batch) const {
  const double probes = kProbeBudget + kRampBudget / batch.settings.instanceCount;
  return started() ? kRampBudget : std::min(kRampBudget, probes);
}

inline double SlowStart::share(const BatchContext& batch, std::int64_t successes) const {
  const double initialShare = batch.settings.slowStartShare;
  if (!started()) return initialShare;
  // Each success doubles the share at most: if calls are rare, a single success may occur during an outage.
  const double spans = (batch.nowMs() - startedAtMs_) / batch.settings.slowStartMs;
  return std::min(initialShare + (1 - initialShare) * spans,
                  initialShare * portable::exp2(static_cast<double>(successes) + spans));
}

inline double SlowStart::capacityShare(const BatchContext& batch, double fairShare, double queued) const {
  if (busy(batch)) return std::max(healthyRate_, fairShare);
  const double windowMs = batch.settings.overloadWindowMs;
  const double ageS = std::max(batch.nowMs() - firstFailureMs_, windowMs) / 1000;
  const double windows = std::max(1.0, batch.longestLifetimeMs() / windowMs);
  return std::max(fairShare, kQueueShare * queued / (ageS * (1 + portable::log(windows))));
}

}  // namespace myrtleloft::policy
