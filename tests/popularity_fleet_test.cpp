// Tests RegionCounts with random fleets in virtual time: under any network faults, the counts that relays
// have of a region match the requests made there within the stated error bounds.
#include "tests/popularity_fleet.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace myrtleloft;
using testing::SimulatedFleet;
using testing::uniform;

namespace {

constexpr double kTauMs = 60000, kPeriodMs = kTauMs / 12;
// Long enough for the registers of all relays to reach all others.
constexpr double kSettleMs = 20 * kPeriodMs;
constexpr int kDestinations = 150;

// Generates requests from its own random engine only.
struct Traffic {
  explicit Traffic(std::uint64_t seed) : random(seed), zipf(kDestinations, 1.1) {}
  void run(SimulatedFleet& fleet, double spanMs, int requestsPerStep) {
    for (const double endMs = fleet.nowMs() + spanMs; fleet.nowMs() < endMs; fleet.run(250)) {
      for (int i = 0; i < requestsPerStep; ++i) {
        const std::size_t relay = random() % fleet.relays().size();
        const int d = (zipf.sample(random) + 11 * fleet.relays()[relay].region) % kDestinations;
        const double worth = 1 + static_cast<double>(random() % 3);
        if (fleet.isAlive(relay)) fleet.recordRequest(relay, d, worth);
      }
    }
  }
  std::mt19937_64 random;
  testing::Zipf zipf;
};

// Checks the bounds of each running relay that is not isolated: the exact worth of each destination is within
// them, and they differ by at most `share` of the total. Returns the number of relays checked.
int checkAll(SimulatedFleet& fleet, int regions, double share, double slack) {
  int checked = 0;
  for (int b = 0; b < regions; ++b) {
    const auto exact = fleet.exact(b);
    double total = 0;
    for (const auto& [d, requested] : exact) total += requested;
    for (std::size_t i = 0; i < fleet.relays().size(); ++i) {
      if (!fleet.isAlive(i) || fleet.relays()[i].region != b) continue;
      if (fleet.relays()[i].counts->isIsolated(fleet.nowMs())) continue;
      ++checked;
      for (int d = 0; d < kDestinations; ++d) {
        const double requested = exact.count(d) ? exact.at(d) : 0;
        const Popularity popularity = fleet.relays()[i].counts->popularityOf(fleet.nowMs(), d);
        CHECK(popularity.lowerBound <= requested * (1 + slack) + 1e-6);
        CHECK(popularity.upperBound >= requested * (1 - slack) - 1e-6);
        CHECK(popularity.upperBound - popularity.lowerBound <= total * share * (1 + slack));
      }
    }
  }
  return checked;
}

}  // namespace

TEST_CASE(
    "lost, duplicated and reordered messages, restarts and stopped relays neither lose nor double counts") {
  int checked = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    SimulatedFleet fleet({2 + static_cast<int>(seed % 5) * 3, 1 + static_cast<int>(seed % 3), kTauMs, 0, 0.3,
                          0.3, 3 * kPeriodMs, seed});
    Traffic traffic(seed + 100);
    for (int phase = 0; phase < 10; ++phase) {
      traffic.run(fleet, 4 * kPeriodMs, 10);
      const std::size_t affected = random() % fleet.relays().size();
      if (!fleet.isAlive(affected))
        fleet.start(affected);
      else if (phase % 2 == 0)
        fleet.stop(affected);
      else
        fleet.start(affected);  // an immediate restart
    }
    fleet.setFaults(0, 0, 20);
    fleet.run(kSettleMs);
    checked += checkAll(fleet, 1 + static_cast<int>(seed % 3), 1.0 / 65, 1e-5);
  }
  CHECK(checked > 50);
}

