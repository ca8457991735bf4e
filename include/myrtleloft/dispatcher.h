// The decisions of one relay: which request is sent to which endpoint and when, and which request is ended
// without a delivery. The caller does all I/O: it passes in what happened since the last batch (events) and
// carries out the decisions that are returned (actions). examples/embed.cpp is a complete program.
//
//   Dispatcher dispatcher(settings);
//   for (const Action& action : dispatcher.onBatch(nowMs, events)) carryOut(action);
//
// Times are milliseconds on the caller's monotonic clock; durations are milliseconds. The module has no
// clock, threads or I/O: the settings, including the seed, and the events determine all actions. A Dispatcher
// is not thread-safe; separate instances share no state. The cost of a batch is proportional to its events
// and to the waiting requests.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace myrtleloft {

// ---- settings ----

// Whether a request may be executed again after an attempt that may have been executed.
enum class Idempotency {
  kIdempotent,
  kIdempotentWithKey,  // only within its DeduplicationScope and idempotencyWindowMs
  kNonIdempotent
};

// Which endpoints recognize an idempotency key that one of them has seen: all endpoints of the destination,
// of the zone, or of the cell. Each cell is a destination of its own.
enum class DeduplicationScope { kDestination, kZone, kCell };

// How the weight of a request decays after its latency objective: linearly to lateWeight at the deadline, or
// by half with each further span of the objective, but not below lateWeight.
enum class WeightDecay { kLinear, kHalving };

// Meaning of EndpointInfo::rating: none, the capacity, or an estimate of the capacity (up to half too high).
enum class RatingKind { kNone, kNominal, kRough };

// Only running endpoints get new requests; calls in flight to other endpoints are not cancelled.
enum class EndpointState { kRunning, kDraining, kRemoved };

// How an attempt ended. Known not executed: kRejected, kConnectFailed and kNotSent; all others may have been
// executed.
enum class Outcome {
  kSuccess,
  kFailure,        // answered with an error
  kRejected,       // answered that the endpoint has no capacity now
  kTimeout,        // not answered within SendAction::timeoutMs
  kConnectFailed,  // no connection could be opened
  kReset,          // the connection was closed before an answer
  kCancelled,      // by a CancelAction
  kNotSent         // dropped by the caller before anything was sent; does not affect any statistics
};

// A change of the endpoint list, the complete list, the cached list after a restart, or a failed poll.
enum class ListUpdateKind { kDelta, kSnapshot, kCached, kError };

// Settings of a class of requests.
struct ClassSettings {
  double latencyObjectiveMs = 0;  // full weight when delivered within it; below 1 counts as 1
  // Time from arrival to RequestEvent::deadlineMs. With 0, a request arrives in the batch of its event.
  double maxLifetimeMs = 0;
  double objectiveStretch = 0;     // the objective grows by this multiple of RequestEvent::effortMs
  double priorityWeight = 1;       // weight of a delivery within the objective, 0 or more
  double lateWeight = 0;           // share of that weight that remains at the deadline, 0 to 1
  double idempotencyWindowMs = 0;  // for kIdempotentWithKey: how long an endpoint remembers the key
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::kDestination;
  bool orderedByKey = false;      // first attempts of requests with the same order key keep their order
  std::vector<int> allowedZones;  // empty for all
  std::vector<int> allowedKinds;  // empty for all
};

// All settings are optional: for 0 or less, or an empty list, a default or no limit applies.
struct Settings {
  std::uint64_t seed = 0;              // of the random numbers; must differ between the relays of a fleet
  int instanceIndex = 0;               // index of this relay, 0 to instanceCount - 1
  int instanceCount = 1;               // number of relays that share the endpoints
  int zone = -1;                       // zone of this relay; -1 if not known
  double batchIntervalMs = 0;          // minimum time between two batches
  std::vector<ClassSettings> classes;  // by RequestEvent::classIndex; the defaults apply to other indexes
  bool watchEndpointList = false;      // whether the caller polls discovery on a WatchEndpointListAction
  WeightDecay weightDecay = WeightDecay::kLinear;
  RatingKind ratingKind = RatingKind::kNone;
  int maxConcurrentCalls = 0;     // calls in flight; 0 for no limit
  int maxPendingRequests = 0;     // requests not completed; load is shed above 90% of it; 0 for no limit
  int maxAttempts = 0;            // attempts of one request, of all outcomes; 0 for no limit
  double maxRetryAfterMs = 0;     // upper bound of RejectAction::retryAfterMs; 0 to give no Retry-After
  double connectTimeoutMs = 0;    // longest time that a call waits for its connection
  double connectionIdleMs = 0;    // maximum idle age of a connection that is reused; 0 for no limit
  bool reusesConnections = true;  // whether the caller keeps connections open for further calls
  bool mayCancel = false;         // whether the caller carries out a CancelAction
  // By kind: whether each endpoint has a limit of its own, or all endpoints of a destination share one.
  std::vector<bool> kindHasSeparateLimits;
  std::vector<int> kindBatchSize;  // by kind: maximum number of requests in one call, at least 1
  std::vector<double> zoneCosts;   // by zone: cost of a request to an endpoint with its own limit
  double crossZoneCost = 0;        // additional cost of a request to another zone than the relay's
  double listConfirmationMs = 0;   // how long requests wait for a cached list to be confirmed; 0: not at all
  double listRetryMs = 0;          // after a kError the next poll follows within half of it
  double slowStartShare = 0;       // share of its capacity that a recovered endpoint has at first, 0 to 1
  double slowStartMs = 0;          // time until it has its full capacity
  double overloadFactor = 0;       // an endpoint fails if sent more than this multiple of its capacity ...
  double overloadWindowMs = 0;     // ... within this window
  double orderHoldAfterAmbiguityMs = 0;  // pause of an order key after an attempt of unknown outcome
};

