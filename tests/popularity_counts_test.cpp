// The table of the heavy ones against exact counts, and the laws of the merge.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "popularity/counts_view.h"
#include "tests/popularity_traces.h"

using namespace myrtleloft;

namespace {

constexpr double kTauMs = 60000, kSlack = 1e-9;

// What was asked for, to the digit.
class Exact {
 public:
  void ask(double nowMs, std::int64_t destination, double worth) {
    asks_.push_back({nowMs, destination, worth});
  }
  double of(std::int64_t destination, double nowMs) const {
    double sum = 0;
    for (const auto& [at, d, worth] : asks_)
      if (d == destination) sum += worth * std::exp(-(nowMs - at) / kTauMs);
    return sum;
  }

 private:
  std::vector<std::tuple<double, std::int64_t, double>> asks_;
};

// Every destination's exact count lies where the summary says, and errors are no more than is stated.
void checkAgainst(const Exact& exact, const HeavySummary& summary, double nowMs, int destinations,
                  double share) {
  double total = 0;
  for (int d = 0; d < destinations; ++d) {
    const double asked = exact.of(d, nowMs);
    const HeavyEntry* entry = summary.find(d);
    total += asked;
    RC_ASSERT(asked <= (entry ? entry->count : summary.floor) * (1 + kSlack) + kSlack);
    RC_ASSERT(asked >= (entry ? entry->count - entry->error : 0) * (1 - kSlack) - kSlack);
  }
  RC_ASSERT(std::abs(total - summary.total) <= total * 1e-6 + kSlack);
  RC_ASSERT(summary.floor <= total * share + kSlack);
  for (const HeavyEntry& e : summary.entries) RC_ASSERT(e.error <= total * share + kSlack);
}

}  // namespace

TEST_CASE("a table of counters is as far off as it states, on Zipf, in turns and against the least") {
  CHECK(rc::check("for every trace", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const int destinations = 20 + static_cast<int>(random() % 100);
    const std::size_t counters = 4 + random() % 20, told = 1 + random() % counters;
    const int shape = static_cast<int>(random() % 3);
    const testing::Zipf zipf(destinations, 0.6 + 0.8 * testing::unit(random));
    HeavyCounts counts(kTauMs, counters);
    Exact exact;
    double nowMs = 1e6 * testing::unit(random);
    for (int i = 0; i < 400; ++i) {
      // Now and then a rest that moves the landmark.
      nowMs += random() % 97 == 0 ? 40 * kTauMs : 2000 * testing::unit(random);
      const int turn = i % destinations, least = i % (static_cast<int>(counters) + 1);
      const int d = shape == 0 ? zipf.drawn(random) : shape == 1 ? turn : least;
      const double worth = 0.01 + 5 * testing::unit(random);
      counts.ask(nowMs, d, worth);
      exact.ask(nowMs, d, worth);
    }
    nowMs += kTauMs * testing::unit(random);
    checkAgainst(exact, counts.summary(nowMs, counters), nowMs, destinations,
                 1.0 / static_cast<double>(counters));
    checkAgainst(exact, counts.summary(nowMs, told), nowMs, destinations, 1.0 / static_cast<double>(told));
    const HeavyEntry one = counts.of(nowMs, 3);
    RC_ASSERT(one.count - one.error <= exact.of(3, nowMs) * (1 + kSlack) + kSlack);
    RC_ASSERT(exact.of(3, nowMs) <= one.count * (1 + kSlack) + kSlack);
  }));
}

TEST_CASE("summed tables of several relays are off by the sum of what each states, and what is cut off") {
  CHECK(rc::check("for every fleet", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const int relays = 1 + static_cast<int>(random() % 6), destinations = 60;
    const testing::Zipf zipf(destinations, 1);
    Exact exact;
    const double nowMs = 100000;
    std::vector<HeavySummary> said;
    std::vector<Part> parts;
    for (int r = 0; r < relays; ++r) {
      HeavyCounts counts(kTauMs, 24);
      for (int i = 0; i < 150; ++i) {
        const double at = 600.0 * i;
        const int d = (zipf.drawn(random) + (r % 2) * 7) % destinations;
        counts.ask(at, d, 1);
        exact.ask(at, d, 1);
      }
      // As of another moment each, and brought to the same one.
      said.push_back(counts.summary(90000 + 1000.0 * r, 16));
    }
    for (int r = 0; r < relays; ++r)
      parts.push_back({&said[static_cast<std::size_t>(r)], std::exp(-(10000 - 1000.0 * r) / kTauMs)});
    checkAgainst(exact, summed(parts, 1000), nowMs, destinations, 1.0 / 17);
    checkAgainst(exact, summed(parts, 16), nowMs, destinations, 2.0 / 17);
  }));
}

