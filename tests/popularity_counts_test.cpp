// Tests HeavyHitters against exact counts, and the algebraic laws of CountsView::merge.
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

// Exact decayed worth of the recorded requests.
class Exact {
 public:
  void record(double nowMs, std::int64_t destination, double worth) {
    requests_.push_back({nowMs, destination, worth});
  }
  double of(std::int64_t destination, double nowMs) const {
    double sum = 0;
    for (const auto& [at, d, worth] : requests_)
      if (d == destination) sum += worth * std::exp(-(nowMs - at) / kTauMs);
    return sum;
  }

 private:
  std::vector<std::tuple<double, std::int64_t, double>> requests_;
};

// Checks that the exact weight of each destination is within the bounds of the summary, and that errors are
// within the stated bound.
void checkAgainst(const Exact& exact, const HeavyHitterSummary& summary, double nowMs, int destinations,
                  double share) {
  double total = 0;
  for (int d = 0; d < destinations; ++d) {
    const double exactWeight = exact.of(d, nowMs);
    const HeavyHitter* entry = summary.find(d);
    total += exactWeight;
    RC_ASSERT(exactWeight <= (entry ? entry->count : summary.floor) * (1 + kSlack) + kSlack);
    RC_ASSERT(exactWeight >= (entry ? entry->count - entry->error : 0) * (1 - kSlack) - kSlack);
  }
  RC_ASSERT(std::abs(total - summary.total) <= total * 1e-6 + kSlack);
  RC_ASSERT(summary.floor <= total * share + kSlack);
  for (const HeavyHitter& e : summary.entries) RC_ASSERT(e.error <= total * share + kSlack);
}

}  // namespace

TEST_CASE("errors are within the stated bounds for Zipf, round-robin and smallest-counter traces") {
  CHECK(rc::check("for every trace", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const int destinations = 20 + static_cast<int>(random() % 100);
    const std::size_t counters = 4 + random() % 20, summarySize = 1 + random() % counters;
    const int shape = static_cast<int>(random() % 3);
    const testing::Zipf zipf(destinations, 0.6 + 0.8 * testing::uniform(random));
    HeavyHitters counts(kTauMs, counters);
    Exact exact;
    double nowMs = 1e6 * testing::uniform(random);
    for (int i = 0; i < 400; ++i) {
      // Occasional pauses are long enough to move the landmark.
      nowMs += random() % 97 == 0 ? 40 * kTauMs : 2000 * testing::uniform(random);
      const int turn = i % destinations, least = i % (static_cast<int>(counters) + 1);
      const int d = shape == 0 ? zipf.sample(random) : shape == 1 ? turn : least;
      const double worth = 0.01 + 5 * testing::uniform(random);
      counts.record(nowMs, d, worth);
      exact.record(nowMs, d, worth);
    }
    nowMs += kTauMs * testing::uniform(random);
    checkAgainst(exact, counts.summary(nowMs, counters), nowMs, destinations,
                 1.0 / static_cast<double>(counters));
    checkAgainst(exact, counts.summary(nowMs, summarySize), nowMs, destinations,
                 1.0 / static_cast<double>(summarySize));
    const HeavyHitter estimate = counts.estimate(nowMs, 3);
    RC_ASSERT(estimate.count - estimate.error <= exact.of(3, nowMs) * (1 + kSlack) + kSlack);
    RC_ASSERT(exact.of(3, nowMs) <= estimate.count * (1 + kSlack) + kSlack);
  }));
}

TEST_CASE("the error of a sum is at most the sum of the errors of its parts and of the entries removed") {
  CHECK(rc::check("for every fleet", [](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const int relays = 1 + static_cast<int>(random() % 6), destinations = 60;
    const testing::Zipf zipf(destinations, 1);
    Exact exact;
    const double nowMs = 100000;
    std::vector<HeavyHitterSummary> summaries;
    std::vector<WeightedSummary> parts;
    for (int r = 0; r < relays; ++r) {
      HeavyHitters counts(kTauMs, 24);
      for (int i = 0; i < 150; ++i) {
        const double at = 600.0 * i;
        const int d = (zipf.sample(random) + (r % 2) * 7) % destinations;
        counts.record(at, d, 1);
        exact.record(at, d, 1);
      }
      // The summaries are of different times, and are decayed to the same time below.
      summaries.push_back(counts.summary(90000 + 1000.0 * r, 16));
    }
    for (int r = 0; r < relays; ++r)
      parts.push_back({&summaries[static_cast<std::size_t>(r)], std::exp(-(10000 - 1000.0 * r) / kTauMs)});
    checkAgainst(exact, sumOfSummaries(parts, 1000), nowMs, destinations, 1.0 / 17);
    checkAgainst(exact, sumOfSummaries(parts, 16), nowMs, destinations, 2.0 / 17);
  }));
}

