// Quotas compared with a reference that keeps every event, for random trees, traces and window positions.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "quota/quota_admission.h"
#include "quota/quota_tree.h"
#include "quota/sliding_window.h"

using namespace myrtleloft;

namespace {

Amount amountOf(std::uint64_t messages, std::uint64_t worthMicro = 0, std::uint64_t calls = 0) {
  return {{messages, worthMicro, calls}};
}

// Reference: keeps all charges and computes sums from them.
struct Ledger {
  struct Entry {
    double atMs = 0;
    int leaf = 0;
    Amount amount;
  };
  std::vector<Entry> entries;

  // Returns the usage of a node and its descendants in (toMs - spanMs, toMs].
  Amount sum(const QuotaShape& shape, int node, double toMs, double spanMs) const {
    Amount total;
    for (const Entry& entry : entries) {
      if (entry.atMs > toMs || entry.atMs <= toMs - spanMs) continue;
      for (int at = entry.leaf; at >= 0; at = shape.nodes[static_cast<std::size_t>(at)].parent)
        if (at == node) total.add(entry.amount);
    }
    return total;
  }
};

// Returns a random tree in which some nodes have limits of some measures over some windows.
QuotaShape drawnShape(std::mt19937_64& random) {
  QuotaShape shape;
  shape.spansMs = {2000, 10000, 60000};
  const int nodes = 2 + static_cast<int>(random() % 10);
  for (int i = 0; i < nodes; ++i) {
    QuotaShape::Node node{
        "n" + std::to_string(i), i == 0 ? -1 : static_cast<int>(random() % static_cast<unsigned>(i)), {}};
    for (std::size_t window = 0; window < shape.spansMs.size(); ++window)
      for (std::size_t m = 0; m < kMeasures; ++m)
        if (random() % 3 == 0)
          node.limits.push_back(
              {static_cast<Measure>(m), window, 1 + random() % (20 * (window + 1)) * (m == 1 ? 700000 : 1)});
    shape.nodes.push_back(std::move(node));
  }
  return shape;
}

// Returns mostly short gaps, sometimes none, a long one, or one that ends at the edge of a bucket.
double drawnGapMs(std::mt19937_64& random) {
  switch (random() % 8) {
    case 0:
      return 0;
    case 1:
      return static_cast<double>(random() % 70000);
    case 2:
      return 40.0 * static_cast<double>(random() % 60);
    default:
      return static_cast<double>(random() % 500000) / 1000;
  }
}

}  // namespace

TEST_CASE(
    "a sliding window reports at least the usage of its span, and at most that of a span a fiftieth longer") {
  CHECK(rc::check("for every position", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const double spanMs = 1 + static_cast<double>(random() % 100000);
    SlidingWindow window(spanMs);
    QuotaShape one;
    one.nodes = {{"all", -1, {}}};
    Ledger ledger;
    double nowMs = static_cast<double>(random() % 100000);
    for (int i = 0; i < 120; ++i) {
      nowMs += drawnGapMs(random) * spanMs / 20000;
      const Amount amount = amountOf(random() % 4, random() % 3000000, random() % 3);
      if (random() % 4 != 0) {
        window.add(nowMs, amount);
        ledger.entries.push_back({nowMs, 0, amount});
      }
      const Amount least = ledger.sum(one, 0, nowMs, spanMs);
      const Amount most = ledger.sum(one, 0, nowMs, spanMs * 1.02 + 1e-6 * spanMs);
      for (std::size_t m = 0; m < kMeasures; ++m) {
        RC_ASSERT(window.used(nowMs).counts[m] >= least.counts[m]);
        RC_ASSERT(window.used(nowMs).counts[m] <= most.counts[m]);
      }
      // The amount fits after the reported wait, and not before.
      const std::uint64_t limit = 1 + random() % 30;
      const double inMs = window.waitForCapacityMs(nowMs, Measure::kMessages, 1, limit);
      SlidingWindow then = window, before = window;
      RC_ASSERT(then.used(nowMs + inMs + spanMs * 1e-6).of(Measure::kMessages) + 1 <= limit);
      if (inMs > 0) RC_ASSERT(before.used(nowMs + inMs - spanMs * 1e-6).of(Measure::kMessages) + 1 > limit);
    }
  }));
}

