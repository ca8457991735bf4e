// The keeper's rules, each by a case that fails without it, and its bounds over drawn traces.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

#include "popularity/keeper.h"
#include "popularity/rendezvous.h"
#include "tests/popularity_traces.h"

using namespace myrtleloft;

namespace {

constexpr double kTauMs = 60000;
const std::vector<std::string> kThree{"n1", "n2", "n3"};

// A world in which everything is given.
struct World {
  std::map<std::int64_t, Popularity> asked;
  std::map<std::int64_t, std::vector<std::string>> held;
  std::vector<std::string> relays = kThree;
  std::size_t buildings = 1;

  KeepView view() const {
    return {
        relays, buildings, [this](std::int64_t d) { return asked.count(d) ? asked.at(d) : Popularity{}; },
        [this](std::int64_t d, WarmKind) { return held.count(d) ? held.at(d) : std::vector<std::string>(); }};
  }
};
Popularity asks(double here, double building = -1, double share = 0) {
  return {here, building < 0 ? 3 * here : building, 0, 0, share, 3};
}
WarmItem link(std::int64_t destination, bool fresh = false) {
  WarmItem item;
  item.destination = destination;
  item.bytes = 1000;
  item.fresh = fresh;
  return item;
}
WarmItem learned(std::int64_t destination) {
  WarmItem item = link(destination);
  item.kind = WarmKind::kLearned;
  return item;
}
Keeper keeperOf(const std::string& me = "n1", std::size_t slots = 4) { return Keeper({me, kTauMs, slots}); }
using Gone = std::vector<std::size_t>;
const WarmBudget kTwo{1 << 20, 2};

std::string firstFor(std::int64_t destination, std::size_t place = 0) {
  for (const std::string& relay : kThree)
    if (rendezvousRank(destination, kThree, relay) == place) return relay;
  return {};
}

}  // namespace

TEST_CASE("the least worth for its price goes: by calls, by what a cold call costs, by bytes") {
  World w;
  w.asked = {{1, asks(5)}, {2, asks(1)}, {3, asks(3)}};
  CHECK(keeperOf().evictions(0, {link(1), link(2), link(3)}, kTwo, w.view()) == Gone{1});
  std::vector<WarmItem> items{link(1), link(2), link(3)};
  items[1].coldCost = 9;
  CHECK(keeperOf().evictions(0, items, kTwo, w.view()) == Gone{2});
  items = {learned(1), learned(3)};
  items[0].bytes = 4000;
  CHECK(keeperOf().evictions(0, items, {4500, 2}, w.view()) == Gone{0});
  CHECK(keeperOf().evictions(0, items, {5000, 0}, w.view()).empty());
}

TEST_CASE("where descriptors are short, what was learned does not go for it") {
  World w;
  w.asked = {{1, asks(0)}, {2, asks(2)}, {3, asks(3)}};
  CHECK(keeperOf().evictions(0, {learned(1), link(2), link(3)}, {1 << 20, 1}, w.view()) == Gone{1});
}

TEST_CASE("what binds never goes, though the bounds be passed") {
  World w;
  for (const std::uint8_t why :
       {Binds::kToldWait, Binds::kDrain, Binds::kColdReturn, Binds::kCallOut, Binds::kCopy}) {
    std::vector<WarmItem> items{link(1), link(2), link(3)};
    for (WarmItem& item : items) item.binds = why;
    CHECK(keeperOf().evictions(0, items, {0, 0}, w.view()).empty());
    for (WarmItem& item : items) item.endpointHolds = 1;
    CHECK(keeperOf().evictions(0, items, {0, 0}, w.view()).empty());
    items[1].binds = 0;
    CHECK(keeperOf().evictions(0, items, {0, 0}, w.view()) == Gone{1});
  }
}