namespace {

// Returns the registers that a fleet wrote: for each start of each relay several versions with times that do
// not decrease.
std::vector<CountsRegister> randomHistory(std::mt19937_64& random, int relays) {
  std::vector<CountsRegister> updates;
  for (int r = 0; r < relays; ++r)
    for (std::uint64_t start = 1; start <= 1 + random() % 3; ++start) {
      double asOf = 1000.0 * static_cast<double>(random() % 600);
      for (std::uint64_t version = 1; version <= 1 + random() % 4; ++version) {
        asOf += static_cast<double>(random() % 3) * 1000;
        HeavyHitterSummary counts{
            {{static_cast<std::int64_t>(random() % 3), 1.0 * (random() % 9), 0, 1}}, 0, 9};
        updates.push_back({"n" + std::to_string(r), {7 + random() % 2, start}, version, asOf, counts, {}});
      }
    }
  return updates;
}
CountsView randomView(std::mt19937_64& random, const std::vector<CountsRegister>& history) {
  CountsView view;
  for (std::size_t i = random() % (history.size() + 1); i-- > 0;)
    view.merge(history[random() % history.size()]);
  return view;
}
CountsView merged(CountsView a, const CountsView& b) {
  a.merge(b);
  return a;
}
CountsView withoutExpired(CountsView a, double wallMs) {
  a.removeExpired(wallMs, kTauMs);
  return a;
}

}  // namespace

TEST_CASE("the merge is commutative, associative, idempotent and monotone, at and below the register limit") {
  for (const int relays : {3, 60})
    CHECK(rc::check("for every three states", [relays](std::uint64_t seed) {
      std::mt19937_64 random(seed);
      const auto history = randomHistory(random, relays);
      const CountsView a = randomView(random, history), b = randomView(random, history),
                       c = randomView(random, history);
      RC_ASSERT(merged(a, b) == merged(b, a));
      RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
      RC_ASSERT(merged(a, a) == a);
      RC_ASSERT(merged(merged(a, b), b) == merged(a, b));
      const CountsView both = merged(a, b);
      for (const auto& [key, update] : a.registers()) {
        const auto found = both.registers().find(key);
        const bool present = found != both.registers().end();
        RC_ASSERT((present ? found->second.version >= update.version
                           : both.registers().size() == CountsView::kMaxRegisters));
      }
      const double wallMs = 1000.0 * static_cast<double>(random() % 1200);
      RC_ASSERT(withoutExpired(merged(a, b), wallMs) ==
                withoutExpired(merged(withoutExpired(a, wallMs), withoutExpired(b, wallMs)), wallMs));
      RC_ASSERT(both.registers().size() <= CountsView::kMaxRegisters);
    }));
}

TEST_CASE("two registers with the same version are merged to the same result in either order") {
  CountsRegister one{"n1", {1, 1}, 5, 1000, {{{1, 2, 0, 1}}, 0, 2}, {}}, other = one;
  other.counts.entries.front().count = 3;
  CountsView a, b;
  a.merge(one), a.merge(other);
  b.merge(other), b.merge(one);
  CHECK(a == b);
}

TEST_CASE("only expired registers are removed") {
  CountsView view;
  view.merge({"n1", {1, 1}, 1, 1000, {}, {}});
  view.merge({"n2", {1, 1}, 1, 2000, {}, {}});
  view.removeExpired(1500 + kMaxAgeTaus * kTauMs, kTauMs);
  CHECK(view.registers().size() == 1);
  CHECK(view.registers().begin()->first.relay == "n2");
}

TEST_CASE("counts do not drift over months of moved landmarks") {
  HeavyHitters counts(kTauMs, 4);
  for (double nowMs = 0; nowMs < 5e9; nowMs += 25 * kTauMs)
    for (std::int64_t d = 0; d < 3; ++d) counts.record(nowMs, d, 2);
  const double lastMs = 5e9 - std::fmod(5e9, 25 * kTauMs);
  CHECK(counts.total(lastMs) == doctest::Approx(6));
  CHECK(counts.estimate(lastMs, 1).count == doctest::Approx(2));
  CHECK(counts.estimate(lastMs, 1).calls == doctest::Approx(1));
  CHECK(counts.estimate(lastMs - 1e9, 1).count ==
        doctest::Approx(2));  // a time before the latest one is treated as the latest
}