// ---- events ----

// An attempt that may have been executed, made before this relay's process began or by another relay.
struct AmbiguousAttempt {
  static constexpr int kUnknownZone = -2;
  int zone = 0;       // zone of its endpoint, or kUnknownZone
  double sentMs = 0;  // on the clock of the batches; may be before the first batch
};

// The attempt that a relay which has died may have made of a request that its client sends again, at the
// earliest possible time: `deadlineMs` less maxLifetimeMs. Empty for classes without an idempotency key.
std::optional<AmbiguousAttempt> attemptByAnotherRelay(const ClassSettings& settings, double deadlineMs);

// A request was accepted. Ignored if its id is already known.
struct RequestEvent {
  std::string id;         // unique among the requests that are not completed
  int classIndex = 0;     // into Settings::classes
  int tenant = 0;         // not used by the decisions
  std::string orderKey;   // empty if none
  double deadlineMs = 0;  // time by which it must be completed; if already past, it is answered in this batch
  double effortMs = 0;    // expected processing time at the endpoint
  std::int64_t destination = 0;
  bool isRetry = false;        // whether the client was rejected before and sends it again
  bool nonIdempotent = false;  // must not be executed twice, whatever its class permits
  int attempts = 0;            // attempts before this process began, including those known not executed
  std::vector<AmbiguousAttempt> ambiguousAttempts;  // those attempts that may have been executed
};

// The limit that an upstream reported for itself, if any.
struct LoadReport {
  std::optional<double> limitPerSecond;
};

// An attempt ended. Ignored unless it is the newest attempt of a known request.
struct OutcomeEvent {
  std::string id;
  int attempt = 0;  // index from 0 among all attempts of the request since it was first accepted
  std::string endpoint;
  Outcome outcome = Outcome::kSuccess;
  bool completed = false;         // whether the caller has completed the request; no action follows for it
  std::int64_t retryAfterMs = 0;  // Retry-After: no call to the upstream starts before it ends; 0 if none
  LoadReport report;
};

// One entry of the endpoint list.
struct EndpointInfo {
  std::string endpoint;  // id; the kind and destination of an id never change
  int zone = 0;
  int kind = 0;  // index into the settings by kind
  std::int64_t destination = 0;
  EndpointState state = EndpointState::kRunning;
  double rating = 1;  // requests per second, unless RatingKind::kNone applies
};

// The endpoint list changed, or a poll failed. A kSnapshot or kCached list removes endpoints missing from it.
struct EndpointListEvent {
  ListUpdateKind kind = ListUpdateKind::kDelta;
  std::vector<EndpointInfo> entries;
};

// The timer of a TimerAction has expired. Ignored unless it has the newest token.
struct TimerEvent {
  std::uint64_t token = 0;
};

// The client of a request has disconnected: the request gets no answer and no further attempt.
struct ClientDisconnectEvent {
  std::string id;
};

using Event = std::variant<RequestEvent, OutcomeEvent, EndpointListEvent, TimerEvent, ClientDisconnectEvent>;

// ---- actions ----

// Start an attempt and report its end by one OutcomeEvent. The attempts of one batch to the same endpoint
// share calls of up to Settings::kindBatchSize requests, filled in the order of the actions.
struct SendAction {
  std::string id;
  std::string endpoint;
  double timeoutMs = 0;  // 1 or more
};

// Answer that the request was not executed or may safely be sent again. The request is completed.
struct RejectAction {
  std::string id;
  double retryAfterMs = 0;  // Retry-After for the client; 0 for none
};

// Answer that the request failed and may have been executed. The request is completed.
struct FailAction {
  std::string id;
};

// Stop the attempt if possible. Its OutcomeEvent must still follow.
struct CancelAction {
  std::string id;
  int attempt = 0;
};

// Run a batch with a TimerEvent of this token after the delay. Replaces an earlier timer.
struct TimerAction {
  double delayMs = 0;  // 1 or more
  std::uint64_t token = 0;
};

// Poll discovery now, and continue with long polls until one fails.
struct WatchEndpointListAction {
  bool active = true;
};

// Close all idle connections to the endpoint.
struct CloseIdleConnectionsAction {
  std::string endpoint;
};

using Action = std::variant<SendAction, RejectAction, FailAction, CancelAction, TimerAction,
                            WatchEndpointListAction, CloseIdleConnectionsAction>;

// The decision module of one relay. A moved-from object may only be assigned to or destroyed.
class Dispatcher {
 public:
  explicit Dispatcher(const Settings& settings);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Handles all events of the batch in order, then decides and returns the actions. `nowMs` must not
  // decrease. Invalid events (unknown ids, kinds, zones or classes) are ignored or handled with defaults.
  // Throws only std::bad_alloc.
  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events);

  // Number of known endpoints, including those that have recently left the list.
  std::size_t endpointCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace myrtleloft
