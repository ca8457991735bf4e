// Tests each rule of EvictionPolicy with a case that fails without the rule, and its limits over random
// traces.
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
const std::vector<std::string> kRelays{"n1", "n2", "n3"};

// An EvictionContext with given popularity and holders.
struct TestContext {
  std::map<std::int64_t, Popularity> popularity;
  std::map<std::int64_t, std::vector<std::string>> holders;
  std::vector<std::string> relays = kRelays;
  std::size_t regions = 1;

  EvictionContext context() const {
    return {relays, regions,
            [this](std::int64_t d) { return popularity.count(d) ? popularity.at(d) : Popularity{}; },
            [this](std::int64_t d, CacheEntryKind) {
              return holders.count(d) ? holders.at(d) : std::vector<std::string>();
            }};
  }
};
Popularity demand(double localCalls, double regionCalls = -1, double share = 0) {
  return {localCalls, regionCalls < 0 ? 3 * localCalls : regionCalls, 0, 0, share, 3};
}
CacheEntry conn(std::int64_t destination, bool isNew = false) {
  CacheEntry entry;
  entry.destination = destination;
  entry.bytes = 1000;
  entry.isNew = isNew;
  return entry;
}
CacheEntry learned(std::int64_t destination) {
  CacheEntry entry = conn(destination);
  entry.kind = CacheEntryKind::kLearned;
  return entry;
}
EvictionPolicy policyFor(const std::string& me = "n1", std::size_t slots = 4) {
  return EvictionPolicy({me, kTauMs, slots});
}
using Evicted = std::vector<std::size_t>;
const CacheBudget kTwoSlots{1 << 20, 2};

std::string relayAtRank(std::int64_t destination, std::size_t rank = 0) {
  for (const std::string& relay : kRelays)
    if (rendezvousRank(destination, kRelays, relay) == rank) return relay;
  return {};
}

}  // namespace

TEST_CASE("the entry with the lowest value for its price is evicted: by calls, by cold cost, by bytes") {
  TestContext test;
  test.popularity = {{1, demand(5)}, {2, demand(1)}, {3, demand(3)}};
  CHECK(policyFor().evictions(0, {conn(1), conn(2), conn(3)}, kTwoSlots, test.context()) == Evicted{1});
  std::vector<CacheEntry> entries{conn(1), conn(2), conn(3)};
  entries[1].coldCost = 9;
  CHECK(policyFor().evictions(0, entries, kTwoSlots, test.context()) == Evicted{2});
  entries = {learned(1), learned(3)};
  entries[0].bytes = 4000;
  CHECK(policyFor().evictions(0, entries, {4500, 2}, test.context()) == Evicted{0});
  CHECK(policyFor().evictions(0, entries, {5000, 0}, test.context()).empty());
}

TEST_CASE("learned state is not evicted when only descriptors are short") {
  TestContext test;
  test.popularity = {{1, demand(0)}, {2, demand(2)}, {3, demand(3)}};
  CHECK(policyFor().evictions(0, {learned(1), conn(2), conn(3)}, {1 << 20, 1}, test.context()) == Evicted{1});
}

TEST_CASE("pinned entries are never evicted, even over budget") {
  TestContext test;
  for (const std::uint8_t reason : {PinReason::kRetryAfter, PinReason::kDrain, PinReason::kColdReturn,
                                    PinReason::kCallInFlight, PinReason::kPromisedCopy}) {
    std::vector<CacheEntry> entries{conn(1), conn(2), conn(3)};
    for (CacheEntry& entry : entries) entry.pinReasons = reason;
    CHECK(policyFor().evictions(0, entries, {0, 0}, test.context()).empty());
    for (CacheEntry& entry : entries) entry.endpointConnectionLimit = 1;
    CHECK(policyFor().evictions(0, entries, {0, 0}, test.context()).empty());
    entries[1].pinReasons = 0;
    CHECK(policyFor().evictions(0, entries, {0, 0}, test.context()) == Evicted{1});
  }
}

