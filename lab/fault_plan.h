// Plans of faults for a fleet: drawn from a seed, printed as text, read back, played, and shortened to what
// is needed to fail. No I/O, no clock.
//
//   const FaultPlan plan = drawPlan(seed, shape);
//   std::cerr << print(plan);                        // "seed 7\n1200 kill n1 600 0\n..."
//   PlanPlayer player(plan, begin, end);
//   while (!player.over()) player.turn(msSinceStart);
//   const FaultPlan least = shorten(plan, [](const FaultPlan& p) { return fails(p); });
//
// The same seed and shape give the same plan with every compiler.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace myrtleloft::lab {

enum class FaultKind : std::uint8_t {
  // Of a relay: it is away for `forMs`; where it is ended, the next process starts then.
  kKill,  // SIGKILL, its folder stays
  kLose,  // SIGKILL, its folder is removed
  kTerm,  // SIGTERM, SIGKILL 3.7 s later if it still runs
  kStop,  // SIGSTOP, then SIGCONT
  kDisk,  // restarted with `amount` KiB of disk, and again with what it had
  // Of an endpoint, for all relays.
  kRefuse,    // refuses connections
  kDrop,      // ends the connection when the call has come
  kSilent,    // takes calls and answers none
  kSlow,      // answers after `amount` ms
  kError,     // answers 500
  kTurnAway,  // answers 503
  kWait,      // answers 429, told to wait until the fault is over
  kDrain,     // the directories tell that it drains
  // Of a link from one relay to another, "n1>n2".
  kCut,       // both ways; connections stay and nothing passes
  kCutThere,  // only from who dialled
  kCutBack,
  kLoseBytes,  // what is sent there is lost, and the connection reset at the end
  kDelay,      // by `amount` ms, both ways
  kThrottle,   // `amount` bytes a second, both ways
  kReset,      // after `amount` bytes more
  kRepeat,     // the next connection's first `amount` bytes are followed by all of the one before
  kSpoil,      // one bit after `amount` bytes more
  // Of a relay's machine, through lab/fault_shim.h; they need a fleet that has shims.
  kClockBack,     // its wall clock goes back by `amount` ms, for good
  kClockForward,  // ... or forward
  kDiskFails,     // changes below its folder fail; `amount`: a DiskFault
  kCallsFail,     // `amount` thousandths of its network calls fail
  kHeldUp,        // `amount` thousandths of its writes begin up to 150 ms late
  kStands,        // it stands in `amount` thousandths of its polls that have something to write
  // Of a relay's surroundings.
  // Its configuration moves discovery to another address, and SIGHUP; `amount` 2: it cannot be read at first,
  // 3: and
  // back again at once.
  kReload,
  kDiscovery,  // its directory is silent, slow or spoilt, by `amount`; as platform it takes notices all the
               // same
  kSignals,    // a series of them: `amount` 1: SIGTERM, SIGHUP, SIGTERM; 2: five SIGHUP
  kCrowd,      // `amount` messages at once, with 1 to 5 s
  kFlood,      // `amount` connections to it that say nothing
  kHangs,      // its platform takes none of the next `amount` posts, and answers none
  kSlowSyncs,  // each sync of its folder takes `amount` ms longer
  kRude,       // `amount` hundredths of its clients misbehave
  // Of an endpoint.
  kSpoilt,   // serves, and its answers end half-way
  kHalts,    // serves, begins its answers and never ends them
  kForgets,  // serves, and ends its connections soon after their answers
  // Answers come a second time, beside whatever else befalls it.
  kAnswersTwice,  // of an endpoint
  kAgentTwice,    // of a relay's directory and platform
  // The configuration of a relay is missing (`amount` 1), empty (2) or truncated (3), whatever is written to
  // it,
  // and complete again at the end.
  kLateConfig
};
inline constexpr int kFaultKinds = 42;
const char* nameOf(FaultKind kind);
// Whether two faults of one target may be on at the same time.
bool mayOverlap(FaultKind a, FaultKind b);

struct Fault {
  double atMs = 0;  // since the start
  FaultKind kind = FaultKind::kKill;
  std::string target;
  double forMs = 0, amount = 0;
  friend bool operator==(const Fault&, const Fault&) = default;
};

struct FaultPlan {
  std::uint64_t seed = 0;     // that it was drawn from; what else is drawn in a play comes from it too
  std::vector<Fault> faults;  // by time
  friend bool operator==(const FaultPlan&, const FaultPlan&) = default;
};

struct PlanShape {
  std::vector<std::string> relays, endpoints;
  std::vector<FaultKind> kinds;  // to choose from; one that stands twice is drawn twice as often
  int count = 0;
  double lengthMs = 0;                  // all faults are over by then
  double leastMs = 0, mostMs = 0;       // of one fault
  std::vector<std::string> links = {};  // empty: those between any two of the relays
  bool overlaps = false;                // faults of one target may overlap as `mayOverlap` says
};

// Times and amounts in whole ms, bytes, KiB. Two faults of one target overlap only as the shape allows; fewer
// than `count` where they would.
FaultPlan drawPlan(std::uint64_t seed, const PlanShape& shape);

std::string print(const FaultPlan& plan);
// Nothing: `error` says which line is wrong.
std::optional<FaultPlan> parsePlan(const std::string& text, std::string& error);

// A plan that still fails and of which no single fault can be left out (Zeller's ddmin: halves first).
// `fails` is asked O(n^2) times at worst; a plan that does not fail comes back as it is.
FaultPlan shorten(FaultPlan plan, const std::function<bool(const FaultPlan&)>& fails);

// Begins and ends the faults of a plan in order of time.
class PlanPlayer {
 public:
  using Act = std::function<void(const Fault&)>;
  PlanPlayer(FaultPlan plan, Act begin, Act end);
  void turn(double sinceStartMs);
  bool over() const { return next_ == acts_.size(); }

 private:
  struct Due {
    double atMs = 0;
    std::size_t fault = 0;
    bool begins = false;
  };
  FaultPlan plan_;
  Act begin_, end_;
  std::vector<Due> acts_;
  std::size_t next_ = 0;
};

}  // namespace myrtleloft::lab
