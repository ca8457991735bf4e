// Sends whose attempt the journal cannot record. Uses manual clocks, an in-memory disk and real sockets
// without blocking.
#include <doctest/doctest.h>

#include <cerrno>
#include <string>
#include <vector>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

namespace {

// Submits a request that is recorded, and whose first send is deferred because the disk fails from its
// attempt on.
void acceptAndDefer(Site& site, const std::string& id, double leftMs = 10e3) {
  site.submit(id, leftMs);
  // The next operation writes its record `taken`, the one after that its record `attempt`.
  site.files.failAt(site.files.operations() + 2, 1 << 20, EIO);
  site.advance(10);
  REQUIRE(site.counters.journalFaults == 1);
  REQUIRE(site.outbound.pendingCalls() == 0);
}

}  // namespace

TEST_CASE("while the disk fails, a send is deferred without using attempts until it can be recorded") {
  Site site;
  acceptAndDefer(site, "m");
  CHECK(site.answers == std::vector<Answer::Kind>{Answer::Kind::kAccepted});
  site.advance(2000);
  CHECK(site.counters.journalFaults < 12);  // the module may cancel the send, but not in each batch
  CHECK(site.notifications.empty());
  CHECK(site.outbound.pendingCalls() == 0);
  site.repairDisk();
  site.advance(300);
  CHECK(site.outbound.pendingCalls() == 1);
  CHECK(site.notifications.empty());
}

TEST_CASE("a request that completes while its send is deferred frees its call slot") {
  Site site;
  acceptAndDefer(site, "m", 1000);
  site.advance(1200);  // after its deadline
  CHECK_FALSE(site.notifications.empty());
  site.repairDisk();
  site.advance(500);
  CHECK(site.outbound.pendingCalls() == 0);
  site.submit("next");
  site.advance(50);
  CHECK(site.outbound.pendingCalls() == 1);
}

// Guards against a notification that is late because the deferred send was checked only after the journal's
// pause.
TEST_CASE("a request whose send is deferred gets its final status at its deadline, not at the next retry") {
  for (const double leftMs : {600.0, 700.0, 800.0, 900.0, 1000.0, 1100.0}) {
    Site site;
    const double submittedMs = site.clock.nowMs;
    acceptAndDefer(site, "m", leftMs);
    site.advance(submittedMs + leftMs + 15 - site.clock.nowMs);
    INFO(leftMs);
    CHECK_FALSE(site.notifications.empty());
  }
}

TEST_CASE("group: a disconnect drops the deferred send, and the same id sent again is a new request") {
  Site site(true);
  acceptAndDefer(site, "m");
  CHECK(site.answers.empty());  // no sync yet
  site.manager->onClientDisconnect("m");
  site.repairDisk();
  site.advance(1000);
  CHECK(site.outbound.pendingCalls() == 0);
  site.submit("m");
  for (int i = 0; i < 20; ++i) {
    site.advance(20);
    site.syncer.work();
    site.manager->onSynced();
  }
  CHECK(site.answers == std::vector<Answer::Kind>{Answer::Kind::kAccepted});
  CHECK(site.outbound.pendingCalls() == 1);
  CHECK(site.notifications.empty());
}
