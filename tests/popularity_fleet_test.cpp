// Drawn fleets in virtual time: whatever the network does, what all relays know of a building comes to what
// was asked for there, within what the tables state.
#include "tests/popularity_fleet.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace myrtleloft;
using testing::DrawnFleet;
using testing::unit;

namespace {

constexpr double kTauMs = 60000, kPeriodMs = kTauMs / 12;
// In which all have surely told all: a dozen rounds of what each tells of others.
constexpr double kSettleMs = 20 * kPeriodMs;
constexpr int kDestinations = 150;

// One that asks for nothing that it does not draw from its own engine.
struct Traffic {
  explicit Traffic(std::uint64_t seed) : random(seed), zipf(kDestinations, 1.1) {}
  void run(DrawnFleet& fleet, double spanMs, int asksAStep) {
    for (const double endMs = fleet.nowMs() + spanMs; fleet.nowMs() < endMs; fleet.run(250)) {
      for (int i = 0; i < asksAStep; ++i) {
        const std::size_t relay = random() % fleet.relays().size();
        const int d = (zipf.drawn(random) + 11 * fleet.relays()[relay].building) % kDestinations;
        const double worth = 1 + static_cast<double>(random() % 3);
        if (fleet.lives(relay)) fleet.ask(relay, d, worth);
      }
    }
  }
  std::mt19937_64 random;
  testing::Zipf zipf;
};

// What each living relay says of each destination against what was asked for: the exact count lies between,
// and the two are no further apart than `share` of all. How many were checked: those who hear others.
int checkAll(DrawnFleet& fleet, int buildings, double share, double slack) {
  int checked = 0;
  for (int b = 0; b < buildings; ++b) {
    const auto exact = fleet.exact(b);
    double total = 0;
    for (const auto& [d, asked] : exact) total += asked;
    for (std::size_t i = 0; i < fleet.relays().size(); ++i) {
      if (!fleet.lives(i) || fleet.relays()[i].building != b) continue;
      if (fleet.relays()[i].counts->alone(fleet.nowMs())) continue;
      ++checked;
      for (int d = 0; d < kDestinations; ++d) {
        const double asked = exact.count(d) ? exact.at(d) : 0;
        const Popularity p = fleet.relays()[i].counts->of(fleet.nowMs(), d);
        CHECK(p.least <= asked * (1 + slack) + 1e-6);
        CHECK(p.most >= asked * (1 - slack) - 1e-6);
        CHECK(p.most - p.least <= total * share * (1 + slack));
      }
    }
  }
  return checked;
}

}  // namespace

TEST_CASE("loss, doubles, disorder, restarts and relays that go neither lose nor double what was asked for") {
  int checked = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    DrawnFleet fleet({2 + static_cast<int>(seed % 5) * 3, 1 + static_cast<int>(seed % 3), kTauMs, 0, 0.3, 0.3,
                      3 * kPeriodMs, seed});
    Traffic traffic(seed + 100);
    for (int phase = 0; phase < 10; ++phase) {
      traffic.run(fleet, 4 * kPeriodMs, 10);
      const std::size_t struck = random() % fleet.relays().size();
      if (!fleet.lives(struck))
        fleet.start(struck);
      else if (phase % 2 == 0)
        fleet.stop(struck);
      else
        fleet.start(struck);  // a restart that takes no time
    }
    fleet.faults(0, 0, 20);
    fleet.run(kSettleMs);
    checked += checkAll(fleet, 1 + static_cast<int>(seed % 3), 1.0 / 65, 1e-5);
  }
  CHECK(checked > 50);
}

TEST_CASE("of a relay that is killed, what it was asked for since it last got through is lost, and no more") {
  DrawnFleet fleet({3, 1, kTauMs, 0, 0, 0, 20, 5});
  Traffic traffic(3);
  traffic.run(fleet, 20 * kPeriodMs, 10);
  fleet.stop(0);
  fleet.run(kPeriodMs);
  CHECK(fleet.knownUntilMs(0, 1) > fleet.relays()[0].diedMs - 1.1 * kPeriodMs);
  fleet.start(0);
  fleet.run(4 * kPeriodMs);
  // The relay itself knows again what its earlier start was asked for.
  CHECK(checkAll(fleet, 1, 1.0 / 65, 1e-5) == 3);
  CHECK(fleet.relays()[0].counts->of(fleet.nowMs(), 0).callsHere == 0);
}

TEST_CASE(
    "clocks that are apart weigh a relay's counts wrongly by what is stated, and wild ones not at all") {
  const double skewMs = kTauMs / 20;
  DrawnFleet fleet({9, 1, kTauMs, skewMs, 0.1, 0, 500, 8});
  Traffic traffic(4);
  traffic.run(fleet, 20 * kPeriodMs, 10);
  fleet.faults(0, 0, 20);
  fleet.run(kSettleMs);
  CHECK(checkAll(fleet, 1, 1.0 / 65, std::expm1(2 * skewMs / kTauMs)) == 9);
  for (const double wildMs : {1e9, -1e9}) {
    DrawnFleet wild({3, 1, kTauMs, 0, 0, 0, 20, 8});
    wild.relays()[0].skewMs = wildMs;
    Traffic more(4);
    more.run(wild, 4 * kPeriodMs, 10);
    CHECK(wild.relays()[1].counts->near().registers().size() == 1);  // the other sound one
    CHECK(wild.relays()[1].counts->of(wild.nowMs(), 0).least > 0);
  }
}

