// Drawn returns of cold upstreams, judged over whole fleets as the rule words it (lab/cold_fleet.h): outages
// of every kind, 5 to 16 s long, at rated and unrated, busy and seldom called upstreams, with clumps of
// arrivals, calls of several requests, restarts and stray failures. docs/bench/cold-returns.md has the
// figures of more days.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <cstdint>

#include "lab/cold_fleet.h"

using myrtleloft::lab::ColdFleet;
using myrtleloft::lab::ColdVerdict;
using myrtleloft::lab::ShutWait;

namespace {

struct Fleet {
  int forwarders = 0;
  std::uint64_t days = 0;  // by seeds from 1 on
};
constexpr std::array<Fleet, 5> kFleets = {{{2, 200}, {8, 200}, {20, 100}, {30, 100}, {300, 40}}};

}  // namespace

TEST_CASE("no drawn return of a fleet is overrun by those told") {
  for (const Fleet& fleet : kFleets) {
    int handedIn = 0, delivered = 0, rated = 0, batches = 0, clumps = 0, restarts = 0;
    std::array<int, 4> outages{};
    for (std::uint64_t seed = 1; seed <= fleet.days; ++seed) {
      const ColdVerdict day = ColdFleet(fleet.forwarders, seed).run();
      INFO("fleet of ", fleet.forwarders, ", seed ", seed, ": ", day.fall);
      CHECK(!day.broken);
      handedIn += day.handedIn, delivered += day.delivered;
      rated += day.rated, batches += day.batches, clumps += day.clumps, restarts += day.restarts;
      ++outages[static_cast<std::size_t>(day.outage)];
    }
    // It was a test of something, and what keeps the returns is not that little is sent.
    INFO("fleet of ", fleet.forwarders, ": ", delivered, " of ", handedIn, " delivered");
    CHECK(delivered > 0.75 * handedIn);
    const int few = static_cast<int>(fleet.days) / 10;
    for (const int drawn : {rated, batches, clumps, restarts}) CHECK(drawn > few);
    for (const int drawn : outages) CHECK(drawn > few);
  }
}

// Guards against relays that were all told to wait until one moment, and all call at it: sparse traffic took
// a rejection for a limit's, whatever it stated, and saved a call through the wait.
TEST_CASE("no drawn return of a fleet is overrun when what is shut states how long it stays so") {
  for (const Fleet& fleet : kFleets) {
    int handedIn = 0, delivered = 0;
    for (std::uint64_t seed = 1; seed <= fleet.days; ++seed) {
      const ColdVerdict day = ColdFleet(fleet.forwarders, seed, ShutWait::kUntilReturn).run();
      INFO("fleet of ", fleet.forwarders, ", seed ", seed, ": ", day.fall);
      CHECK(!day.broken);
      handedIn += day.handedIn, delivered += day.delivered;
    }
    INFO("fleet of ", fleet.forwarders, ": ", delivered, " of ", handedIn, " delivered");
    CHECK(delivered > 0.75 * handedIn);
  }
}
