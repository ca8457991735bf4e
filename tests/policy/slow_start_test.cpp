// Property tests of slow start over whole fleets (lab/cold_fleet.h): no upstream that recovers from an outage
// is overloaded. The drawn days have outages of every kind, 5 to 16 s long, at upstreams with and without a
// rating, and with frequent and rare calls, with bursts of arrivals, calls of several requests, restarts and
// isolated failures. docs/bench/cold-returns.md has the results of more days.
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
  std::uint64_t days = 0;  // with the seeds 1, 2, ...
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
    // Checks that the days exercise what they are meant to test, and that the rule is not kept by sending too
    // little.
    INFO("fleet of ", fleet.forwarders, ": ", delivered, " of ", handedIn, " delivered");
    CHECK(delivered > 0.75 * handedIn);
    const int few = static_cast<int>(fleet.days) / 10;
    for (const int drawn : {rated, batches, clumps, restarts}) CHECK(drawn > few);
    for (const int drawn : outages) CHECK(drawn > few);
  }
}

// Guards against all relays calling at the moment when the Retry-After that they were all given ends: in
// sparse traffic, a rejection was taken for that of a rate limit whatever Retry-After it stated, and a token
// accumulated during the wait.
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