TEST_CASE("the last warm copy of what is popular goes after the second of any, and one of two is the last") {
  World w;
  w.asked = {{1, asks(2, 2, 0.3)}, {2, asks(9)}, {3, asks(8)}};
  w.held = {{2, {"n2"}}, {3, {"n2"}}};
  CHECK(keeperOf().evictions(0, {link(1), link(2), link(3)}, kTwo, w.view()) == Gone{2});
  w.held[1] = {firstFor(1)};  // another holds it who is the last
  const std::string second = firstFor(1, 1);
  CHECK(keeperOf(second).evictions(0, {link(1), link(2), link(3)}, kTwo, w.view()) == Gone{0});
  w.held[1] = {second};
  CHECK(keeperOf(firstFor(1)).evictions(0, {link(1), link(2), link(3)}, kTwo, w.view()) == Gone{2});
  // Not popular: it is one of many.
  w.held.erase(1);
  w.asked[1] = asks(2, 2, 0.2);
  CHECK(keeperOf().evictions(0, {link(1), link(2), link(3)}, kTwo, w.view()) == Gone{0});
  // A second connection to the same endpoint is no last copy.
  w.asked[1].share = 0.3;
  std::vector<WarmItem> items{link(1), link(2), link(3)};
  items[0].behind = 1;
  CHECK(keeperOf().evictions(0, items, kTwo, w.view()) == Gone{0});
}

TEST_CASE("relays of one view agree who keeps idle connections where an endpoint holds few") {
  for (const std::size_t holds : {1, 2, 3, 4, 7, 20, 61})
    for (const std::size_t buildings : {1, 3})
      for (std::int64_t d = 0; d < 40; ++d) {
        std::size_t idle = 0;
        for (const std::string& me : kThree) {
          World w;
          w.buildings = buildings;
          std::vector<WarmItem> items;
          for (std::size_t behind = 0; behind < 30; ++behind) {
            items.push_back(link(d));
            items.back().endpointHolds = holds;
            items.back().behind = behind;
          }
          idle += items.size() - keeperOf(me).evictions(0, items, {1 << 20, 100}, w.view()).size();
        }
        CHECK(idle * buildings <= static_cast<std::size_t>(holds * Keeper::kIdleShare));
        if (holds >= 2 * buildings) CHECK(idle > 0);
      }
  // A relay that goes hands its part to one other, and no other destination changes hands.
  std::set<std::int64_t> moved;
  for (std::int64_t d = 0; d < 300; ++d) {
    World w;
    WarmItem item = link(d);
    item.endpointHolds = 2;
    const bool before = keeperOf("n1").mayKeep(item, w.view());
    w.relays = {"n1", "n2"};
    if (before != keeperOf("n1").mayKeep(item, w.view())) moved.insert(d);
    if (before) CHECK(keeperOf("n1").mayKeep(item, w.view()));
  }
  CHECK(moved.size() > 25);
  CHECK(moved.size() < 75);
}

TEST_CASE("together relays keep what was learned of more destinations than each by itself would") {
  // Twelve destinations that all three are asked for alike, room for six each.
  std::map<std::int64_t, int> copies;
  std::map<std::string, std::set<std::int64_t>> kept;
  for (const std::string& me : kThree)
    for (std::int64_t d = 0; d < 12; ++d) kept[me].insert(d);
  for (int round = 0; round < 3; ++round)
    for (const std::string& me : kThree) {
      World w;
      std::vector<WarmItem> items;
      for (const std::int64_t d : kept[me]) {
        items.push_back(learned(d));
        w.asked[d] = asks(12.0 - static_cast<double>(d) / 2);
        for (const std::string& other : kThree)
          if (other != me && kept[other].count(d)) w.held[d].push_back(other);
      }
      std::set<std::int64_t> gone;
      for (const std::size_t i : keeperOf(me).evictions(0, items, {6000, 0}, w.view()))
        gone.insert(items[i].destination);
      for (const std::int64_t d : gone) kept[me].erase(d);
    }
  for (const auto& [me, destinations] : kept) {
    CHECK(destinations.size() == 6);
    for (const std::int64_t d : destinations) ++copies[d];
  }
  CHECK(copies.size() > 9);  // by own counts alone all would keep the same six
}

