// Two changes of the list while a long poll gets no answer, gets an outdated answer or loses its connection.
// Uses real sockets on the loopback interface. The fake directory holds its answers until the test releases
// them, which forces the order of events.
#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "tests/discovery/fleet_relay_fixture.h"

using namespace myrtleloft;

namespace {

constexpr FleetSize kFleet{30, 500};

std::string listOf(int rev, bool all, const std::string& entries) {
  return "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[" +
         entries + "]}";
}

std::string draining(int number) {
  std::string entry = DiscoveryClientFixture::entry(number);
  lab::replaceAll(entry, "active", "leaving");
  return entry;
}

// A relay that knows u1 and u2 at revision 5, at which u1 started to drain, and has a long poll in flight.
struct RacingChangesFixture : FleetRelayFixture {
  RacingChangesFixture() : FleetRelayFixture(kFleet, 7, false) {
    holdsLongPolls = false;
    list = listOf(5, true, draining(1) + "," + entry(2));
    advance(1000);
    REQUIRE(endpointDirectory.endpoints().revision() == 5);
    holdsLongPolls = true;
    advance(200);
    for (int i = 0; i < 100 && waiting.empty(); ++i) advance(100);
    REQUIRE(waiting.size() == 1);
    REQUIRE(calls.back() == "GET /discovery/hosts?after=5&wait_ms=10000 HTTP/1.1");
  }
  bool isDraining(const char* uid) const {
    return endpointDirectory.endpoints().findByUid(uid)->info.state == EndpointState::kDraining;
  }
  // Answers the long poll in flight with `text`.
  void answerLongPoll(std::string text) {
    const std::string before = std::exchange(list, std::move(text));
    hub.send(*waiting.begin(), answer());
    list = before;
    waiting.clear();
  }
  // Checks that u2 becomes draining within `withinMs`, and that u1 is draining throughout.
  void expectBothDrainsKnown(double withinMs) {
    const double untilMs = clock.nowMs + withinMs;
    while (clock.nowMs < untilMs && !isDraining("u2")) {
      clock.nowMs += 50;
      for (int i = 0; i < 12; ++i) {
        runLoop(1);
        REQUIRE(isDraining("u1"));
      }
    }
    CHECK(isDraining("u2"));
    CHECK(endpointDirectory.endpoints().revision() == 6);
  }
  // Makes the second change: u2 drains too.
  void announceChange() {
    holdsLongPolls = false;
    list = listOf(6, false, draining(2));
  }
};

}  // namespace

TEST_CASE("a long poll that falls silent between two changes is repeated from the first revision") {
  RacingChangesFixture relay;
  relay.silenceConnections();
  relay.announceChange();
  const std::size_t before = relay.calls.size();
  relay.expectBothDrainsKnown(kWaitMs + kWaitNotifiedMs + kFleet.graceMs);
  CHECK(relay.calls[before] == "GET /discovery/hosts?after=5&wait_ms=10000 HTTP/1.1");
}

TEST_CASE("a long poll that breaks between two changes is repeated within the grace") {
  for (const bool breaksTwice : {false, true}) {
    RacingChangesFixture relay;
    if (breaksTwice) {
      // The first connection breaks, and then the one that replaces it.
      relay.hub.close(*relay.waiting.begin(), true);
      relay.waiting.clear();
      for (int i = 0; i < 40 && relay.waiting.empty(); ++i) relay.advance(50);
      REQUIRE(relay.waiting.size() == 1);
    }
    relay.announceChange();
    relay.hub.close(*relay.waiting.begin(), true);
    relay.expectBothDrainsKnown(kFleet.graceMs);
  }
}

TEST_CASE("a delta of an earlier revision reverts nothing, and the complete list is polled") {
  RacingChangesFixture relay;
  relay.announceChange();
  relay.list = listOf(6, true, draining(1) + "," + draining(2));
  relay.answerLongPoll(listOf(4, false, DiscoveryClientFixture::entry(1)));
  const std::size_t before = relay.calls.size();
  relay.expectBothDrainsKnown(kFleet.graceMs);
  CHECK(relay.calls[before] == "GET /discovery/hosts HTTP/1.1");
}

TEST_CASE("one complete list of an earlier revision reverts nothing; a second one shows a rollback") {
  RacingChangesFixture relay;
  relay.announceChange();
  relay.list = listOf(6, true, draining(1) + "," + draining(2));
  relay.answerLongPoll(
      listOf(4, true, DiscoveryClientFixture::entry(1) + "," + DiscoveryClientFixture::entry(2)));
  relay.expectBothDrainsKnown(kFleet.graceMs);

  RacingChangesFixture back;
  back.announceChange();
  back.list = listOf(3, true, DiscoveryClientFixture::entry(1) + "," + draining(2));
  back.answerLongPoll(back.list);
  back.advance(kFleet.graceMs);
  CHECK(back.endpointDirectory.endpoints().revision() == 3);
  CHECK_FALSE(back.isDraining("u1"));
  CHECK(back.isDraining("u2"));
}

// Guards against treating a second copy of an earlier answer on the same connection as the answer of the next
// poll, which would confirm the list.
TEST_CASE("a second copy of discovery's answer is not taken for the answer of the next poll") {
  DiscoveryClientFixture relay;
  relay.runLoop(20);
  const lab::Hub::Id firstConnection = relay.lastPollFrom;
  relay.holdsLongPolls = true;
  relay.advance(200);
  REQUIRE(relay.waiting.size() == 1);  // the long poll after the complete list
  const int polls = relay.polls;
  relay.hub.send(firstConnection, relay.answer());
  relay.advance(500);
  CHECK(relay.polls == polls);
}
