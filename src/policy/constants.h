// The tuned values of the decisions, all of them.
#pragma once

namespace myrtleloft::policy {

inline constexpr int kTries = 3;  // failures that end a message (ours; 2-3 by the source); refusals cost none
// A try's time-out: this share of the time left, so that one more try always has as much again.
inline constexpr double kTimeShare = 0.5;
// ... and no more than this multiple of the route's usual time (the tail of an exponential call is 2% there),
inline constexpr double kLateFactor = 6;
// ... but not less than this multiple of the aim: a slow receiver answers late, and hopeless calls are called
// off when slots are short, so patience costs little, while an early time-out throws away work nearly done.
inline constexpr double kAimShare = 1.5;
// A keyed message is sent again only inside this share of the memory span: calls take time to arrive.
inline constexpr double kWindowShare = 0.95;
// A route is silent when a call is out this multiple of its usual time and nothing came back since.
inline constexpr double kSilentFactor = 4;
// Pace: kept share of the own rate on a refusal; growth a second below the last refused rate, and above it.
inline constexpr double kCut = 0.7;
inline constexpr double kRegrow = 0.5, kProbe = 0.1;
// A limit told roughly may be half too high: this share of the told fair share is safe to keep as a floor.
inline constexpr double kRoughShare = 0.5, kToldShare = 0.8;
inline constexpr double kBurstS = 0.5;  // tokens that may pile up, in pace: limits count over about a second
inline constexpr double kLeastPerS = 0.5;  // the slowest pace that is told apart from a standstill
// Among many, where a call is rare (thin): what a refusal leaves of the pace; what an answer adds, a second
// up to the listed share, and above it while messages wait; calls saved up where none was refused.
inline constexpr double kThinCut = 0.5, kThinRegrow = 0.25, kThinGrow = 0.05, kThinBurst = 2;
// Weight of the newest call in what is known of a route, and in what is known of all.
inline constexpr double kNewest = 0.3, kNewestOfAll = 0.03;
// Health, as odds that a scope is out. An outage is held to begin once in kOutageSpans told cold spans, so
// that old evidence counts for little, up to even odds of one in kMostPrior; in it this share of the calls
// fails. The odds stop at kMostOdds, or a return would need many successes. Shares of failures and refusals
// elsewhere are held to be no less than kStray: one failure may not convict where little was seen.
inline constexpr double kOutageSpans = 100, kMostPrior = 0.05, kOutFails = 0.95, kMostOdds = 2, kStray = 0.1;
inline constexpr double kChance = 0.03;  // refusals in a row that chance brings only so often: it is shut
// Bounded (the argument stands at tell): what each further message of a call weighs; of the multiple that a
// returning receiver takes, what those told use by turns: under the two thirds that the rule leaves them,
// half at many forwarders, kRampBudget where there are few (whose own first retries are few) and once an own
// call was answered. Parts by what is held use kHeldShare of theirs: demand may be over the capacity.
inline constexpr double kItemWeight = 0.2, kToldBudget = 0.5, kRampBudget = 0.6, kHeldShare = 0.5;
// Told cold spans after which a failure no longer bounds the pace: none outlives a message by much.
inline constexpr double kForgetSpans = 2;
// First failures tried again with no turn: this share where a scope is seldom called (then those told are at
// most a third as many as those not told), more where it is called often, all at kFew forwarders or under.
// Messages that pass a told scope: as many as kPassShare of those at forwarders told nothing.
inline constexpr double kRetryShare = 1.0 / 3, kFew = 3, kPassShare = 0.25;
// Calls of all told forwarders together in each fallMs that push nothing over, whatever the shares say.
inline constexpr double kScouts = 1;
// Busy scopes go on unbounded for a while after a first failure, until the odds speak: such that of an outage
// of kShortOutage cold spans or more at most e^-kGraceCalls of the calls find a forwarder still in it.
inline constexpr double kShortOutage = 0.4, kGraceCalls = 2.5;
// Up to so many forwarders hold what was refused as full, rather than hand it back to one another.
inline constexpr int kHoldPeers = 4;
inline constexpr int kProven = 2;  // successes in a row before a scope that comes back gets unsafe messages
inline constexpr double kFade = 0.8;  // what is kept of an older healthy rate
// Calls out at which a route apart counts as taken, and the next of the chain has its turn: as a multiple of
// what its told share of the limit keeps busy, and at least.
inline constexpr double kAtOnce = 2.5, kLeastAtOnce = 2;
// For a lead route that takes several messages in a call, they gather from one call to the next at its told
// pace, so long as none has waited for this share of its aim.
inline constexpr double kGather = 0.15;
// Slots that one scope may hold, and that all doubtful scopes together may hold, as shares of all.
inline constexpr double kScopeSlots = 0.6, kDoubtSlots = 0.3;
// With more than a share kShortSlots of the slots taken, a call out kHopelessFactor usual times is called
// off; at kOvertakenFactor already where later calls of its route were answered first: it is lost, not slow.
inline constexpr double kHopelessFactor = 8, kOvertakenFactor = 3, kShortSlots = 0.8;
inline constexpr double kOpenShare = 0.9;  // of the limit: above, the least worth goes, before the door shuts
inline constexpr double kHorizon = 0.25;   // over which loss by waiting is weighed, at least, in aims
// Links: of the age at which an idle one was found dead, the share that is trusted from then on (ages struck
// are seldom the shortest), doubled every kRegainSpans told cold spans; refused connections, as a share of
// the calls of a kind, above which idle links there are given back at once, and what the newest call weighs
// in it. More than kCrowdedMost is not held to be crowding: an outage must still show.
inline constexpr double kTrustedAge = 0.25, kRegainSpans = 2;
inline constexpr double kCrowded = 0.05, kCrowdNewest = 0.1, kCrowdedMost = 0.3;
// Time constants in multiples of told settings: own send rate over fallMs, delivered rate over coldMs.
inline constexpr double kLeastSeen = 0.2;  // a rate counts over this share of its time constant at least
inline constexpr double kFallbackMs = 2000, kFallbackColdMs = 10000, kFallbackAskMs = 10000;

}  // namespace myrtleloft::policy