TEST_CASE("one that is cut off goes by its own counts, and comes back to those of all") {
  DrawnFleet fleet({6, 1, kTauMs, 0, 0, 0, 20, 9});
  Traffic traffic(5);
  traffic.run(fleet, 12 * kPeriodMs, 10);
  fleet.relays()[2].stranger = true;
  traffic.run(fleet, (BuildingCounts::kQuietPeriods + 1) * kPeriodMs, 10);
  const BuildingCounts& cut = *fleet.relays()[2].counts;
  CHECK(cut.alone(fleet.nowMs()));
  const Popularity own = cut.of(fleet.nowMs(), 0);
  CHECK(own.callsHere == own.callsBuilding);
  CHECK(own.relays == 1);
  CHECK(own.share > 0.05);
  CHECK_FALSE(fleet.relays()[1].counts->alone(fleet.nowMs()));
  fleet.relays()[2].stranger = false;
  fleet.run(kSettleMs);
  CHECK_FALSE(cut.alone(fleet.nowMs()));
  CHECK(checkAll(fleet, 1, 1.0 / 65, 1e-5) == 6);
}

TEST_CASE("two halves of a cut building each know their own, and join without counting twice") {
  DrawnFleet fleet({8, 1, kTauMs, 0, 0, 0.2, 20, 10});
  Traffic traffic(6);
  traffic.run(fleet, 6 * kPeriodMs, 10);
  fleet.links = [](const auto& a, const auto& b) { return (a.name < "n4") == (b.name < "n4"); };
  traffic.run(fleet, 12 * kPeriodMs, 10);
  double all = 0;
  for (const auto& [d, asked] : fleet.exact(0)) all += asked;
  const auto known = [&](std::size_t i) {
    const Popularity p = fleet.relays()[i].counts->of(fleet.nowMs(), 0);
    return p.least / p.share;
  };
  CHECK(known(0) < 0.75 * all);
  CHECK(known(7) < 0.75 * all);
  fleet.links = [](const auto&, const auto&) { return true; };
  fleet.run(kSettleMs);
  CHECK(checkAll(fleet, 1, 1.0 / 65, 1e-5) == 8);
}

TEST_CASE("a building of many cells comes to the same counts, within two tables' errors") {
  DrawnFleet fleet({70, 1, kTauMs, 0, 0.2, 0.2, kPeriodMs, 11});
  REQUIRE(fleet.relays()[0].counts->cells() == 5);
  Traffic traffic(7);
  traffic.run(fleet, 20 * kPeriodMs, 40);
  fleet.stop(3), fleet.start(4);
  fleet.faults(0, 0, 20);
  // Of two that speak for a cell one may know less: the sum wavers, by less than a cell's part.
  for (int i = 0; i < 24; ++i) {
    const double before = fleet.relays()[60].counts->of(fleet.nowMs(), 0).least;
    fleet.run(kPeriodMs);
    CHECK(fleet.relays()[60].counts->of(fleet.nowMs(), 0).least > before * std::exp(-1.0 / 12) * 0.9);
  }
  CHECK(checkAll(fleet, 1, 2.0 / 65, 1e-4) == 69);
  for (const auto& r : fleet.relays()) {
    CHECK(r.counts->near().registers().size() <= 16);
    CHECK(r.counts->far().registers().size() <= 4);
  }
}

TEST_CASE("one that has come back speaks for its cell only when it has heard of all that the cell knows") {
  BuildingCounts fresh({"n0", {100, 2}, kTauMs, kPeriodMs, 3});
  std::vector<std::string> names;
  for (int i = 0; i < 40; ++i) names.push_back("n" + std::to_string(i));
  fresh.building(names);
  int before = 0, after = 0;
  for (double nowMs = 0; nowMs < 2 * kTauMs; nowMs += kPeriodMs / 2) {
    for (const CountsSend& send : fresh.onTick({nowMs, 1e12 + nowMs}, names, {}))
      (nowMs < kTauMs ? before : after) += static_cast<int>(send.message.cells.size());
    for (const std::string& name : names)
      fresh.onCounts({nowMs, 1e12 + nowMs}, {0, {{name, {1, 1}, 1, 1e12 + nowMs, {}, {}}}, {}});
  }
  CHECK(before == 0);
  CHECK(after > 3);
}

TEST_CASE("who holds what warm is known by name in a cell, by the latest start of each that is alive") {
  DrawnFleet fleet({5, 1, kTauMs, 0, 0, 0, 20, 13});
  fleet.relays()[1].warm = {{7, WarmMark::kLearned}, {9, WarmMark::kLearned | WarmMark::kConnection}};
  fleet.relays()[2].warm = fleet.relays()[0].warm = {{7, WarmMark::kLearned}};
  fleet.run(kSettleMs);
  const std::vector<std::string> all{"n0", "n1", "n2", "n3"};
  const auto of = [&](std::int64_t d, std::uint8_t what, const std::vector<std::string>& alive) {
    return fleet.relays()[0].counts->holders(d, what, alive);
  };
  CHECK(of(7, WarmMark::kLearned, all) == std::vector<std::string>{"n1", "n2"});
  CHECK(of(7, WarmMark::kConnection, all).empty());
  CHECK(of(9, WarmMark::kConnection, all) == std::vector<std::string>{"n1"});
  CHECK(of(7, WarmMark::kLearned, {"n0", "n2"}) == std::vector<std::string>{"n2"});
  CHECK(of(8, WarmMark::kLearned, all).empty());
  fleet.relays()[1].warm.clear();
  fleet.start(1);
  fleet.run(kSettleMs);
  CHECK(of(7, WarmMark::kLearned, all) == std::vector<std::string>{"n2"});
}