TEST_CASE("the last copy of a popular destination is evicted last, and exactly one of two holders has it") {
  TestContext test;
  test.popularity = {{1, demand(2, 2, 0.3)}, {2, demand(9)}, {3, demand(8)}};
  test.holders = {{2, {"n2"}}, {3, {"n2"}}};
  CHECK(policyFor().evictions(0, {conn(1), conn(2), conn(3)}, kTwoSlots, test.context()) == Evicted{2});
  test.holders[1] = {relayAtRank(1)};  // another relay has the last copy
  const std::string second = relayAtRank(1, 1);
  CHECK(policyFor(second).evictions(0, {conn(1), conn(2), conn(3)}, kTwoSlots, test.context()) == Evicted{0});
  test.holders[1] = {second};
  CHECK(policyFor(relayAtRank(1)).evictions(0, {conn(1), conn(2), conn(3)}, kTwoSlots, test.context()) ==
        Evicted{2});
  // The destination is not popular: its share is below 1 / slots.
  test.holders.erase(1);
  test.popularity[1] = demand(2, 2, 0.2);
  CHECK(policyFor().evictions(0, {conn(1), conn(2), conn(3)}, kTwoSlots, test.context()) == Evicted{0});
  // A second connection to the same endpoint is not a last copy.
  test.popularity[1].share = 0.3;
  std::vector<CacheEntry> entries{conn(1), conn(2), conn(3)};
  entries[0].connectionsAhead = 1;
  CHECK(policyFor().evictions(0, entries, kTwoSlots, test.context()) == Evicted{0});
}

TEST_CASE("relays agree which of them hold idle connections to an endpoint with few connections") {
  for (const std::size_t connectionLimit : {1, 2, 3, 4, 7, 20, 61})
    for (const std::size_t regions : {1, 3})
      for (std::int64_t d = 0; d < 40; ++d) {
        std::size_t idle = 0;
        for (const std::string& me : kRelays) {
          TestContext test;
          test.regions = regions;
          std::vector<CacheEntry> entries;
          for (std::size_t connectionsAhead = 0; connectionsAhead < 30; ++connectionsAhead) {
            entries.push_back(conn(d));
            entries.back().endpointConnectionLimit = connectionLimit;
            entries.back().connectionsAhead = connectionsAhead;
          }
          idle += entries.size() - policyFor(me).evictions(0, entries, {1 << 20, 100}, test.context()).size();
        }
        CHECK(idle * regions <= static_cast<std::size_t>(connectionLimit * EvictionPolicy::kIdleShare));
        if (connectionLimit >= 2 * regions) CHECK(idle > 0);
      }
  // If a relay leaves, only its destinations are reassigned.
  std::set<std::int64_t> reassigned;
  for (std::int64_t d = 0; d < 300; ++d) {
    TestContext test;
    CacheEntry entry = conn(d);
    entry.endpointConnectionLimit = 2;
    const bool before = policyFor("n1").mayRetain(entry, test.context());
    test.relays = {"n1", "n2"};
    if (before != policyFor("n1").mayRetain(entry, test.context())) reassigned.insert(d);
    if (before) CHECK(policyFor("n1").mayRetain(entry, test.context()));
  }
  CHECK(reassigned.size() > 25);
  CHECK(reassigned.size() < 75);
}

TEST_CASE("relays together hold learned state of more destinations than a single relay could") {
  // Twelve destinations with the same demand at all three relays, each of which has capacity for six.
  std::map<std::int64_t, int> copies;
  std::map<std::string, std::set<std::int64_t>> cached;
  for (const std::string& me : kRelays)
    for (std::int64_t d = 0; d < 12; ++d) cached[me].insert(d);
  for (int round = 0; round < 3; ++round)
    for (const std::string& me : kRelays) {
      TestContext test;
      std::vector<CacheEntry> entries;
      for (const std::int64_t d : cached[me]) {
        entries.push_back(learned(d));
        test.popularity[d] = demand(12.0 - static_cast<double>(d) / 2);
        for (const std::string& other : kRelays)
          if (other != me && cached[other].count(d)) test.holders[d].push_back(other);
      }
      std::set<std::int64_t> evicted;
      for (const std::size_t i : policyFor(me).evictions(0, entries, {6000, 0}, test.context()))
        evicted.insert(entries[i].destination);
      for (const std::int64_t d : evicted) cached[me].erase(d);
    }
  for (const auto& [me, destinations] : cached) {
    CHECK(destinations.size() == 6);
    for (const std::int64_t d : destinations) ++copies[d];
  }
  CHECK(copies.size() > 9);  // with local counts only, all relays would hold the same six
}