TEST_CASE("a killed relay loses only the counts recorded after its last delivered message") {
  SimulatedFleet fleet({3, 1, kTauMs, 0, 0, 0, 20, 5});
  Traffic traffic(3);
  traffic.run(fleet, 20 * kPeriodMs, 10);
  fleet.stop(0);
  fleet.run(kPeriodMs);
  CHECK(fleet.knownUntilMs(0, 1) > fleet.relays()[0].stoppedMs - 1.1 * kPeriodMs);
  fleet.start(0);
  fleet.run(4 * kPeriodMs);
  // The relay has received the counts of its earlier start back.
  CHECK(checkAll(fleet, 1, 1.0 / 65, 1e-5) == 3);
  CHECK(fleet.relays()[0].counts->popularityOf(fleet.nowMs(), 0).localCalls == 0);
}

TEST_CASE(
    "clock offsets distort counts by at most the stated factor, and registers with large offsets are "
    "rejected") {
  const double skewMs = kTauMs / 20;
  SimulatedFleet fleet({9, 1, kTauMs, skewMs, 0.1, 0, 500, 8});
  Traffic traffic(4);
  traffic.run(fleet, 20 * kPeriodMs, 10);
  fleet.setFaults(0, 0, 20);
  fleet.run(kSettleMs);
  CHECK(checkAll(fleet, 1, 1.0 / 65, std::expm1(2 * skewMs / kTauMs)) == 9);
  for (const double offsetMs : {1e9, -1e9}) {
    SimulatedFleet skewed({3, 1, kTauMs, 0, 0, 0, 20, 8});
    skewed.relays()[0].skewMs = offsetMs;
    Traffic otherTraffic(4);
    otherTraffic.run(skewed, 4 * kPeriodMs, 10);
    CHECK(skewed.relays()[1].counts->cellRelays().registers().size() ==
          1);  // the other relay with a correct clock
    CHECK(skewed.relays()[1].counts->popularityOf(skewed.nowMs(), 0).lowerBound > 0);
  }
}

TEST_CASE("a disconnected relay uses its own counts only, and all counts after it is reconnected") {
  SimulatedFleet fleet({6, 1, kTauMs, 0, 0, 0, 20, 9});
  Traffic traffic(5);
  traffic.run(fleet, 12 * kPeriodMs, 10);
  fleet.relays()[2].disconnected = true;
  traffic.run(fleet, (RegionCounts::kIsolatedAfterPeriods + 1) * kPeriodMs, 10);
  const RegionCounts& disconnected = *fleet.relays()[2].counts;
  CHECK(disconnected.isIsolated(fleet.nowMs()));
  const Popularity own = disconnected.popularityOf(fleet.nowMs(), 0);
  CHECK(own.localCalls == own.regionCalls);
  CHECK(own.relays == 1);
  CHECK(own.share > 0.05);
  CHECK_FALSE(fleet.relays()[1].counts->isIsolated(fleet.nowMs()));
  fleet.relays()[2].disconnected = false;
  fleet.run(kSettleMs);
  CHECK_FALSE(disconnected.isIsolated(fleet.nowMs()));
  CHECK(checkAll(fleet, 1, 1.0 / 65, 1e-5) == 6);
}

TEST_CASE("the halves of a partitioned region have their own counts only, and merge without counting twice") {
  SimulatedFleet fleet({8, 1, kTauMs, 0, 0, 0.2, 20, 10});
  Traffic traffic(6);
  traffic.run(fleet, 6 * kPeriodMs, 10);
  fleet.links = [](const auto& a, const auto& b) { return (a.name < "n4") == (b.name < "n4"); };
  traffic.run(fleet, 12 * kPeriodMs, 10);
  double all = 0;
  for (const auto& [d, requested] : fleet.exact(0)) all += requested;
  const auto known = [&](std::size_t i) {
    const Popularity popularity = fleet.relays()[i].counts->popularityOf(fleet.nowMs(), 0);
    return popularity.lowerBound / popularity.share;
  };
  CHECK(known(0) < 0.75 * all);
  CHECK(known(7) < 0.75 * all);
  fleet.links = [](const auto&, const auto&) { return true; };
  fleet.run(kSettleMs);
  CHECK(checkAll(fleet, 1, 1.0 / 65, 1e-5) == 8);
}

