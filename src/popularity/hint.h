// Hints: what one relay has learned of an endpoint, as reported to another relay, each value with its age. A
// hint can only slow down the relay that receives it.
//
//   Restrictions after = applyHint(hint, own, nowMs, sinceReceivedMs, decay);
//
// `Restrictions` is the part of a relay's knowledge that holds calls back. A set of restrictions is at least
// as strict as another if each of its members restricts at least as much. The result of applyHint is at least
// as strict as its input; applying a hint twice has the same effect as once, and two hints of the same time
// can be applied in either order. A hint therefore never ends a Retry-After, a drain or a rate bound, never
// raises a rate or a connection limit, and never states that an endpoint is healthy.
//
// Ages are measured by the sender's clock until the hint is sent and by the receiver's clock from then on, so
// that clocks are never compared. Does no I/O; thread-safe; O(1).
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace myrtleloft {

struct AgedValue {
  double value = 0;
  double ageMs = 0;  // time since the value was learned, at the time of sending
};

struct Hint {
  std::string endpoint;                        // the endpoint's uid
  std::optional<AgedValue> ratePerS;           // rate limit of the sender's own share
  std::optional<AgedValue> typicalLatencyMs;   // typical response time
  std::optional<AgedValue> rejectedShare;      // share of the sender's calls rejected for lack of capacity
  std::optional<AgedValue> outageProbability;  // probability that the endpoint is out of service
  std::optional<AgedValue> retryAfterMs;       // remaining time of a Retry-After
  std::optional<AgedValue> connectionCap;      // number of connections at which more were refused
};

struct Restrictions {
  double ratePerS = std::numeric_limits<double>::infinity();
  double typicalLatencyMs = 0;  // learned by this relay; 0 if unknown
  double hintedLatencyMs = 0;   // used while typicalLatencyMs is unknown
  double rejectedShare = 0;
  double outageProbability = 0;
  double blockedUntilMs = -std::numeric_limits<double>::infinity();
  double connectionCap = std::numeric_limits<double>::infinity();
  bool draining = false;
  bool rateBounded = false;  // the rate is bounded after a failure
  friend bool operator==(const Restrictions&, const Restrictions&) = default;
};

// How the effect of hints decays with their age. All values follow from settings, see HintDecay::of.
struct HintDecay {
  double halfLifeMs = 0;   // time after which a restriction counts half and a rate limit is doubled
  double maxAgeMs = 0;     // older values are ignored
  double maxWaitMs = 0;    // upper bound of a wait caused by a hint
  double minRatePerS = 0;  // lower bound of a hinted rate: the lowest rate that differs from a standstill
  // Takes coldMs and maxRetryAfterMs of the settings. What was observed of an endpoint is valid little longer
  // than its slow start, and the decision module discards its own failures after two slow starts as well.
  static HintDecay of(double coldMs, double maxRetryAfterMs);
};

// A hint alone never marks an endpoint as out of service (probability 1); that takes a failure observed by
// this relay.
inline constexpr double kMaxHintedOutageProbability = 0.5;

bool isAtLeastAsStrict(const Restrictions& a, const Restrictions& b);
// sinceReceivedMs: time since the hint arrived, by this relay's clock.
Restrictions applyHint(const Hint& hint, const Restrictions& own, double nowMs, double sinceReceivedMs,
                       const HintDecay& decay);

}  // namespace myrtleloft
