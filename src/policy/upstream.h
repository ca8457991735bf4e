// What one limit covers: an endpoint with its own, or all endpoints of a destination. Joins what bounds its
// calls: the rate limiter, the outlier detector and slow start.
//
//     if (upstream.availableAtMs(batch) <= batch.nowMs()) {
//       upstream.beginCall();
//       upstream.spend(batch, 0, 1);
//       upstream.recordSend(batch);
//     }
//
// Cost: constant, without allocation.
#pragma once

#include <cstdint>

#include "policy/outlier_detector.h"
#include "policy/rate_limiter.h"
#include "policy/slow_start.h"
#include "state/traffic.h"

namespace myrtleloft::policy {

// Invariants: ejected only while slow start bounds the rate; attached once, before all else, to traffic that
// outlives it.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class Upstream {
 public:
  // Makes it the upstream of one endpoint of the destination with that traffic, or of all of them.
  void attach(DestinationTraffic& traffic, bool isOneEndpoint, double nowMs);
  // Sets the limit of the endpoint list in calls a second for all relays together; 0: none listed.
  void setListedRate(double perSecond) { limiter_.setListedRate(perSecond); }
  // Sets the limit of a load report in calls a second for all relays together.
  void setReportedLimit(double perSecond) { limiter_.setReportedLimit(perSecond); }
  // Takes no call before that time; an earlier one than known changes nothing.
  void setRetryAfter(double untilMs) { retryAfterUntilMs_ = std::max(retryAfterUntilMs_, untilMs); }
  // Sets whether the next call takes no token.
  void setFreeProbe(bool granted) { slowStart_.setFreeProbe(granted); }

  // The traffic of its destination.
  DestinationTraffic& traffic() const { return *traffic_; }
  // Among how many upstreams the traffic of the destination is shared, 1 or more.
  double sharers() const { return isOneEndpoint_ ? static_cast<double>(traffic_->endpoints.size()) : 1; }
  // Whether it is out by the outcomes of its calls.
  bool ejected() const { return outliers_.ejected(); }
  // Whether it is ejected, without a success since.
  bool awaitsRecovery() const { return ejected() && !slowStart_.started(); }
  // Whether it is ejected, with too few successes for requests that are not safe to retry.
  bool unproven() const { return ejected() && outliers_.successes() < kProvenSuccesses; }
  // Whether slow start bounds the rate.
  bool bounded(const BatchContext& batch) const { return slowStart_.bounds(batch.nowMs(), ejected()); }
  // Whether a call that was sent after the failures has succeeded.
  bool slowStarted() const { return slowStart_.started(); }
  // Whether it has stated to be out until a later time.
  bool statesShutdown(double nowMs) const { return nowMs < shutUntilMs_; }
  // Whether a request that arrives may be allowed to probe without a token.
  bool letsArrivalsProbe(const BatchContext& batch) const {
    return slowStart_.failurePending() && !slowStart_.freeProbe() && !slowStart_.busy(batch);
  }
  // Whether the rate was less than a call in a window when availability was last computed.
  bool callsAreRare() const { return callsAreRare_; }
  // Whether calls are rare, and not for rejections alone.
  bool callsAreRationed(const BatchContext& batch) const;
  // Until when it stated to take nothing, in ms; -kNever: it never did.
  double retryAfterUntilMs() const { return retryAfterUntilMs_; }
  // Until when no call is sent, by its statement or after rejections, in ms.
  double blockedUntilMs() const { return std::max(retryAfterUntilMs_, limiter_.pausedUntilMs()); }
  // The rate of the calls that were sent.
  const DecayedRate& sent() const { return sent_; }
  // How many calls to it are in flight, 0 or more.
  int callsInFlight() const { return callsInFlight_; }
  // Successes since the last failure, 0 or more.
  std::int64_t successes() const { return outliers_.successes(); }

  // Calls a second, above 0; kNever: no limit known. Ends a slow start that is over.
  double currentRate(BatchContext& batch);
  // When the next call may be sent, in ms; now or earlier: at once. Refills the tokens.
  double availableAtMs(BatchContext& batch);
  // A call grew from `sizeBefore` requests (0: it is new) to `sizeAfter`: takes the tokens for that.
  void spend(BatchContext& batch, int sizeBefore, int sizeAfter);
  // One more call is in flight.
  void beginCall() { ++callsInFlight_; }
  // One call less is in flight.
  void endCall() { --callsInFlight_; }
  // A call was sent.
  void recordSend(const BatchContext& batch) { sent_.add(batch.nowMs(), batch.settings.overloadWindowMs); }

  // A call sent at `sentMs` did not succeed; before recordRejection or recordFailure of the same call.
  void recordFault(BatchContext& batch, double sentMs, bool rejected);
  // A call of `size` requests succeeded; `backgroundFailureRate`: share of calls in [0, 1] that fail
  // elsewhere.
  void recordSuccess(const BatchContext& batch, double sentMs, int size, double backgroundFailureRate);
  // A call was rejected as full; `backgroundRejectionRate`: share of calls in [0, 1] that are rejected
  // elsewhere.
  void recordRejection(BatchContext& batch, double sentMs, double backgroundRejectionRate);
  // A call sent at `sentMs` was rejected for longer than a limit takes to have capacity again: the upstream
  // is out, and all relays that were told so may call at one moment.
  void recordShutdown(BatchContext& batch, double sentMs);
  // A call failed, with or without a connection; `expectedFailureRate`: share of calls in [0, 1] that fail
  // that way without an outage.
  void recordFailure(BatchContext& batch, double sentMs, bool connected, double expectedFailureRate);

 private:
  void noteFailure(BatchContext& batch, double sentMs);
  void decreaseRate(BatchContext& batch, double sentMs);
  void eject(const BatchContext& batch);
  void readmit();
  void drawProbeToken(BatchContext& batch);
  // How many requests wait that came since the first failure.
  double waitingSinceFailure() const;
  double rateOfSlowStart(const BatchContext& batch, double share) const;

  DestinationTraffic* traffic_ = nullptr;
  bool isOneEndpoint_ = false;
  bool callsAreRare_ = false;
  int callsInFlight_ = 0;
  double retryAfterUntilMs_ = -kNever;
  double shutUntilMs_ = -kNever;  // by its latest rejection that no limit explains
  DecayedRate sent_;
  DecayedRate delivered_;
  OutlierDetector outliers_;
  SlowStart slowStart_;
  AdaptiveRateLimiter limiter_;
};

// Inline: evaluated for each request that waits and each of its endpoints.
inline bool Upstream::callsAreRationed(const BatchContext& batch) const {
  const bool merelyFull =
      batch.settings.instanceCount <= kRejectionHoldRelays && outliers_.rejections() > 0 && !ejected();
  return callsAreRare_ && !merelyFull && !slowStart_.freeProbe() && !slowStart_.busy(batch);
}

}  // namespace myrtleloft::policy
