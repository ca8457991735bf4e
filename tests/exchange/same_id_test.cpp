// A client that leaves before its 202 and sends the request again under the same id: the second is another
// request, and nothing that was decided, recorded or queued for the first reaches it. Manual clocks, a disk
// in memory.
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include "tests/exchange/given_up_requests.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

namespace {

// Long enough for all that waits for the disk.
void advanceAndSync(Site& site) {
  for (int i = 0; i < 20; ++i) {
    site.advance(50);
    syncOnce(site);
  }
}

}  // namespace

// Guards against a request that is recorded and counted twice because its id came twice in one batch.
TEST_CASE("a client that disconnects and sends the same request again in the same batch has one request") {
  for (const bool group : {false, true}) {
    CAPTURE(group);
    Site site(group, 1, 1, true, {}, [](Settings& settings) { settings.maxPendingRequests = 1; });
    site.submit("m");
    site.manager->onClientDisconnect("m");
    site.submit("m");
    site.advance(10);
    advanceAndSync(site);
    CHECK(site.answersById["m"] == Kinds{Answer::Kind::kAccepted});
    CHECK(site.isPendingOnDisk("m"));
    CHECK(site.counters.accepted == 1);
    CHECK(site.counters.failFastFull == 0);
    site.manager->onConfirmed("m");
    CHECK(site.journal->usage().live == 0);
  }
}

// Guards against a 202, and a call, that rest on the record of an earlier request of the same id.
TEST_CASE("group: a request sent again while the sync of its predecessor runs waits for its own") {
  Site site(true);
  site.submit("m");
  site.advance(10);
  syncOnce(site);  // of what was written before
  REQUIRE(site.syncer.jobs.size() == 1);
  site.manager->onClientDisconnect("m");
  site.submit("m");
  syncOnce(site);
  CHECK(site.answersById["m"].empty());
  CHECK(site.outbound.callsOut() == 0);
  advanceAndSync(site);
  CHECK(site.answersById["m"] == Kinds{Answer::Kind::kAccepted});
  CHECK(site.isPendingOnDisk("m"));
}

// Guards against a rejection, and a completion, of a request that only has the id of the one it is meant for.
TEST_CASE("group: a rejection that waits for the disk does not reach a later request of the same id") {
  Site site(true);
  // A record that fails later makes the journal rest beyond the first retry of the rejections.
  for (const char* id : {"later-0", "later-1", "later-2"}) site.submit(id, 360);
  submitAndGiveUp(site);
  site.advance(100);
  site.repairDisk();
  site.advance(50);
  for (const char* id : kShortLived) site.manager->onClientDisconnect(id);
  site.answersById.clear();
  site.advance(145);  // the journal rests no more, and the second retry is still to come
  for (const char* id : kShortLived) site.submit(id);
  advanceAndSync(site);
  for (const std::string id : kShortLived) {
    CAPTURE(id);
    CHECK(site.answersById[id] == Kinds{Answer::Kind::kAccepted});
    CHECK(site.isPendingOnDisk(id));
  }
  CHECK(site.counters.failFastFull == 0);
}