TEST_CASE("a region of several cells has the same counts, within the errors of two summaries") {
  SimulatedFleet fleet({70, 1, kTauMs, 0, 0.2, 0.2, kPeriodMs, 11});
  REQUIRE(fleet.relays()[0].counts->cells() == 5);
  Traffic traffic(7);
  traffic.run(fleet, 20 * kPeriodMs, 40);
  fleet.stop(3), fleet.start(4);
  fleet.setFaults(0, 0, 20);
  // Two relays that report the sum of a cell may have different registers, so that the sum varies by less
  // than the share of one cell.
  for (int i = 0; i < 24; ++i) {
    const double before = fleet.relays()[60].counts->popularityOf(fleet.nowMs(), 0).lowerBound;
    fleet.run(kPeriodMs);
    CHECK(fleet.relays()[60].counts->popularityOf(fleet.nowMs(), 0).lowerBound >
          before * std::exp(-1.0 / 12) * 0.9);
  }
  CHECK(checkAll(fleet, 1, 2.0 / 65, 1e-4) == 69);
  for (const auto& r : fleet.relays()) {
    CHECK(r.counts->cellRelays().registers().size() <= 16);
    CHECK(r.counts->otherCells().registers().size() <= 4);
  }
}

TEST_CASE("a restarted relay reports the sum of its cell only after one time constant") {
  RegionCounts restarted({"n0", {100, 2}, kTauMs, kPeriodMs, 3});
  std::vector<std::string> names;
  for (int i = 0; i < 40; ++i) names.push_back("n" + std::to_string(i));
  restarted.setRelays(names);
  int before = 0, after = 0;
  for (double nowMs = 0; nowMs < 2 * kTauMs; nowMs += kPeriodMs / 2) {
    for (const OutgoingCounts& send : restarted.onTick({nowMs, 1e12 + nowMs}, names, {}))
      (nowMs < kTauMs ? before : after) += static_cast<int>(send.message.cells.size());
    for (const std::string& name : names)
      restarted.onCounts({nowMs, 1e12 + nowMs}, {0, {{name, {1, 1}, 1, 1e12 + nowMs, {}, {}}}, {}});
  }
  CHECK(before == 0);
  CHECK(after > 3);
}

TEST_CASE("holders are the running relays of the cell, by the marks of their latest start") {
  SimulatedFleet fleet({5, 1, kTauMs, 0, 0, 0, 20, 13});
  fleet.relays()[1].cached = {{7, CachedMark::kLearned}, {9, CachedMark::kLearned | CachedMark::kConnection}};
  fleet.relays()[2].cached = fleet.relays()[0].cached = {{7, CachedMark::kLearned}};
  fleet.run(kSettleMs);
  const std::vector<std::string> all{"n0", "n1", "n2", "n3"};
  const auto holdersOf = [&](std::int64_t d, std::uint8_t kinds, const std::vector<std::string>& alive) {
    return fleet.relays()[0].counts->holders(d, kinds, alive);
  };
  CHECK(holdersOf(7, CachedMark::kLearned, all) == std::vector<std::string>{"n1", "n2"});
  CHECK(holdersOf(7, CachedMark::kConnection, all).empty());
  CHECK(holdersOf(9, CachedMark::kConnection, all) == std::vector<std::string>{"n1"});
  CHECK(holdersOf(7, CachedMark::kLearned, {"n0", "n2"}) == std::vector<std::string>{"n2"});
  CHECK(holdersOf(8, CachedMark::kLearned, all).empty());
  fleet.relays()[1].cached.clear();
  fleet.start(1);
  fleet.run(kSettleMs);
  CHECK(holdersOf(7, CachedMark::kLearned, all) == std::vector<std::string>{"n2"});
}