TEST_CASE("no level exceeds a limit over any window position, and nothing that fits everywhere is rejected") {
  CHECK(rc::check("over random trees and traces", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const QuotaShape shape = drawnShape(random);
    QuotaTree tree(shape);
    Ledger ledger;
    double nowMs = 5e6;
    for (int i = 0; i < 150; ++i) {
      nowMs += drawnGapMs(random);
      const int leaf = static_cast<int>(random() % shape.nodes.size());
      const Amount amount = amountOf(random() % 2, random() % 2000000, random() % 3);
      const auto rejection = tree.rejects(leaf, amount, nowMs);
      if (!rejection) {
        tree.charge(leaf, amount, nowMs);
        ledger.entries.push_back({nowMs, leaf, amount});
      }
      // The reference: whether the amount fits at each level, in the span and in a span a fiftieth longer.
      bool fitsWide = true;
      for (int node = leaf; node >= 0; node = shape.nodes[static_cast<std::size_t>(node)].parent)
        for (const QuotaShape::Limit& limit : shape.nodes[static_cast<std::size_t>(node)].limits) {
          const double spanMs = shape.spansMs[limit.window];
          const std::uint64_t more = rejection ? amount.of(limit.measure) : 0;
          const std::uint64_t exact = ledger.sum(shape, node, nowMs, spanMs).of(limit.measure);
          const std::uint64_t wide = ledger.sum(shape, node, nowMs, spanMs * 1.02 + 1e-6).of(limit.measure);
          if (!rejection && amount.of(limit.measure) > 0) RC_ASSERT(exact <= limit.max);
          fitsWide = fitsWide && (more == 0 || wide + more <= limit.max);
        }
      if (!rejection) continue;
      RC_ASSERT(!fitsWide);
      RC_ASSERT(rejection->retryAfterMs > 0);
      RC_ASSERT(!rejection->poolFull);
      // After the wait, the amount fits if nothing else was used.
      if (!std::isfinite(rejection->retryAfterMs)) continue;
      QuotaTree later = tree;
      RC_ASSERT(!later.rejects(leaf, amount, nowMs + rejection->retryAfterMs + 0.01));
    }
    RC_ASSERT(tree.uncounted() == 0);
  }));
}

TEST_CASE("bursts around a window's edge, and time that stops, jumps ahead or runs backwards") {
  SlidingWindow window(2000);
  for (int i = 0; i < 5; ++i) window.add(1999, amountOf(1));
  CHECK(window.used(2001).of(Measure::kMessages) == 5);  // a counter of fixed windows would restart
  for (int i = 0; i < 5; ++i) window.add(1999, amountOf(1));
  CHECK(window.used(1999).of(Measure::kMessages) == 10);
  CHECK(window.used(500).of(Measure::kMessages) == 10);
  window.add(500, amountOf(1));
  CHECK(window.used(3998).of(Measure::kMessages) == 11);
  CHECK(window.used(4001).of(Measure::kMessages) <= 11);
  CHECK(window.used(4040).isZero());
  window.add(4040, amountOf(3));
  CHECK(window.used(3604040).isZero());
  CHECK(window.waitForCapacityMs(3604040, Measure::kMessages, 1, 0) ==
        std::numeric_limits<double>::infinity());
}

TEST_CASE("fractional worth accumulates no rounding error over ten million messages") {
  SlidingWindow window(60e3);
  std::mt19937_64 random(7);
  double nowMs = 0;
  std::uint64_t all = 0;
  for (int i = 0; i < 10'000'000; ++i) {
    nowMs += 0.37;
    const std::uint64_t worth = 333333 + random() % 3;  // a third, more or less
    all += worth;
    window.add(nowMs, amountOf(1, worth));
  }
  CHECK(window.used(nowMs).of(Measure::kWorth) > 60e3 / 0.37 * 333333);
  CHECK(window.used(nowMs).of(Measure::kWorth) < 1.021 * 60e3 / 0.37 * 333336);
  CHECK(window.used(nowMs + 61.3e3).isZero());
}

TEST_CASE("a call is refunded only once, and only while it is in the window") {
  QuotaShape shape;
  shape.spansMs = {2000};
  shape.nodes = {{"institution", -1, {{Measure::kCalls, 0, 3}}}, {"faculty", 0, {{Measure::kCalls, 0, 2}}}};
  QuotaTree tree(shape);
  const Amount call = amountOf(0, 0, 1);
  tree.charge(1, call, 1000);
  tree.charge(1, call, 1500);
  const auto rejection = tree.rejects(1, call, 1500);
  REQUIRE(rejection);
  CHECK(rejection->node == 1);
  CHECK(rejection->retryAfterMs == doctest::Approx(1540));  // the 40 ms bucket from 1000 expires at 3040
  tree.refund(1, call, 1500, 1600);
  CHECK_FALSE(tree.rejects(1, call, 1600));
  CHECK(tree.used(0, 0, 1600).of(Measure::kCalls) == 1);
  tree.refund(1, call, 1500, 1600);  // nothing is left to refund in that bucket
  CHECK(tree.used(0, 0, 1600).of(Measure::kCalls) == 1);
  tree.refund(1, call, 1000, 4000);  // no longer in the window
  CHECK(tree.used(0, 0, 4000).isZero());
}

