// Randomized simulations of fleets of three and five relays, and injected bugs that they must detect.
// MYRTLELOFT_SEEDS=10000 sets the number of seeds, MYRTLELOFT_FIRST_SEED the first seed.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <utility>

#include "copies/planted.h"
#include "tests/copies_world.h"

using namespace myrtleloft;

namespace {

std::uint32_t seedCount(std::uint32_t defaultCount) {
  const char* more = std::getenv("MYRTLELOFT_SEEDS");
  return more ? static_cast<std::uint32_t>(std::atoi(more)) : defaultCount;
}

std::uint32_t firstSeed() {
  const char* first = std::getenv("MYRTLELOFT_FIRST_SEED");
  return first ? static_cast<std::uint32_t>(std::atoi(first)) : 1;
}

void play(SimulatedFleet::Plan plan, std::uint32_t count) {
  int durableRequests = 0, takeovers = 0, calls = 0, folders = 0, broken = 0;
  for (std::uint32_t i = 0; i < count && broken < 5; ++i) {
    const std::uint32_t seed = firstSeed() + i;
    SimulatedFleet world(plan, seed);
    world.run();
    for (const std::string& what : world.checker().violations) MESSAGE("seed " << seed << ": " << what);
    broken += world.checker().violations.empty() ? 0 : 1;
    durableRequests += world.checker().durableRequests;
    takeovers += world.checker().takeovers;
    calls += world.checker().calls;
    folders += world.lostFolderCount();
  }
  CHECK(broken == 0);
  CHECK(durableRequests > 10 * static_cast<int>(count));
  CHECK(folders > static_cast<int>(count) / 4);
  MESSAGE(count << " simulations of " << plan.relays << ": " << durableRequests << " durable requests, "
                << calls << " calls, " << takeovers << " ledgers taken over, " << folders << " folders lost");
}

}  // namespace

TEST_CASE("nothing promised is lost, and nothing has two owners: three relays") {
  play({3, 2}, seedCount(60));
}
TEST_CASE("nothing promised is lost, and nothing has two owners: five relays") {
  play({5, 2}, seedCount(30));
}

namespace {

// Returns the first seed whose simulation detects the bug, or 0 if none up to `maxSeeds` does.
std::uint32_t findInjectedBug(InjectedBug bug, std::uint32_t maxSeeds, std::string& what) {
  injectedBug = bug;
  std::uint32_t found = 0;
  for (std::uint32_t seed = 1; seed <= maxSeeds && found == 0; ++seed) {
    SimulatedFleet world({3, 2}, seed);
    world.run();
    if (world.checker().violations.empty()) continue;
    found = seed;
    what = world.checker().violations.front();
  }
  injectedBug = InjectedBug::kNone;
  return found;
}

}  // namespace

// Acceptors that forget their responses are detected by copies_register_test.cpp: this simulation removes a
// state folder only while the rest of the fleet is healthy.
TEST_CASE("each planted bug is found") {
  const std::pair<InjectedBug, std::string> bugs[] = {
      {InjectedBug::kNoFence, "takeover without a fence"},
      {InjectedBug::kDurableWithoutReplicas, "202 before any replica acknowledged"},
      {InjectedBug::kOneAckSuffices, "202 after the first acknowledgment"},
      {InjectedBug::kCompletionsIgnored, "replicas that ignore completions"},
      {InjectedBug::kCallsAfterLease, "call after the lease expired"},
      {InjectedBug::kNewOwnerDoesNotWait, "new owner that does not wait"},
  };
  for (const auto& [bug, name] : bugs) {
    std::string what;
    const std::uint32_t seed = findInjectedBug(bug, 60, what);
    CHECK_MESSAGE(seed > 0, name);
    MESSAGE(name << ": found by seed " << seed << ": " << what);
  }
}
