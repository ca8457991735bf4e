// The unit to which a capacity limit applies: one endpoint with a limit of its own, or all endpoints of a
// destination. Combines the rate limiter, the outlier detector and slow start that bound the calls to it.
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

// Invariants: an ejected upstream has a pending failure, so slow start bounds its rate; `attach` is called
// once, before any other member, and the traffic outlives the upstream.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class Upstream {
 public:
  // Makes this the upstream of one endpoint (`isOneEndpoint`) or of all endpoints of the destination to which
  // `traffic` belongs.
  void attach(DestinationTraffic& traffic, bool isOneEndpoint, double nowMs);
  // Sets the limit from the endpoint list, in calls per second for all relays together; 0 if none is listed.
  void setListedRate(double perSecond) { limiter_.setListedRate(perSecond); }
  // Sets the limit from a load report, in calls per second for all relays together.
  void setReportedLimit(double perSecond) { limiter_.setReportedLimit(perSecond); }
  // Records a Retry-After: no call is sent before `untilMs`. A time before the one already known is ignored.
  void setRetryAfter(double untilMs) { retryAfterUntilMs_ = std::max(retryAfterUntilMs_, untilMs); }
  // Sets whether the next call needs no token.
  void setFreeProbe(bool granted) { slowStart_.setFreeProbe(granted); }

  // The traffic of the destination.
  DestinationTraffic& traffic() const { return *traffic_; }
  // Number of upstreams among which the traffic of the destination is divided, 1 or more.
  double upstreamCount() const {
    return isOneEndpoint_ ? static_cast<double>(traffic_->endpoints.size()) : 1;
  }
  // Whether outlier detection has ejected the upstream.
  bool ejected() const { return outliers_.ejected(); }
  // Whether the upstream is ejected and no call has succeeded since.
  bool awaitsRecovery() const { return ejected() && !slowStart_.started(); }
  // Whether the upstream is ejected and has had too few successes for requests that are not safe to retry.
  bool unproven() const { return ejected() && outliers_.successes() < kProvenSuccesses; }
  // Whether slow start bounds the rate.
  bool bounded(const BatchContext& batch) const { return slowStart_.bounds(batch.nowMs(), ejected()); }
  // Whether a call that was sent after the failures has succeeded.
  bool slowStarted() const { return slowStart_.started(); }
  // Whether the upstream has announced an outage, by a long Retry-After, that lasts beyond `nowMs`.
  bool outageAnnounced(double nowMs) const { return nowMs < announcedOutageUntilMs_; }
  // Whether an arriving request may be granted a probe without a token.
  bool arrivalsMayProbe(const BatchContext& batch) const {
    return slowStart_.failurePending() && !slowStart_.freeProbe() && !slowStart_.busy(batch);
  }
  // Whether the rate was less than one call per overload window when availableAtMs was last called.
  bool callsAreRare() const { return callsAreRare_; }
  // Whether calls are so rare that some requests cannot be attempted in time. False with a probe granted, for
  // an upstream that was frequently called while healthy, and if there are few relays and the upstream has
  // only rejected calls at its limit.
  bool callsAreRationed(const BatchContext& batch) const;
  // When the latest Retry-After ends, in ms; -kNever if there was none.
  double retryAfterUntilMs() const { return retryAfterUntilMs_; }
  // Until when no call is sent because of a Retry-After or a pause after rejections, in ms.
  double blockedUntilMs() const { return std::max(retryAfterUntilMs_, limiter_.pausedUntilMs()); }
  // Rate of the calls sent to the upstream.
  const DecayedRate& sent() const { return sent_; }
  // Number of calls in flight to the upstream.
  int callsInFlight() const { return callsInFlight_; }
  // Number of successes since the last failure.
  std::int64_t successes() const { return outliers_.successes(); }

  // Calls per second, above 0; kNever if no limit is known. Ends a slow start that is complete or expired.
  double currentRate(BatchContext& batch);
  // Refills the token bucket and returns when the next call may be sent, in ms; now or earlier means at once.
  double availableAtMs(BatchContext& batch);
  // Takes the tokens for a call that grew from `sizeBefore` requests (0 if it is new) to `sizeAfter`.
  void spend(BatchContext& batch, int sizeBefore, int sizeAfter);
  // Counts a call as in flight.
  void beginCall() { ++callsInFlight_; }
  // Counts a call as no longer in flight.
  void endCall() { --callsInFlight_; }
  // Adds a call to the rate of calls sent.
  void recordSend(const BatchContext& batch) { sent_.add(batch.nowMs(), batch.settings.overloadWindowMs); }

  // Records that a call sent at `sentMs` did not succeed. Must precede recordRejection or recordFailure for
  // the same call.
  void recordUnsuccessfulCall(BatchContext& batch, double sentMs, bool rejected);
  // Records the success of a call of `size` requests. `backgroundFailureRate` is the share (0 to 1) of calls
  // that fail at upstreams that are not ejected.
  void recordSuccess(const BatchContext& batch, double sentMs, int size, double backgroundFailureRate);
  // Records a call that was rejected for lack of capacity. `backgroundRejectionRate` is the share of calls,
  // in [0, 1], that are rejected at upstreams that are not ejected.
  void recordRejection(BatchContext& batch, double sentMs, double backgroundRejectionRate);
  // Records a rejection whose Retry-After is longer than the overload window, so that a rate limit cannot be
  // its cause: the upstream has an outage. Ejects it, because all relays that were given the same Retry-After
  // could otherwise call at the moment when it ends.
  void recordAnnouncedOutage(BatchContext& batch, double sentMs);
  // Records a failed call. `connected` is false if its connection was refused; `expectedFailureRate` is the
  // share of calls, in [0, 1], that fail in this way without an outage.
  void recordFailure(BatchContext& batch, double sentMs, bool connected, double expectedFailureRate);

 private:
  // Records a failure from which slow start has to recover.
  void recordPendingFailure(BatchContext& batch, double sentMs);
  void decreaseRate(BatchContext& batch, double sentMs);
  void eject(const BatchContext& batch);
  // Ends both the ejection and the slow start.
  void readmit();
  // Draws the tokens for the next probe, and empties the bucket.
  void drawProbeToken(BatchContext& batch);
  // Number of waiting requests that arrived since the batch of the first failure.
  double waitingSinceFailure() const;
  // Rate that slow start permits this relay, in calls per second, at the given share of the capacity.
  double rateOfSlowStart(const BatchContext& batch, double share) const;

  DestinationTraffic* traffic_ = nullptr;
  bool isOneEndpoint_ = false;
  bool callsAreRare_ = false;
  int callsInFlight_ = 0;
  double retryAfterUntilMs_ = -kNever;
  double announcedOutageUntilMs_ = -kNever;  // end of the outage that recordAnnouncedOutage last recorded
  DecayedRate sent_;
  DecayedRate delivered_;
  OutlierDetector outliers_;
  SlowStart slowStart_;
  AdaptiveRateLimiter limiter_;
};

// Inline because it is evaluated for each waiting request and each endpoint of its destination.
inline bool Upstream::callsAreRationed(const BatchContext& batch) const {
  const bool onlyOverLimit =
      batch.settings.instanceCount <= kRejectionHoldRelays && outliers_.rejections() > 0 && !ejected();
  return callsAreRare_ && !onlyOverLimit && !slowStart_.freeProbe() && !slowStart_.busy(batch);
}

}  // namespace myrtleloft::policy
