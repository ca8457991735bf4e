// Constants of the decisions. docs/design/slow-start.md explains those about outages and slow start.
//
// Shares, factors and weights have no unit. A span is Settings::slowStartMs, the duration of a slow start. A
// window is Settings::overloadWindowMs, in which the calls that may overload an upstream are counted.
#pragma once

namespace myrtleloft::policy {

// Retries.

// Number of ambiguous attempts after which a request is given up; rejected attempts do not count.
inline constexpr int kMaxAmbiguousAttempts = 3;
// Share of the time until the deadline that an attempt may take, which leaves as much time for another.
inline constexpr double kAttemptTimeShare = 0.5;
// Upper bound of an attempt's timeout, as a multiple of the endpoint's typical latency.
inline constexpr double kTimeoutLatencyFactor = 6;
// The upper bound of an attempt's timeout is at least this multiple of the latency objective: timing out too
// early discards work that is nearly complete.
inline constexpr double kTimeoutObjectiveFactor = 1.5;
// Share of the idempotency window in which another attempt may start; the rest allows for the time that a
// call takes to arrive.
inline constexpr double kIdempotencyWindowShare = 0.95;

// Endpoint list.

// Share of the time until its last attempt may start for which a request is held while the cached endpoint
// list is not confirmed, so that a request with little time left is still attempted.
inline constexpr double kListConfirmationShare = 0.5;

// Latency.

// An endpoint is unresponsive when a call has been in flight for this many typical latencies without any
// success since.
inline constexpr double kUnresponsiveLatencyFactor = 4;
// Weight of the newest call in the moving averages of its endpoint.
inline constexpr double kNewestWeight = 0.3;
// Weight of the newest call in the background rates over all upstreams; small, so that the outage of a single
// upstream does not dominate them.
inline constexpr double kBackgroundWeight = 0.03;
// Typical latency in ms while no call has succeeded.
inline constexpr double kDefaultLatencyMs = 250;

// Rate limiter.

// Factor by which a rejection multiplies the relay's rate.
inline constexpr double kDecreaseFactor = 0.7;
// Relative growth of the rate per second while it is below the rate at which the last rejection occurred.
inline constexpr double kFastIncrease = 0.5;
// Relative growth of the rate per second near and above the rate at which the last rejection occurred.
inline constexpr double kSlowIncrease = 0.1;
// Share of the listed or reported limit that all relays together plan to use.
inline constexpr double kRatingShare = 0.8;
// Share of the listed or reported limit that all relays together plan to use if the ratings of the endpoint
// list are rough.
inline constexpr double kRoughRatingShare = 0.5;
// Tokens that may accumulate, in seconds of the rate.
inline constexpr double kBurstSeconds = 0.5;
// Lowest rate in calls per second; lower rates would amount to no calls at all.
inline constexpr double kMinRatePerSecond = 0.5;
// Minimum averaging period of a decayed rate, as a share of its time constant; otherwise a single early event
// would give a very high rate.
inline constexpr double kMinObservedShare = 0.2;

// Sparse traffic: many relays share the upstream, and each calls it rarely.

// Factor by which a rejection multiplies the threshold of the rate limiter while traffic is sparse.
inline constexpr double kSparseDecreaseFactor = 0.5;
// Exponential growth of the rate per second while it recovers to the relay's share of the listed limit in
// sparse traffic.
inline constexpr double kSparseRecovery = 0.25;
// Relative growth of the rate with each success in sparse traffic while requests wait, also above the relay's
// share of the listed limit.
inline constexpr double kSparseIncrease = 0.05;
// Tokens that may accumulate in sparse traffic if no call was rejected; kBurstSeconds would allow less than
// one token.
inline constexpr double kSparseBurst = 2;

// Outlier detection, which estimates the odds that an upstream has an outage.

// Expected interval between the beginnings of outages, in spans.
inline constexpr double kOutageIntervalSpans = 100;
// Upper bound of the odds of an outage that time alone can reach; only outcomes of calls raise them further.
inline constexpr double kMaxPriorOdds = 0.05;
// Share of calls that fail during an outage; below 1, so that a single success does not rule out an outage.
inline constexpr double kOutageFailureRate = 0.95;
// Upper bound of the odds of an outage; higher odds would take many successes to come down.
inline constexpr double kMaxOutageOdds = 2;
// Lower bound of the background rates of failures and rejections.
inline constexpr double kMinBackgroundRate = 0.1;
// Consecutive rejections count as an outage if their probability at the background rate is below this.
inline constexpr double kChanceOfRejections = 0.03;
// Consecutive successes before an ejected upstream gets non-idempotent requests, which a failure would end.
inline constexpr int kProvenSuccesses = 2;

// Slow start.

// Tokens for each request of a call after the first, which takes one token.
inline constexpr double kFurtherRequestWeight = 0.2;
// Share of a recovering upstream's capacity that the probes of the relays which saw a failure use in a large
// fleet. It is below the two thirds that the overload rule allows these relays.
inline constexpr double kProbeBudget = 0.5;
// Upper bound of the share of a recovering upstream's capacity that the relays which saw a failure use. It
// applies in a small fleet, and to a relay whose call has succeeded.
inline constexpr double kRampBudget = 0.6;
// Share of the capacity estimated from the queue that is used, since demand may exceed the capacity.
inline constexpr double kQueueShare = 0.5;
// Spans after which a failure no longer bounds the rate; few requests wait that long.
inline constexpr double kFailureMemorySpans = 2;
// Probability that a relay that rarely calls an upstream retries after a first failure without a token. It
// rises with the rate of arrivals.
inline constexpr double kFreeRetryShare = 1.0 / 3;
// In a fleet of up to this many relays, each retries after a first failure without a token.
inline constexpr double kFewRelays = 3;
// Rate of arriving requests that probe without a token, relative to the arrivals at relays without a failure.
inline constexpr double kFreeProbeShare = 0.25;
// Calls per window, of all relays together, that are always allowed.
inline constexpr double kMinProbesPerWindow = 1;
// Shortest outage, in spans, for which the rate to a frequently called upstream is bounded.
inline constexpr double kShortOutageSpans = 0.4;
// Calls expected between the start of the bound after a first failure and the end of an outage that lasts
// kShortOutageSpans.
inline constexpr double kGraceCalls = 2.5;
// Factor by which the healthy rate known from an earlier failure is multiplied; old rates are less reliable.
inline constexpr double kHealthyRateDecay = 0.8;
// With up to this many relays, a request rejected by a full endpoint waits at its relay: the client could
// only send it to another relay, which is limited in the same way.
inline constexpr int kRejectionHoldRelays = 4;

// Concurrency.

// Calls in flight above which the next endpoint of the chain is preferred, as a multiple of the concurrency
// that this relay's share of the endpoint's rating leads to.
inline constexpr double kConcurrencyFactor = 2.5;
// Lower bound of the number of calls in flight above which the next endpoint of the chain is preferred.
inline constexpr double kMinConcurrency = 2;
// Share of the latency objective for which requests may wait to share a call.
inline constexpr double kBatchWaitShare = 0.15;
// Share of the concurrent calls that one upstream may use, so that capacity remains for the others.
inline constexpr double kUpstreamConcurrencyShare = 0.6;
// Share of the concurrent calls that all suspect endpoints together may use, as these calls may be lost.
inline constexpr double kSuspectConcurrencyShare = 0.3;
// Share of the concurrent calls in use from which an overdue call is cancelled.
inline constexpr double kBusyConcurrencyShare = 0.8;
// Time in flight after which a call may be cancelled, as a multiple of the typical latency.
inline constexpr double kCancelLatencyFactor = 8;
// Time in flight after which a call may be cancelled if a call sent later to the endpoint has succeeded, as a
// multiple of the typical latency. The call is then probably lost, not slow.
inline constexpr double kOvertakenLatencyFactor = 3;

// Load shedding and priority.

// Share of the limit on pending requests above which arriving requests of the lowest weight are rejected.
inline constexpr double kShedThresholdShare = 0.9;
// Minimum horizon over which the weight lost by waiting is compared, as a share of the latency objective.
inline constexpr double kLossHorizonShare = 0.25;

// Connections.

// Share of a broken connection's idle age up to which connections are reused; shorter ages may fail as well.
inline constexpr double kIdleAgeShare = 0.25;
// Spans in which the idle age up to which connections are reused doubles, so that a temporary fault has no
// lasting effect.
inline constexpr double kIdleAgeDoublingSpans = 2;
// Rate of full connection tables of an endpoint kind above which its idle connections are closed at once.
inline constexpr double kTableFullThreshold = 0.05;
// Weight of the newest call in the rates of refused connections and full connection tables of an endpoint
// kind.
inline constexpr double kConnectionRateWeight = 0.1;
// Upper bound of the rate of refused connections that counts as normal; a higher bound would hide an outage.
inline constexpr double kMaxConnectionRefusalRate = 0.3;

// Defaults of settings that are not given.

// Default of Settings::overloadWindowMs.
inline constexpr double kDefaultOverloadWindowMs = 2000;
// Default of Settings::listRetryMs.
inline constexpr double kDefaultListRetryMs = 10000;
// Default of Settings::slowStartMs.
inline constexpr double kDefaultSlowStartMs = 10000;
// Default of Settings::slowStartShare.
inline constexpr double kDefaultSlowStartShare = 0.3;

}  // namespace myrtleloft::policy
