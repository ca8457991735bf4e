// Property tests: the decision module keeps all rules in randomly drawn scenarios (drawn_scenario.h).
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>

#include "tests/policy/drawn_scenario.h"

using myrtleloft::testing::DrawnScenario;

// Seeds of the days on which a known fault lets the relays overload a recovering upstream.
constexpr std::array<std::uint64_t, 1> kKnownOverloadSeeds = {798};

TEST_CASE("every rule holds over 1,000 days of troubles, changes, restarts and strange events") {
  std::size_t completions = 0, sends = 0, rejections = 0, repeatedAttempts = 0, coldArrivals = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    DrawnScenario scenario(seed, seed % 2 == 0);
    const std::string violation = scenario.run();
    // The known fault of the next test case. Without the guards of slow start, 535 of the days have it.
    const bool overload = violation.find("a cold return is overrun") != violation.npos;
    if (!overload ||
        std::find(kKnownOverloadSeeds.begin(), kKnownOverloadSeeds.end(), seed) == kKnownOverloadSeeds.end())
      CHECK_MESSAGE(violation == "", violation);
    completions += scenario.completions, sends += scenario.sends, rejections += scenario.rejections,
        repeatedAttempts += scenario.repeatedAttempts;
    coldArrivals += scenario.coldArrivals;
  }
  // Checks that the scenarios exercised what they are meant to test.
  CHECK(completions > 100000);
  CHECK(sends > 100000);
  CHECK(rejections > 1000);
  CHECK(repeatedAttempts > 1000);
  CHECK(coldArrivals > 1000);
}

// Known fault: the first success after a brief outage ends the bound on the rate while seven requests wait.
// Measures that prevent it reduced the deliveries of two relays by 1.3% or more (docs/bench/cold-returns.md).
TEST_CASE("no drawn day overruns a cold return") {
  for (const std::uint64_t seed : kKnownOverloadSeeds) {
    const std::string violation = DrawnScenario(seed, seed % 2 == 0).run();
    CHECK_MESSAGE(violation == "", violation);
  }
}