TEST_CASE("only active nodes out of 10,000 occupy windows, and an exhausted pool rejects until one is free") {
  QuotaShape shape;
  shape.spansMs = {2000, 60000};
  shape.nodes.push_back({"institution", -1, {{Measure::kMessages, 0, 100000}}});
  for (int i = 0; i < 10000; ++i)
    shape.nodes.push_back(
        {"f" + std::to_string(i), 0, {{Measure::kMessages, 0, 10}, {Measure::kWorth, 1, 5000000}}});
  shape.maxActiveWindows = 201;
  QuotaTree tree(shape);
  const Amount one = amountOf(1, 1000000);
  for (int i = 1; i <= 100; ++i) {
    REQUIRE_FALSE(tree.rejects(i, one, 1000));
    tree.charge(i, one, 1000);
  }
  CHECK(tree.activeWindows() == 201);
  const auto rejection = tree.rejects(101, one, 1000);
  REQUIRE(rejection);
  CHECK(rejection->poolFull);
  CHECK(rejection->retryAfterMs == 2000);
  CHECK_FALSE(tree.rejects(1, one, 1000));  // it already has its windows
  for (int i = 0; i < 300; ++i) tree.charge(1, one, 3500);
  CHECK(tree.activeWindows() == 201 - 99);  // the short windows of the other nodes have expired
  CHECK_FALSE(tree.rejects(101, one, 3500));
  for (int i = 0; i < 300; ++i) tree.charge(1, one, 70000);
  CHECK(tree.activeWindows() == 3);
  CHECK(tree.uncounted() == 0);
}

TEST_CASE("a message belongs to the node of its unit, of the rest, of its tenant, or to none") {
  QuotaPlan plan;
  plan.windowsS = {2};
  plan.maxActiveWindows = 8;
  plan.nodes = {{"u", "", "a", "", false, {5}, {}, {}},
                {"campus", "u", "", "", false, {4}, {}, {}},
                {"med", "campus", "", "med", false, {3}, {}, {}},
                {"others", "u", "", "", true, {2}, {}, {}},
                {"v", "", "b", "", false, {5}, {}, {}},
                {"x", "v", "", "med", false, {1}, {}, {}},
                {"gone", "", "no longer there", "", false, {1}, {}, {}}};
  Counters counters;
  std::ostringstream log;
  QuotaAdmission quotas(plan, {"a", "b", "c"}, {1}, {counters, log});
  CHECK(quotas.leafOf(0, "med") == 2);
  CHECK(quotas.leafOf(0, "") == 3);
  CHECK(quotas.leafOf(0, "campus") == 3);
  CHECK(quotas.leafOf(0, std::string(10000, 'x')) == 3);
  CHECK(quotas.leafOf(1, "med") == 5);
  CHECK(quotas.leafOf(1, "law") == 4);
  CHECK(quotas.leafOf(2, "med") == QuotaAdmission::kNoQuota);
  CHECK_FALSE(quotas.rejects(QuotaAdmission::kNoQuota, 0, 0));
  // The limit of the campus is four messages, of which its faculty uses three.
  for (int i = 0; i < 3; ++i) {
    REQUIRE_FALSE(quotas.rejects(2, 0, 1000));
    quotas.chargeRequest(2, 0, 1000);
  }
  CHECK(quotas.rejects(2, 0, 1000));
  CHECK(log.str() == "quota: med has reached its limit of messages in 2 s\n");
  CHECK_FALSE(quotas.rejects(1, 0, 1000));
}

TEST_CASE("a call without a free window is charged where one exists, and counted as uncounted elsewhere") {
  QuotaShape shape;
  shape.spansMs = {2000};
  shape.nodes = {{"institution", -1, {{Measure::kCalls, 0, 9}}}, {"faculty", 0, {{Measure::kCalls, 0, 9}}}};
  shape.maxActiveWindows = 1;
  QuotaTree tree(shape);
  tree.charge(0, amountOf(0, 0, 1), 1000);
  tree.charge(1, amountOf(0, 0, 1), 1000);
  CHECK(tree.uncounted() == 1);
  CHECK(tree.used(0, 0, 1000).of(Measure::kCalls) == 2);
  CHECK(tree.used(1, 0, 1000).isZero());
}
