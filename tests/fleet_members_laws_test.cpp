// Properties of many members on a simulated network: reachable live relays are not declared dead, crashed
// ones are detected, and all relays agree again afterwards. A failure prints its seed.
#include <doctest/doctest.h>

#include <cmath>
#include <string>

#include "lab/watched_members.h"

using namespace myrtleloft;
using namespace myrtleloft::lab;

namespace {

constexpr double kMostLoss = 0.05;

NetworkTraits drawnTraits(std::uint64_t seed) {
  NetworkTraits traits;
  traits.slowestMs = static_cast<double>(1 + seed % 12);
  traits.loss = kMostLoss * static_cast<double>(seed % 5) / 4;
  traits.hiccupOdds = seed % 3 == 0 ? 0.01 : 0;
  traits.hiccupMs = 150;
  return traits;
}

// Upper bound from a crash until all relays know of it: the wait for a probe, the suspicion timeout, the last
// probe, and the spread of the update.
double boundMs(int relays, double suspicionTimeoutMs) {
  const MembersTuning tuning;
  return tuning.periodMs * (2.0 * relays + 6 * std::log2(relays + 1)) + 2 * suspicionTimeoutMs;
}

// Cuts links and stalls relays until `untilMs`, but keeps every two relays within reach of each other.
void trouble(WatchedMembers& all, double untilMs, double longestStallMs) {
  DrawnFleet& fleet = all.fleet;
  const auto one = [&] { return static_cast<int>(fleet.drawn() % static_cast<std::uint64_t>(fleet.size())); };
  while (fleet.nowMs() < untilMs) {
    const int a = one(), b = one();
    const auto kind = fleet.drawn() % 4;
    if (kind == 3) {
      all.out = a;
      if (all.allReach()) {
        const double forMs = fleet.drawn(50, longestStallMs);
        fleet.stall(a, forMs);
        fleet.runUntil(fleet.nowMs() + forMs);
      }
      all.out = -1;
    } else if (a != b && kind < 2) {
      fleet.cut(a, b);
      if (kind == 1) fleet.cut(b, a);
      if (!all.allReach()) {
        fleet.uncut(a, b);
        fleet.uncut(b, a);
      }
    } else if (a != b) {
      fleet.uncut(a, b);
      fleet.uncut(b, a);
    }
    fleet.runUntil(fleet.nowMs() + fleet.drawn(100, 3000));
  }
}

}  // namespace

TEST_CASE("no relay that lives and can be reached is called dead, and every crash is found") {
  int suspicions = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    const int relays = 3 + static_cast<int>(seed % 7);
    WatchedMembers all(relays, seed, drawnTraits(seed));
    all.startAll();
    CHECK(all.wellWithin(5000));
    const double suspicionTimeoutMs = all.at(0)->suspicionTimeoutMs();
    trouble(all, 35000, suspicionTimeoutMs / 2);
    for (const auto& death : all.falseDeaths) {
      FAIL_CHECK(death.by << " called " << death.target << " dead at " << death.atMs);
    }
    suspicions += static_cast<int>(all.falseSuspicions.size());

    // A crash while other effects remain. The cuts are removed first, as the only helper may be the crashed
    // relay.
    for (int a = 0; a < relays; ++a) {
      for (int b = 0; b < relays; ++b) all.fleet.uncut(a, b);
    }
    const int lost = static_cast<int>(seed % static_cast<std::uint64_t>(relays));
    all.fleet.crash(lost, seed % 2 == 0 ? Folder::kKept : Folder::kLost, seed % 4 < 2);
    CHECK(all.untilAllSay(lost, MemberState::kDead, boundMs(relays, suspicionTimeoutMs)));
    all.fleet.start(lost);
    CHECK(all.untilAllSay(lost, MemberState::kAlive, 2000));
    CHECK(all.wellWithin(5000));
    CHECK(all.falseDeaths.empty());
  }
  CHECK(suspicions > 0);  // otherwise the faults had no effect
}
