// What stays warm by the counts of a building against today's rule, two known ones and one that knows the
// trace; and what the relays of a fleet say to each other for it, by their number. In virtual time, and what
// it takes of the core.
//
//   build-bench/popularity_bench            # all, as tables
//   build-bench/popularity_bench traces     # or one of them
//   build-bench/popularity_bench traffic
//   build-bench/popularity_bench cost
//
// docs/bench/fleet-popularity.md says what the figures came to.
#include <chrono>
#include <cstdio>
#include <cstring>

#include "bench/popularity_choices.h"
#include "tests/popularity_fleet.h"

namespace {

using namespace myrtleloft;
using namespace myrtleloft::bench;

void row(const Trace& trace, const char* name, Choice& choice) {
  const Tally t = World(trace, choice).run();
  std::printf("| %s | %s | %.3f | %.3f | %.3f | %.4f | %.4f | %.0f |\n", trace.name.c_str(), name,
              t.warm / t.calls, (t.known + t.hinted) / t.calls, t.handshakes / t.calls,
              t.refusedFull / t.calls, t.refusedUnlearned / t.calls, t.bytesPerS);
  std::fflush(stdout);
}

void playAll(const Trace& trace) {
  LongestIdle longest;
  LeastRecent recent;
  LeastFrequent frequent;
  KnowsRates rates(trace);
  KnowsTrace knows;
  Building alone(trace, false), together(trace, true);
  row(trace, "longest idle first", longest);
  row(trace, "LRU", recent);
  row(trace, "local LFU", frequent);
  row(trace, "keeper, own counts", alone);
  row(trace, "keeper, building", together);
  row(trace, "knows the rates", rates);
  row(trace, "knows the trace", knows);
}

void traces() {
  std::puts(
      "| trace | choice | met warm | learned or hinted | handshakes | refused, full | refused, unlearned | "
      "bytes/s |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const double exponent : {0.8, 1.0, 1.2}) {
    char name[32];
    std::snprintf(name, sizeof name, "Zipf %.1f", exponent);
    playAll(drawnTrace(name, Shape::kZipf, exponent, 1));
  }
  playAll(drawnTrace("shifting", Shape::kShifting, 1, 2));
  playAll(drawnTrace("one clump", Shape::kClump, 1, 3));
  playAll(drawnTrace("a building dies", Shape::kBuildingDies, 1, 4));
  for (const std::size_t slots : {16, 64, 128}) {
    Trace trace = drawnTrace("Zipf 1.0, " + std::to_string(slots) + " slots", Shape::kZipf, 1, 1);
    trace.slots = slots;
    playAll(trace);
  }
  Trace few = drawnTrace("Zipf 1.0, half hold few", Shape::kZipf, 1, 1);
  few.fewOf = 2;
  playAll(few);
}

// Three buildings, 20 asks a second and relay, none lost; the last minute of three counts.
void traffic() {
  std::puts(
      "| relays | cells a building | sent, bytes/s a relay, mean | most of one | received, most of one | "
      "messages/s "
      "| longest, bytes | registers held, most | known of the building, mean |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const int n : {30, 100, 300, 1000}) {
    testing::SimulatedFleet fleet({n, 3, 60000, 0, 0, 0, 20, 1});
    std::mt19937_64 random(5);
    const testing::Zipf zipf(600, 1);
    const auto run = [&](double spanMs) {
      for (const double endMs = fleet.nowMs() + spanMs; fleet.nowMs() < endMs; fleet.run(250))
        for (int i = 0; i < 5 * n; ++i)
          fleet.recordRequest(random() % static_cast<unsigned>(n), zipf.sample(random), 1);
    };
    run(120000);
    for (auto& r : fleet.relays()) r.bytesOut = r.bytesIn = r.messagesOut = 0;
    run(60000);
    double sum = 0, most = 0, in = 0, messages = 0, longest = 0, registers = 0, known = 0;
    std::map<int, double> exact;
    for (int b = 0; b < 3; ++b) exact[b] = fleet.exact(b, false).at(0);
    for (const auto& r : fleet.relays()) {
      sum += static_cast<double>(r.bytesOut) / 60;
      most = std::max(most, static_cast<double>(r.bytesOut) / 60);
      in = std::max(in, static_cast<double>(r.bytesIn) / 60);
      messages += static_cast<double>(r.messagesOut) / 60;
      longest = std::max(longest, static_cast<double>(r.maxMessageBytes));
      registers = std::max(registers, static_cast<double>(r.counts->cellRelays().registers().size() +
                                                          r.counts->otherCells().registers().size()));
      known += r.counts->popularityOf(fleet.nowMs(), 0).lowerBound / exact[r.region];
    }
    std::printf("| %d | %zu | %.0f | %.0f | %.0f | %.2f | %.0f | %.0f | %.2f |\n", n,
                fleet.relays()[0].counts->cells(), sum / n, most, in, messages / n, longest, registers,
                known / n);
    std::fflush(stdout);
  }
}

// What it takes of the core: a building of one full cell, 33 idle connections or 129 learned.
void cost() {
  testing::SimulatedFleet fleet({16, 1, 60000, 0, 0, 0, 20, 1});
  std::mt19937_64 random(5);
  const testing::Zipf zipf(600, 1);
  for (auto& r : fleet.relays())
    for (std::int64_t d = 0; d < 64; ++d) r.cached.push_back({d, CachedMark::kLearned});
  for (int i = 0; i < 400; ++i, fleet.run(250))
    for (std::size_t r = 0; r < 16; ++r)
      for (int n = 0; n < 10; ++n) fleet.recordRequest(r, zipf.sample(random), 1);
  RegionCounts& counts = *fleet.relays()[0].counts;
  std::vector<std::string> alive;
  for (const auto& r : fleet.relays()) alive.push_back(r.name);
  const double nowMs = fleet.nowMs();
  const EvictionContext view{
      alive, 1, [&](std::int64_t d) { return counts.popularityOf(nowMs, d); },
      [&](std::int64_t d, CacheEntryKind) { return counts.holders(d, CachedMark::kLearned, alive); }};
  const auto timed = [](const char* what, int times, const auto& run) {
    const auto from = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) run(i);
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
    std::printf("| %s | %.1f us |\n", what, took.count() / times);
  };
  std::puts("| what | takes |\n| --- | --- |");
  for (const auto& [kind, n] :
       {std::pair(CacheEntryKind::kConnection, 33), std::pair(CacheEntryKind::kLearned, 129)}) {
    std::vector<CacheEntry> items(static_cast<std::size_t>(n));
    for (std::size_t i = 0; i < items.size(); ++i) {
      items[i].destination = static_cast<std::int64_t>(i);
      items[i].kind = kind;
      items[i].bytes = 1;
    }
    const CacheBudget budget{kind == CacheEntryKind::kLearned ? items.size() - 1 : items.size(),
                             items.size() - 1};
    EvictionPolicy keeper({"n0", 60000, items.size() - 1});
    timed(kind == CacheEntryKind::kLearned ? "one of 129 learned goes" : "one of 33 connections goes", 1000,
          [&](int) { keeper.evictions(nowMs, items, budget, view); });
  }
  timed("an ask", 100000, [&](int i) { counts.recordRequest(nowMs + i, zipf.sample(random), 1); });
  timed("a telling", 200, [&](int i) { counts.onTick({nowMs + 6000.0 * i, 1e12 + nowMs}, alive, {}); });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2 || std::strcmp(argv[1], "traces") == 0) traces();
  if (argc < 2 || std::strcmp(argv[1], "traffic") == 0) traffic();
  if (argc < 2 || std::strcmp(argv[1], "cost") == 0) cost();
}
