// The interface of myrtleloft: what a forwarder tells the dispatcher and what it is told to do.
// All decisions live in src/policy/; this file only names types.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace myrtleloft {

enum class Repeat { kRepeatable, kByKey, kOnce };
enum class Group { kAll, kZone, kCell };  // which targets of a destination drop repeats of a keyed message
enum class Fade { kLine, kHalves };       // how a message's worth falls once its aim has passed
enum class RatingKind { kNone, kNominal, kRough };
enum class RouteState { kRunning, kStopping, kDeleted };
enum class Outcome { kGood, kBad, kFull, kLate, kNoConn, kReset, kCancelled, kNop };
enum class ListKind { kDiff, kSnapshot, kDisk, kError };

struct ClassSettings {
  double targetMs = 0;     // full worth when delivered within this time
  double hardLimitMs = 0;  // given up after this time
  double aimStretch = 0;   // the aim grows by this multiple of the message's own effort
  double worth = 1;
  double lateWorth = 0;     // share of the worth that is left at the hard limit
  double memorySpanMs = 0;  // keyed: how long the destination remembers the key
  Repeat repeat = Repeat::kOnce;
  Group group = Group::kAll;
  bool fifoByKey = false;
  std::vector<int> allowedZones;  // empty: all
  std::vector<int> allowedKinds;  // empty: all
};

// Everything is optional: 0, or an empty list, means that nothing was told.
struct Settings {
  std::uint64_t seed = 0;
  int me = 0;
  int balancers = 1;
  int zone = -1;
  double resolutionMs = 0;
  std::vector<ClassSettings> classes;
  bool askForList = false;
  Fade fade = Fade::kLine;
  RatingKind ratings = RatingKind::kNone;
  int callSlots = 0;
  int maxOpen = 0;
  int sendCap = 0;
  double maxRetryAfterMs = 0;
  double connectTimeoutMs = 0;
  double connIdleMs = 0;
  bool mayCancel = false;
  std::vector<bool> kindApart;   // per kind: targets of a destination are routes apart
  std::vector<int> kindBatch;    // per kind: messages in one call at most
  std::vector<double> zoneFees;  // per zone: price of a message taken on by a route apart there
  double crossZonePrice = 0;
  double askWithinMs = 0;
  double coldShare = 0;
  double coldMs = 0;
  double overloadFactor = 0;
  double fallMs = 0;
  double settleAfterDoubtMs = 0;
};

// ---- events ----
struct EarlierAttempt {  // one that may have run, made before this instance began
  int zone = 0;
  double sentMs = 0;  // on the clock of the batches; may lie before the first of them
};
struct MessageEvent {
  std::string id;
  int cls = 0;
  int tenant = 0;
  std::string orderKey;  // empty: none
  double notAfterMs = 0;
  double effortMs = 0;
  std::int64_t destination = 0;
  bool isRetry = false;
  int attempts = 0;  // made before this instance began, harmless ones included
  std::vector<EarlierAttempt> doubts;
};
struct Report {  // what a destination told of its limit, where it tells anything
  std::optional<double> limitPerS;
};
struct OutcomeEvent {
  std::string id;
  int attempt = 0;
  std::string target;
  Outcome outcome = Outcome::kGood;
  bool ended = false;
  std::int64_t detail = 0;
  Report report;
};
struct ListEntry {
  std::string target;
  int zone = 0;
  int kind = 0;
  std::int64_t destination = 0;
  RouteState state = RouteState::kRunning;
  double rating = 1;
};
struct ListEvent {
  ListKind kind = ListKind::kDiff;
  std::vector<ListEntry> entries;
};
struct TimerEvent {
  std::uint64_t token = 0;
};
struct HangUpEvent {
  std::string id;
};
using Event = std::variant<MessageEvent, OutcomeEvent, ListEvent, TimerEvent, HangUpEvent>;

// ---- actions ----
struct SendAction {
  std::string id;
  std::string target;
  double capMs = 0;  // 0: until the client gives up
};
struct RefuseAction {
  std::string id;
  double comeBackMs = 0;  // 0: no advice
};
struct FailAction {
  std::string id;
};
struct CallOffAction {
  std::string id;
  int attempt = 0;
};
struct TimerAction {
  double spanMs = 0;
  std::uint64_t token = 0;
};
struct WatchListAction {
  bool active = true;
};
struct FreeLinksAction {
  std::string target;
};
using Action = std::variant<SendAction, RefuseAction, FailAction, CallOffAction, TimerAction, WatchListAction,
                            FreeLinksAction>;

// One forwarder's decisions. Not thread-safe; instances share nothing.
class Dispatcher {
 public:
  explicit Dispatcher(const Settings& settings);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Takes all events of one moment, then decides once. `nowMs` must not run backwards.
  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events);

  // How many endpoints it remembers, those lately gone included.
  std::size_t routesKnown() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace myrtleloft