namespace {

// What a fleet said: each start of each relay a run of versions, never older than the last.
std::vector<CountsRegister> drawnHistory(std::mt19937_64& random, int relays) {
  std::vector<CountsRegister> said;
  for (int r = 0; r < relays; ++r)
    for (std::uint64_t start = 1; start <= 1 + random() % 3; ++start) {
      double asOf = 1000.0 * static_cast<double>(random() % 600);
      for (std::uint64_t version = 1; version <= 1 + random() % 4; ++version) {
        asOf += static_cast<double>(random() % 3) * 1000;
        HeavySummary counts{{{static_cast<std::int64_t>(random() % 3), 1.0 * (random() % 9), 0, 1}}, 0, 9};
        said.push_back({"n" + std::to_string(r), {7 + random() % 2, start}, version, asOf, counts, {}});
      }
    }
  return said;
}
CountsView drawnView(std::mt19937_64& random, const std::vector<CountsRegister>& history) {
  CountsView view;
  for (std::size_t i = random() % (history.size() + 1); i-- > 0;)
    view.merge(history[random() % history.size()]);
  return view;
}
CountsView joined(CountsView a, const CountsView& b) {
  a.merge(b);
  return a;
}
CountsView without(CountsView a, double wallMs) {
  a.forget(wallMs, kTauMs);
  return a;
}

}  // namespace

TEST_CASE("the merge is commutative, associative, idempotent and monotone, at its bound and below") {
  for (const int relays : {3, 60})
    CHECK(rc::check("for every three states", [relays](std::uint64_t seed) {
      std::mt19937_64 random(seed);
      const auto history = drawnHistory(random, relays);
      const CountsView a = drawnView(random, history), b = drawnView(random, history),
                       c = drawnView(random, history);
      RC_ASSERT(joined(a, b) == joined(b, a));
      RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
      RC_ASSERT(joined(a, a) == a);
      RC_ASSERT(joined(joined(a, b), b) == joined(a, b));
      const CountsView both = joined(a, b);
      for (const auto& [key, said] : a.registers()) {
        const auto at = both.registers().find(key);
        const bool there = at != both.registers().end();
        RC_ASSERT((there ? at->second.version >= said.version
                         : both.registers().size() == CountsView::kMostRegisters));
      }
      const double wallMs = 1000.0 * static_cast<double>(random() % 1200);
      RC_ASSERT(without(joined(a, b), wallMs) ==
                without(joined(without(a, wallMs), without(b, wallMs)), wallMs));
      RC_ASSERT(both.registers().size() <= CountsView::kMostRegisters);
    }));
}

TEST_CASE("one that said two things with one version is taken the same way by all") {
  CountsRegister one{"n1", {1, 1}, 5, 1000, {{{1, 2, 0, 1}}, 0, 2}, {}}, other = one;
  other.counts.entries.front().count = 3;
  CountsView a, b;
  a.merge(one), a.merge(other);
  b.merge(other), b.merge(one);
  CHECK(a == b);
}

TEST_CASE("what has faded is forgotten, and what has not is kept") {
  CountsView view;
  view.merge({"n1", {1, 1}, 1, 1000, {}, {}});
  view.merge({"n2", {1, 1}, 1, 2000, {}, {}});
  view.forget(1500 + kForgetTaus * kTauMs, kTauMs);
  CHECK(view.registers().size() == 1);
  CHECK(view.registers().begin()->first.relay == "n2");
}

TEST_CASE("a table that runs for months counts as on its first day") {
  HeavyCounts counts(kTauMs, 4);
  for (double nowMs = 0; nowMs < 5e9; nowMs += 25 * kTauMs)
    for (std::int64_t d = 0; d < 3; ++d) counts.ask(nowMs, d, 2);
  const double lastMs = 5e9 - std::fmod(5e9, 25 * kTauMs);
  CHECK(counts.total(lastMs) == doctest::Approx(6));
  CHECK(counts.of(lastMs, 1).count == doctest::Approx(2));
  CHECK(counts.of(lastMs, 1).calls == doctest::Approx(1));
  CHECK(counts.of(lastMs - 1e9, 1).count == doctest::Approx(2));  // a clock that runs back stands still
}
