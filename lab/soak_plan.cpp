// What the soak draws from a seed, and the faults that it puts beside each other on purpose.
#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "lab/soak.h"

namespace myrtleloft::lab {
namespace {

// A wait counts from the moment in which it was told. Behind a proxy, or a proxy's reset, it may not have
// come.
const std::string kWaitingEndpoint = "e3";

const std::vector<FaultKind> kKinds = {
    FaultKind::kKill,      FaultKind::kKill,         FaultKind::kKill,      FaultKind::kTerm,
    FaultKind::kTerm,      FaultKind::kStop,         FaultKind::kClockBack, FaultKind::kClockBack,
    FaultKind::kClockBack, FaultKind::kClockForward, FaultKind::kDiskFails, FaultKind::kDiskFails,
    FaultKind::kDiskFails, FaultKind::kCallsFail,    FaultKind::kCallsFail, FaultKind::kHeldUp,
    FaultKind::kStands,    FaultKind::kStands,       FaultKind::kSignals,   FaultKind::kSignals,
    FaultKind::kReload,    FaultKind::kDiscovery,    FaultKind::kRude,      FaultKind::kRefuse,
    FaultKind::kDrop,      FaultKind::kSilent,       FaultKind::kSlow,      FaultKind::kError,
    FaultKind::kTurnAway,  FaultKind::kWait,         FaultKind::kDrain,     FaultKind::kSpoilt,
    FaultKind::kHalts,     FaultKind::kForgets,      FaultKind::kReset,     FaultKind::kReset,
    FaultKind::kLoseBytes};

// How long after the beginning of a trouble of its machine a relay is killed, in every second one: rare
// events have to meet, and left to chance alone they seldom do.
constexpr double kKillAfterMs = 400, kKilledForMs = 300;

bool isMachine(const Fault& fault) {
  return fault.kind == FaultKind::kClockBack || fault.kind == FaultKind::kClockForward ||
         fault.kind == FaultKind::kDiskFails || fault.kind == FaultKind::kCallsFail;
}

std::vector<Fault> killsUnderTrouble(const FaultPlan& plan) {
  std::vector<Fault> kills;
  bool next = true;
  for (const Fault& fault : plan.faults) {
    if (!isMachine(fault) || !std::exchange(next, !next)) continue;
    const double atMs = fault.atMs + std::min(kKillAfterMs, fault.forMs / 2);
    kills.push_back({atMs, FaultKind::kKill, fault.target, kKilledForMs, 0});
  }
  return kills;
}

// One destination answers nothing for so long: what is owed to it comes to its end, and machines fail
// meanwhile.
constexpr double kAwayMs = 5000, kAwayFromMs = 2000;
constexpr std::uint64_t kAwaySpreadMs = 4000;
const std::array<std::string, 2> kAwayEndpoints = {"e5", "e6"};

double awayFromMs(const FaultPlan& plan) {
  return kAwayFromMs + static_cast<double>(plan.seed * 977 % kAwaySpreadMs);
}

void takeAway(FaultPlan& plan) {
  const double fromMs = awayFromMs(plan);
  std::erase_if(plan.faults, [&](const Fault& fault) {
    const bool there = std::ranges::find(kAwayEndpoints, fault.target) != kAwayEndpoints.end();
    return there && fault.atMs <= fromMs + kAwayMs && fromMs <= fault.atMs + fault.forMs;
  });
  for (const std::string& endpoint : kAwayEndpoints)
    plan.faults.push_back({fromMs, FaultKind::kSilent, endpoint, kAwayMs, 0});
}

// While an endpoint states waits, relays stand in their polls: an answer that lies unread must forbid a call.
constexpr double kStandsOfThousand = 500;
constexpr std::size_t kStandingRelays = 3;
constexpr double kWaitEveryMs = 600, kWaitForMs = 400;

void addWaits(FaultPlan& plan, double lengthMs) {
  std::erase_if(plan.faults, [](const Fault& fault) { return fault.kind == FaultKind::kWait; });
  for (double atMs = kWaitEveryMs; atMs + kWaitForMs <= lengthMs; atMs += kWaitEveryMs)
    plan.faults.push_back({atMs, FaultKind::kWait, kWaitingEndpoint, kWaitForMs, 0});
}

std::vector<Fault> standsDuringWaits(const FaultPlan& plan, const std::vector<std::string>& relays) {
  std::vector<Fault> stands;
  for (const Fault& wait : plan.faults) {
    if (wait.kind != FaultKind::kWait) continue;
    for (std::size_t i = 0; i < std::min(kStandingRelays, relays.size()); ++i)
      stands.push_back({wait.atMs, FaultKind::kStands, relays.at((plan.seed + i) % relays.size()), wait.forMs,
                        kStandsOfThousand});
  }
  return stands;
}

// Relays are stopped for less than a client waits for its answer: what comes meanwhile, a few messages at the
// beginning of each stop, lies unread.
constexpr double kShortStopEveryMs = 700, kBehindStopMs = 5, kMessagesBehindStop = 12;
constexpr std::uint64_t kLeastShortStopMs = 100, kMostShortStopMs = 390;

void addShortStops(FaultPlan& plan, double lengthMs, const std::vector<std::string>& relays) {
  std::mt19937_64 random(plan.seed);
  for (double atMs = kShortStopEveryMs; atMs + kMostShortStopMs <= lengthMs; atMs += kShortStopEveryMs) {
    const std::string& relay = relays.at(random() % relays.size());
    const std::uint64_t forMs = kLeastShortStopMs + random() % (kMostShortStopMs - kLeastShortStopMs + 1);
    plan.faults.push_back({atMs, FaultKind::kStop, relay, static_cast<double>(forMs), 0});
    plan.faults.push_back({atMs + kBehindStopMs, FaultKind::kCrowd, relay, 0, kMessagesBehindStop});
  }
}

// While a destination is away, one relay has no room for connections, is stopped besides, and syncs slowly,
// so that calls wait for their syncs beyond their requests' deadlines; when the first of what came then has
// to be notified, its platform hangs once.
constexpr double kFloodAfterMs = 300, kFloodForMs = 800, kFloodConnections = 300;
constexpr double kFloodStopAfterMs = 100, kFloodStopForMs = 250;
constexpr double kSlowSyncsForMs = 2500, kSlowSyncMs = 200;

void addFlood(FaultPlan& plan, const std::vector<std::string>& relays) {
  const std::string& relay = relays.at(plan.seed % relays.size());
  const double fromMs = awayFromMs(plan) + kFloodAfterMs;
  plan.faults.push_back({fromMs, FaultKind::kFlood, relay, kFloodForMs, kFloodConnections});
  plan.faults.push_back({fromMs + kFloodStopAfterMs, FaultKind::kStop, relay, kFloodStopForMs, 0});
  plan.faults.push_back({fromMs, FaultKind::kSlowSyncs, relay, kSlowSyncsForMs, kSlowSyncMs});
  plan.faults.push_back({fromMs + kSoakLeastMessageMs, FaultKind::kHangs, relay, kFloodForMs, 1});
}

// In every third play a crowd comes to one relay, whose folder fails before their time is up, and which is
// killed soon after.
constexpr std::uint64_t kCrowdOfSeeds = 3;
constexpr double kCrowdMessages = 200;
constexpr double kCrowdFromMs = 3000, kFolderFailsAfterMs = 700, kFolderFailsForMs = 2500;
constexpr double kCrowdKillAfterMs = 2600;
constexpr std::uint64_t kCrowdSpreadMs = 3000;

void addCrowd(FaultPlan& plan, const std::vector<std::string>& relays) {
  if (plan.seed % kCrowdOfSeeds != 0) return;
  const std::string& relay = relays.at(plan.seed / kCrowdOfSeeds % relays.size());
  const double fromMs = kCrowdFromMs + static_cast<double>(plan.seed * 613 % kCrowdSpreadMs);
  const double toMs = fromMs + kCrowdKillAfterMs + kKilledForMs;
  std::erase_if(plan.faults, [&](const Fault& fault) {
    return fault.target == relay && fault.atMs <= toMs && fromMs <= fault.atMs + fault.forMs;
  });
  const auto fails = static_cast<double>(DiskFault::kIoError);
  plan.faults.push_back({fromMs, FaultKind::kCrowd, relay, 0, kCrowdMessages});
  plan.faults.push_back(
      {fromMs + kFolderFailsAfterMs, FaultKind::kDiskFails, relay, kFolderFailsForMs, fails});
  plan.faults.push_back({fromMs + kCrowdKillAfterMs, FaultKind::kKill, relay, kKilledForMs, 0});
}

// In every play answers come twice, all the while: at one endpoint of each kind, and at what surrounds one
// relay.
const std::array<std::string, 2> kEndpointsAnsweringTwice = {"e1", "e4"};

void addAnswersTwice(FaultPlan& plan, double lengthMs, const std::vector<std::string>& relays) {
  for (const std::string& endpoint : kEndpointsAnsweringTwice)
    plan.faults.push_back({0, FaultKind::kAnswersTwice, endpoint, lengthMs, 0});
  plan.faults.push_back({0, FaultKind::kAgentTwice, relays.at(plan.seed % relays.size()), lengthMs, 0});
}

// The configuration of two relays is late, one after the other: one is killed and started again meanwhile,
// the other is told to reload it.
constexpr double kLateConfigForMs = 1500, kRestartWithinMs = 100, kLateConfigFromMs = 1000;
constexpr std::uint64_t kLateConfigSpreadMs = 4000, kLateConfigStates = 3;

void addLateConfigurations(FaultPlan& plan, const std::vector<std::string>& relays) {
  const std::string& restarted = relays.at((plan.seed + 1) % relays.size());
  const std::string& reloaded = relays.at((plan.seed + 2) % relays.size());
  const double fromMs = kLateConfigFromMs + static_cast<double>(plan.seed * 389 % kLateConfigSpreadMs);
  const double againMs = fromMs + kLateConfigForMs + kKilledForMs;
  const auto stateOf = [&](std::uint64_t number) { return 1 + (plan.seed + number) % kLateConfigStates; };
  plan.faults.push_back(
      {fromMs, FaultKind::kLateConfig, restarted, kLateConfigForMs, static_cast<double>(stateOf(0))});
  plan.faults.push_back({fromMs + kRestartWithinMs, FaultKind::kKill, restarted, kKilledForMs, 0});
  plan.faults.push_back(
      {againMs, FaultKind::kLateConfig, reloaded, kLateConfigForMs, static_cast<double>(stateOf(1))});
  plan.faults.push_back({againMs + kRestartWithinMs, FaultKind::kReload, reloaded, kKilledForMs, 1});
}

bool isLink(const Fault& fault) { return fault.target.find('>') != std::string::npos; }
bool reaches(const Fault& fault, const std::string& endpoint) {
  return fault.target == endpoint || fault.target.ends_with(">" + endpoint);
}

}  // namespace

FaultPlan soakPlan(const FleetOfProcesses& fleet, std::uint64_t seed, int faults) {
  FaultPlan plan = drawPlan(seed, fleet.shape(kKinds, faults));
  std::erase_if(plan.faults, [](const Fault& fault) {
    const bool mayLoseWaits =
        isLink(fault) || (fault.kind != FaultKind::kWait && fault.kind != FaultKind::kDrain);
    return reaches(fault, kWaitingEndpoint) && mayLoseWaits;
  });
  takeAway(plan);
  for (const Fault& kill : killsUnderTrouble(plan)) plan.faults.push_back(kill);
  const PlanShape shape = fleet.shape(kKinds, faults);
  const std::vector<std::string>& relays = shape.relays;
  addWaits(plan, shape.lengthMs);
  addShortStops(plan, shape.lengthMs, relays);
  addFlood(plan, relays);
  addCrowd(plan, relays);
  addAnswersTwice(plan, shape.lengthMs, relays);
  addLateConfigurations(plan, relays);
  for (const Fault& stand : standsDuringWaits(plan, relays)) plan.faults.push_back(stand);
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.atMs < b.atMs; });
  return plan;
}

}  // namespace myrtleloft::lab
