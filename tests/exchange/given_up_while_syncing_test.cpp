// Requests that the decision module gives up while their 202 waits for a sync (durability level `group`), on
// a disk that cannot record their completion. Guards against a 202 for a request that the relay does not
// deliver, and against pending-request capacity that is never freed.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

namespace {

constexpr int kShortLived = 6;

// Submits one request with enough time and six whose deadline passes while the disk fails, before any sync.
void submitAndGiveUp(Site& site) {
  site.submit("long-lived");
  for (int i = 0; i < kShortLived; ++i) site.submit("short-" + std::to_string(i), 200);
  site.advance(10);
  REQUIRE(site.syncer.jobs.size() == 1);
  site.failDisk();
  site.advance(700);
}

// Long enough for all retries of records and syncs.
void advanceAndSync(Site& site) {
  for (int i = 0; i < 40; ++i) {
    site.advance(100);
    site.syncer.work();
    site.manager->onSynced();
  }
}

}  // namespace

TEST_CASE("group: a request given up while its 202 waits for a sync is not answered as accepted") {
  Site site(true);
  submitAndGiveUp(site);
  const std::uint64_t givenUp = site.counters.failFast;
  REQUIRE(givenUp > 0);
  site.repairDisk();
  site.syncer.work();
  site.manager->onSynced();
  advanceAndSync(site);
  const auto accepted = std::count(site.answers.begin(), site.answers.end(), Answer::Kind::kAccepted);
  CHECK(static_cast<std::uint64_t>(accepted) == kShortLived + 1 - givenUp);
}

TEST_CASE("group: requests given up before their sync fails release their capacity") {
  Site site(true, 1, 1, true, {}, [](Settings& settings) { settings.maxPendingRequests = 60; });
  submitAndGiveUp(site);
  site.syncer.work();
  site.manager->onSynced();
  site.repairDisk();
  advanceAndSync(site);
  site.submit("later");
  advanceAndSync(site);
  CHECK(site.counters.failFastFull == 0);
}