TEST_CASE("a keeper counts the building's calls, and what a neighbour can tell is worth little") {
  std::vector<std::int64_t> mine, others;  // that n1 is a keeper of, and not
  for (std::int64_t d = 0; d < 40; ++d) (firstFor(d, 2) == "n1" ? others : mine).push_back(d);
  World w;
  w.asked = {{mine[0], asks(1, 30)}, {others[0], asks(8)}, {others[1], asks(5)}};
  CHECK(keeperOf().evictions(0, {learned(mine[0]), learned(others[0])}, {1000, 0}, w.view()) == Gone{1});
  const std::vector<WarmItem> both{learned(others[0]), learned(others[1])};
  CHECK(keeperOf().evictions(0, both, {1000, 0}, w.view()) == Gone{1});
  w.held[others[0]] = {"n2"};
  CHECK(keeperOf().evictions(0, both, {1000, 0}, w.view()) == Gone{0});
}

TEST_CASE("what is new takes a place only if it is worth more by a margin") {
  World w;
  w.asked = {{1, asks(4)}, {2, asks(4)}, {3, asks(4.9)}};
  CHECK(keeperOf().evictions(0, {link(1), link(2), link(3, true)}, kTwo, w.view()) == Gone{2});
  w.asked[3] = asks(5.1);
  CHECK(keeperOf().evictions(0, {link(1), link(2), link(3, true)}, kTwo, w.view()) == Gone{0});
}

TEST_CASE("takeovers of places are bounded over any span, however counts jump") {
  std::mt19937_64 random(11);
  const std::size_t slots = 8;
  Keeper keeper = keeperOf("n1", slots);
  World w;
  std::set<std::int64_t> kept;
  std::deque<double> taken;
  double nowMs = 0;
  std::size_t all = 0;
  for (int i = 0; i < 20000; ++i) {
    nowMs += 200 * testing::unit(random);
    const auto fresh = static_cast<std::int64_t>(random() % 40);
    if (kept.count(fresh)) continue;
    for (std::int64_t d = 0; d < 40; ++d) w.asked[d] = asks(100 * testing::unit(random));
    std::vector<WarmItem> items;
    for (const std::int64_t d : kept) items.push_back(link(d));
    items.push_back(link(fresh, true));
    kept.insert(fresh);
    for (const std::size_t g : keeper.evictions(nowMs, items, {1 << 20, slots}, w.view())) {
      kept.erase(items[g].destination);
      if (!items[g].fresh) taken.push_back(nowMs), ++all;
    }
    REQUIRE(kept.size() <= slots);
    while (!taken.empty() && taken.front() < nowMs - kTauMs) taken.pop_front();
    CHECK(static_cast<double>(taken.size()) <= slots / 4.0 + Keeper::kTurnovers * slots);
  }
  CHECK(all > 300);  // it was tried
}

TEST_CASE("no turns left: what was kept stays, unless only that keeps the bounds") {
  World w;
  w.asked = {{1, asks(1)}, {2, asks(1)}, {3, asks(100)}};
  Keeper keeper = keeperOf();
  CHECK(keeper.evictions(0, {link(1), link(2), link(3, true)}, kTwo, w.view()) == Gone{0});
  CHECK(keeper.evictions(1, {link(1), link(2), link(3, true)}, kTwo, w.view()) == Gone{2});
  std::vector<WarmItem> items{link(1), link(2), link(3, true)};
  items[2].binds = Binds::kCallOut;
  CHECK(keeper.evictions(2, items, kTwo, w.view()) == Gone{0});
  CHECK(keeper.evictions(kTauMs, {link(1), link(2), link(3, true)}, kTwo, w.view()) == Gone{0});
}

TEST_CASE("what a cold call costs follows from the settings and from what was seen") {
  CHECK(coldCostOf(WarmKind::kConnection, {2, 100, 1000, 0.02, 5}) == doctest::Approx(2 * 0.12));
  CHECK(coldCostOf(WarmKind::kConnection, {2, 5000, 1000, 0.02, 5}) == doctest::Approx(2 * 1.02));
  CHECK(coldCostOf(WarmKind::kLearned, {2, 100, 1000, 0.02, 5}) == doctest::Approx(10));
}
