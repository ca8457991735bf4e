// Drawn worlds of three and five relays, and the bugs that they must find.
// MYRTLELOFT_SEEDS=10000 plays more of them, from MYRTLELOFT_FIRST_SEED on.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <utility>

#include "copies/planted.h"
#include "tests/copies_world.h"

using namespace myrtleloft;

namespace {

std::uint32_t seeds(std::uint32_t usual) {
  const char* more = std::getenv("MYRTLELOFT_SEEDS");
  return more ? static_cast<std::uint32_t>(std::atoi(more)) : usual;
}

std::uint32_t firstSeed() {
  const char* first = std::getenv("MYRTLELOFT_FIRST_SEED");
  return first ? static_cast<std::uint32_t>(std::atoi(first)) : 1;
}

void play(CopiesWorld::Plan plan, std::uint32_t count) {
  int promises = 0, takeovers = 0, calls = 0, folders = 0, broken = 0;
  for (std::uint32_t i = 0; i < count && broken < 5; ++i) {
    const std::uint32_t seed = firstSeed() + i;
    CopiesWorld world(plan, seed);
    world.run();
    for (const std::string& what : world.referee().broken) MESSAGE("seed " << seed << ": " << what);
    broken += world.referee().broken.empty() ? 0 : 1;
    promises += world.referee().promises;
    takeovers += world.referee().takeovers;
    calls += world.referee().calls;
    folders += world.lostFolders();
  }
  CHECK(broken == 0);
  CHECK(promises > 10 * static_cast<int>(count));
  CHECK(folders > static_cast<int>(count) / 4);
  MESSAGE(count << " worlds of " << plan.relays << ": " << promises << " promised, " << calls << " calls, "
                << takeovers << " ledgers taken over, " << folders << " folders lost");
}

}  // namespace

TEST_CASE("nothing promised is lost, and nothing has two owners: three relays") { play({3, 2}, seeds(60)); }
TEST_CASE("nothing promised is lost, and nothing has two owners: five relays") { play({5, 2}, seeds(30)); }

namespace {

// How many worlds must be played until the referee sees that bug; 0: it never did.
std::uint32_t foundAfter(Flaw flaw, std::uint32_t most, std::string& what) {
  plantedFlaw = flaw;
  std::uint32_t found = 0;
  for (std::uint32_t seed = 1; seed <= most && found == 0; ++seed) {
    CopiesWorld world({3, 2}, seed);
    world.run();
    if (world.referee().broken.empty()) continue;
    found = seed;
    what = world.referee().broken.front();
  }
  plantedFlaw = Flaw::kNone;
  return found;
}

}  // namespace

// Voters that forget are found by the drawn registers: here a folder is only lost while all else is whole.
TEST_CASE("each planted bug is found") {
  const std::pair<Flaw, std::string> flaws[] = {
      {Flaw::kNoFence, "a takeover without a fence"},
      {Flaw::kPromiseAlone, "a 202 before the copies"},
      {Flaw::kHalfAnEnsemble, "a 202 after the first copy"},
      {Flaw::kEndedRevives, "an end that revives"},
      {Flaw::kStalledCalls, "a stalled owner that calls"},
      {Flaw::kHeirDoesNotWait, "an heir that does not wait"},
  };
  for (const auto& [flaw, name] : flaws) {
    std::string what;
    const std::uint32_t seed = foundAfter(flaw, 60, what);
    CHECK_MESSAGE(seed > 0, name);
    MESSAGE(name << ": world " << seed << ": " << what);
  }
}
