// Charges of requests and calls to the quotas, and their refunds.
#include <doctest/doctest.h>

#include <cstdint>
#include <string>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

namespace {

// Allows one tenant three requests and two calls per minute.
QuotaPlan smallPlan() {
  QuotaPlan plan;
  plan.windowsS = {60};
  plan.maxActiveWindows = 8;
  plan.nodes = {{"univ", "", "univ", "", false, {3}, {2}, {}}};
  return plan;
}

struct Used {
  std::uint64_t requests;
  std::uint64_t weightMicro;
  std::uint64_t calls;
  bool operator==(const Used&) const = default;
};
Used used(Site& site) {
  QuotaTree tree = site.quotas.tree();
  const Amount amount = tree.used(0, 0, site.clock.nowMs);
  return {amount.of(Measure::kMessages), amount.of(Measure::kWorth), amount.of(Measure::kCalls)};
}

}  // namespace

TEST_CASE("quotas: an accepted request and each of its calls are charged once") {
  Site site(false, 1, 4, true, smallPlan());
  site.submit("m1");
  CHECK((used(site) == Used{1, 1000000, 0}));
  site.advance(10);
  CHECK((used(site) == Used{1, 1000000, 1}));
  site.submit("m1");  // a repetition of the same request
  CHECK((used(site) == Used{1, 1000000, 1}));
  site.submit("m2");
  site.advance(10);
  CHECK((used(site) == Used{2, 2000000, 2}));
  // The quota allows another request, but no call for it.
  site.submit("m3");
  CHECK(site.answers.back() == Answer::Kind::kQuotaExceeded);
  CHECK(site.lastRetryAfterMs > 59000);
  CHECK(site.lastRetryAfterMs <= 61200);
  CHECK(site.counters.failFastQuota == 1);
  CHECK(site.log.str().find("quota: univ has reached its limit of calls in 60 s") != std::string::npos);
  CHECK((used(site) == Used{2, 2000000, 2}));
}

TEST_CASE("quotas: a request that is not accepted and a call that is not sent are refunded") {
  Site site(true, 1, 4, true, smallPlan());
  site.submit("gone");
  site.manager->onClientDisconnect("gone");
  CHECK((used(site) == Used{0, 0, 0}));
  site.submit("late", 0.1);  // too little time left to execute it
  CHECK((used(site) == Used{1, 1000000, 0}));
  site.advance(10);
  REQUIRE(site.answers.size() == 1);
  REQUIRE(site.answers.back() == Answer::Kind::kRejected);
  CHECK((used(site) == Used{0, 0, 0}));
  // The disk fails when the request is recorded.
  site.failDisk();
  site.submit("unrecorded");
  site.advance(10);
  REQUIRE(site.answers.back() == Answer::Kind::kRejected);
  CHECK((used(site) == Used{0, 0, 0}));
  site.repairDisk();
  site.advance(1500);  // longer than the journal's pause after a fault
  site.submit("m");
  site.advance(10);
  CHECK((used(site) == Used{1, 1000000, 1}));  // its call waits for the sync
  site.setEndpointState(EndpointState::kDraining);
  for (int i = 0; i < 5; ++i) {
    site.syncer.work();
    site.manager->onSynced();
    site.advance(10);
  }
  CHECK(site.outbound.pendingCalls() == 0);
  CHECK((used(site) == Used{1, 1000000, 0}));
}
