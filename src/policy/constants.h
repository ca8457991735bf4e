// Constants of the decisions. docs/design/slow-start.md has the reasoning of those about outages.
//
// Shares and weights are fractions without a unit. A span is the slow start's, Settings::slowStartMs; a
// window is that in which an overload counts, Settings::overloadWindowMs.
#pragma once

namespace myrtleloft::policy {

// Retries.

// Ambiguous attempts that end a request; a rejection costs none.
inline constexpr int kMaxAmbiguousAttempts = 3;
// Share of the time left that an attempt may take, so that one more has as much again.
inline constexpr double kAttemptTimeShare = 0.5;
// Upper bound of an attempt's timeout, in typical latencies.
inline constexpr double kTimeoutLatencyFactor = 6;
// Lower bound of that limit, in latency objectives: an early timeout throws away work that is nearly done.
inline constexpr double kTimeoutObjectiveFactor = 1.5;
// Share of the idempotency window in which a further call may start: calls take time to arrive.
inline constexpr double kIdempotencyWindowShare = 0.95;

// Latency.

// An endpoint is silent when a call is in flight for this many typical latencies and nothing came back since.
inline constexpr double kSilentLatencyFactor = 4;
// Weight of the newest call in what is known of its endpoint.
inline constexpr double kNewestWeight = 0.3;
// Weight of the newest call in the rates over all upstreams, which must not follow a single outage.
inline constexpr double kBackgroundWeight = 0.03;
// Typical latency in ms while none is known.
inline constexpr double kDefaultLatencyMs = 250;

// Rate limiter.

// Share of the own rate that remains after a rejection.
inline constexpr double kDecreaseFactor = 0.7;
// Growth of the rate, as a share of it a second, while it is below the last rejected rate.
inline constexpr double kFastIncrease = 0.5;
// The same near and above the last rejected rate.
inline constexpr double kSlowIncrease = 0.1;
// Share of the listed or reported limit that a fair share counts on.
inline constexpr double kRatingShare = 0.8;
// The same where the list's ratings are rough.
inline constexpr double kRoughRatingShare = 0.5;
// Seconds of tokens that may accumulate.
inline constexpr double kBurstSeconds = 0.5;
// Lowest rate in calls a second: below it a rate is no different from a standstill.
inline constexpr double kMinRatePerSecond = 0.5;
// Share of its time constant over which a rate is counted at least: a single early event is no rate yet.
inline constexpr double kMinObservedShare = 0.2;

// Sparse traffic: many relays, and a call of each is rare.

// Share of the own rate that remains after a rejection.
inline constexpr double kSparseDecreaseFactor = 0.5;
// Growth exponent a second, up to the listed share.
inline constexpr double kSparseRecovery = 0.25;
// Growth with an answer above the listed share while requests wait.
inline constexpr double kSparseIncrease = 0.05;
// Tokens that may accumulate where none was rejected: in kBurstSeconds there would be none.
inline constexpr double kSparseBurst = 2;

// Outages, as odds that an upstream is out.

// An outage is expected to begin once in so many spans.
inline constexpr double kOutageIntervalSpans = 100;
// Odds up to which time without a call raises them: only outcomes take them further.
inline constexpr double kMaxPriorOdds = 0.05;
// Share of the calls that fail in an outage: less than all, so that one success does not rule it out.
inline constexpr double kOutageFailureRate = 0.95;
// Upper bound of the odds: with more, a return would need many successes.
inline constexpr double kMaxOutageOdds = 2;
// Lower bound of the rates of failures and rejections elsewhere.
inline constexpr double kMinBackgroundRate = 0.1;
// A run of rejections that chance brings less often than this is an outage, not a limit.
inline constexpr double kChanceOfRejections = 0.03;
// Successes in a row before an ejected upstream gets non-idempotent requests: an error would lose them.
inline constexpr int kProvenSuccesses = 2;

// Slow start.

// Tokens of a further request in a call, where the first takes one.
inline constexpr double kFurtherRequestWeight = 0.2;
// Share of what a returning upstream takes that relays which saw a failure use by probes, at many relays;
// under the two thirds that the rule leaves them.
inline constexpr double kProbeBudget = 0.5;
// The same for few relays, and once an own call was answered.
inline constexpr double kRampBudget = 0.6;
// Share that is used of a capacity estimated by the queue: demand may be over the capacity.
inline constexpr double kQueueShare = 0.5;
// Spans after which a failure no longer bounds the rate: few requests outlive that.
inline constexpr double kFailureMemorySpans = 2;
// Share of first failures retried without a token where calls are rare; where they are frequent it is more.
inline constexpr double kFreeRetryShare = 1.0 / 3;
// Relays up to which all first failures are retried without a token.
inline constexpr double kFewRelays = 3;
// Arrivals that probe without a token, as a share of those at relays without a failure.
inline constexpr double kFreeProbeShare = 0.25;
// Calls of all relays together in a window that are always allowed.
inline constexpr double kMinProbesPerWindow = 1;
// Spans of the shortest outage that the bound on a busy upstream covers.
inline constexpr double kShortOutageSpans = 0.4;
// Calls expected between the end of the unbounded time after a first failure and the end of such an outage.
inline constexpr double kGraceCalls = 2.5;
// Share that remains of an older healthy rate: a rate of long ago says less than a new one.
inline constexpr double kHealthyRateDecay = 0.8;
// At up to this many relays, a request that an endpoint rejected as full waits at its relay: its client would
// only take it to another relay, which is as full.
inline constexpr int kRejectionHoldRelays = 4;

// Concurrency.

// Calls in flight at which the next endpoint of the chain is used, in multiples of what the own share keeps
// busy.
inline constexpr double kConcurrencyFactor = 2.5;
// The same in calls, at least.
inline constexpr double kMinConcurrency = 2;
// Share of the latency objective for which requests wait to share a call.
inline constexpr double kBatchWaitShare = 0.15;
// Share of all calls that one upstream may have in flight: the others must still be reached.
inline constexpr double kUpstreamConcurrencyShare = 0.6;
// Share of all calls that all suspect endpoints together may have in flight: they may be lost.
inline constexpr double kSuspectConcurrencyShare = 0.3;
// Share of all calls above which capacity is short, and one call is cancelled.
inline constexpr double kBusyConcurrencyShare = 0.8;
// Typical latencies after which a call may be cancelled.
inline constexpr double kCancelLatencyFactor = 8;
// The same where later calls to its endpoint were answered first: it is lost, not slow.
inline constexpr double kOvertakenLatencyFactor = 3;

// Load.

// Share of the limit on pending requests above which the least weight of what comes is rejected.
inline constexpr double kShedThresholdShare = 0.9;
// Share of the latency objective over which the loss by waiting is compared, at least.
inline constexpr double kLossHorizonShare = 0.25;

// Connections.

// Share that is trusted of an idle age found broken: ages found are seldom the shortest.
inline constexpr double kIdleAgeShare = 0.25;
// Spans in which the trusted age doubles, so that a passing fault is forgotten.
inline constexpr double kIdleAgeDoublingSpans = 2;
// Rate of full connection tables of a kind above which its idle connections are closed at once.
inline constexpr double kTableFullThreshold = 0.05;
// Weight of the newest call in the rates of refused connections and full tables of a kind.
inline constexpr double kConnectionRateWeight = 0.1;
// Upper bound of the refusal rate that passes for a full table: an outage must still show.
inline constexpr double kMaxConnectionRefusalRate = 0.3;

// For settings that are not given, in ms and as a share.

// Settings::overloadWindowMs.
inline constexpr double kDefaultOverloadWindowMs = 2000;
// Settings::listRetryMs.
inline constexpr double kDefaultListRetryMs = 10000;
// Settings::slowStartMs.
inline constexpr double kDefaultSlowStartMs = 10000;
// Settings::slowStartShare.
inline constexpr double kDefaultSlowStartShare = 0.3;

}  // namespace myrtleloft::policy