TEST_CASE("retaining relays value the region's calls, and entries held by another relay have little value") {
  std::vector<std::int64_t> retained, others;  // destinations that n1 retains for the region, and others
  for (std::int64_t d = 0; d < 40; ++d) (relayAtRank(d, 2) == "n1" ? others : retained).push_back(d);
  TestContext test;
  test.popularity = {{retained[0], demand(1, 30)}, {others[0], demand(8)}, {others[1], demand(5)}};
  CHECK(policyFor().evictions(0, {learned(retained[0]), learned(others[0])}, {1000, 0}, test.context()) ==
        Evicted{1});
  const std::vector<CacheEntry> both{learned(others[0]), learned(others[1])};
  CHECK(policyFor().evictions(0, both, {1000, 0}, test.context()) == Evicted{1});
  test.holders[others[0]] = {"n2"};
  CHECK(policyFor().evictions(0, both, {1000, 0}, test.context()) == Evicted{0});
}

TEST_CASE("a new entry replaces a cached one only if its value is higher by the margin") {
  TestContext test;
  test.popularity = {{1, demand(4)}, {2, demand(4)}, {3, demand(4.9)}};
  CHECK(policyFor().evictions(0, {conn(1), conn(2), conn(3, true)}, kTwoSlots, test.context()) == Evicted{2});
  test.popularity[3] = demand(5.1);
  CHECK(policyFor().evictions(0, {conn(1), conn(2), conn(3, true)}, kTwoSlots, test.context()) == Evicted{0});
}

TEST_CASE("replacements per time constant are limited for arbitrarily changing counts") {
  std::mt19937_64 random(11);
  const std::size_t slots = 8;
  EvictionPolicy policy = policyFor("n1", slots);
  TestContext test;
  std::set<std::int64_t> cached;
  std::deque<double> replacedAtMs;
  double nowMs = 0;
  std::size_t replacements = 0;
  for (int i = 0; i < 20000; ++i) {
    nowMs += 200 * testing::uniform(random);
    const auto candidate = static_cast<std::int64_t>(random() % 40);
    if (cached.count(candidate)) continue;
    for (std::int64_t d = 0; d < 40; ++d) test.popularity[d] = demand(100 * testing::uniform(random));
    std::vector<CacheEntry> entries;
    for (const std::int64_t d : cached) entries.push_back(conn(d));
    entries.push_back(conn(candidate, true));
    cached.insert(candidate);
    for (const std::size_t g : policy.evictions(nowMs, entries, {1 << 20, slots}, test.context())) {
      cached.erase(entries[g].destination);
      if (!entries[g].isNew) replacedAtMs.push_back(nowMs), ++replacements;
    }
    REQUIRE(cached.size() <= slots);
    while (!replacedAtMs.empty() && replacedAtMs.front() < nowMs - kTauMs) replacedAtMs.pop_front();
    CHECK(static_cast<double>(replacedAtMs.size()) <=
          slots / 4.0 + EvictionPolicy::kReplacementsPerSlot * slots);
  }
  CHECK(replacements > 300);  // the limit was exercised
}

TEST_CASE("without replacements left, cached entries stay unless the budget requires an eviction") {
  TestContext test;
  test.popularity = {{1, demand(1)}, {2, demand(1)}, {3, demand(100)}};
  EvictionPolicy policy = policyFor();
  CHECK(policy.evictions(0, {conn(1), conn(2), conn(3, true)}, kTwoSlots, test.context()) == Evicted{0});
  CHECK(policy.evictions(1, {conn(1), conn(2), conn(3, true)}, kTwoSlots, test.context()) == Evicted{2});
  std::vector<CacheEntry> entries{conn(1), conn(2), conn(3, true)};
  entries[2].pinReasons = PinReason::kCallInFlight;
  CHECK(policy.evictions(2, entries, kTwoSlots, test.context()) == Evicted{0});
  CHECK(policy.evictions(kTauMs, {conn(1), conn(2), conn(3, true)}, kTwoSlots, test.context()) == Evicted{0});
}

TEST_CASE("the cold cost follows from settings and observations") {
  CHECK(coldCostOf(CacheEntryKind::kConnection, {2, 100, 1000, 0.02, 5}) == doctest::Approx(2 * 0.12));
  CHECK(coldCostOf(CacheEntryKind::kConnection, {2, 5000, 1000, 0.02, 5}) == doctest::Approx(2 * 1.02));
  CHECK(coldCostOf(CacheEntryKind::kLearned, {2, 100, 1000, 0.02, 5}) == doctest::Approx(10));
}
