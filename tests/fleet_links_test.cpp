// Tests of links: connecting, transfer, loss and reconnection.
#include <doctest/doctest.h>

#include <string>

#include "fleet/links.h"
#include "tests/fleet_site.h"

using namespace myrtleloft;

namespace {

void know(LinkedRelay& a, LinkedRelay& b) {
  a.links->setPeers({b.peer(b.name())});
  b.links->setPeers({a.peer(a.name())});
}

}  // namespace

TEST_CASE("two relays find each other, and each message arrives once, whole and in order") {
  FleetSite site;
  LinkedRelay n1(site.loop, "n1", FleetSite::tuning()), n2(site.loop, "n2", FleetSite::tuning(), {6, 3});
  CHECK_EQ(n1.links->room("n2"), 0);
  CHECK_FALSE(n1.links->send("n2", FleetKind::kCopy, "x"));
  know(n1, n2);
  REQUIRE(site.until([&] { return n1.links->up("n2") && n2.links->up("n1"); }));
  CHECK((n1.last["n2"].incarnation == Incarnation{6, 3} && n1.last["n2"].building == "norte"));
  CHECK_FALSE(n1.links->send("n2", FleetKind::kHello, "x"));
  std::size_t sent = 0;
  CHECK(site.until([&] {
    while (sent < 400 &&
           n1.links->send("n2", FleetKind::kCopy, std::to_string(sent) + std::string(sent * 7, 'x')))
      ++sent;
    return n2.got["n1"].size() == 400;
  }));
  for (std::size_t i = 0; i < 400; ++i)
    CHECK(n2.got["n1"][i].second == std::to_string(i) + std::string(i * 7, 'x'));
  CHECK_EQ(n2.count("up n1"), 1);
}

TEST_CASE(
    "a full queue refuses, tells its room, and says when half of it is free; the members' lane goes first") {
  FleetSite site;
  LinkedRelay n1(site.loop, "n1", FleetSite::tuning()), n2(site.loop, "n2", FleetSite::tuning());
  know(n1, n2);
  REQUIRE(site.until([&] { return n1.links->up("n2") && n2.links->up("n1"); }));
  // Nothing is written within the same turn of the loop.
  std::size_t copies = 0, bytes = 0;
  while (const std::size_t room = std::min<std::size_t>(n1.links->room("n2"), 40000)) {
    REQUIRE(n1.links->send("n2", FleetKind::kCopy, std::string(room, 'c')));
    bytes += room;
    ++copies;
  }
  CHECK(bytes + copies * kFrameHeaderBytes <= kMinQueueBytes);
  CHECK(bytes + copies * kFrameHeaderBytes > kMinQueueBytes - kFrameHeaderBytes);
  CHECK_FALSE(n1.links->send("n2", FleetKind::kCopy, ""));
  std::size_t pings = 0;
  while (n1.links->send("n2", FleetKind::kPing, std::string(1000, 'q'))) ++pings;
  CHECK_EQ(pings, kMembersLaneBytes / (1000 + kFrameHeaderBytes));
  CHECK(n1.rooms.empty());
  REQUIRE(site.until([&] { return n2.got["n1"].size() == pings + copies; }));
  for (std::size_t i = 0; i < pings; ++i) CHECK(n2.got["n1"][i].first == FleetKind::kPing);
  CHECK(site.until([&] { return n1.rooms == std::vector<std::string>{"n2"}; }));
  CHECK_EQ(n1.links->room("n2"), kMaxFleetPayloadBytes);
}

TEST_CASE("both dial at once: one link is left, on both sides the same") {
  for (int round = 0; round < 5; ++round) {
    FleetSite site;
    LinkTuning tuning = FleetSite::tuning();
    tuning.headStartMs = 0;
    LinkedRelay n1(site.loop, "n1", tuning), n2(site.loop, "n2", tuning);
    know(n1, n2);
    REQUIRE(site.until([&] { return n1.links->up("n2") && n2.links->up("n1"); }));
    CHECK((n1.links->figures().dials >= 1 && n2.links->figures().dials >= 1));
    // Sends a message in each direction over the remaining link.
    CHECK(site.until([&] {
      if (n2.got["n1"].empty()) n1.links->send("n2", FleetKind::kCopy, "x");
      if (n1.got["n2"].empty()) n2.links->send("n1", FleetKind::kCopy, "y");
      return !n2.got["n1"].empty() && !n1.got["n2"].empty();
    }));
    const std::uint64_t dials = n1.links->figures().dials + n2.links->figures().dials;
    int turns = 0;
    site.until([&] { return ++turns > 100; });
    CHECK((n1.links->up("n2") && n2.links->up("n1")));
    CHECK_EQ(n1.links->figures().dials + n2.links->figures().dials, dials);
    CHECK_EQ(n1.count("up n2"), n1.count("down n2") + 1);
  }
}

TEST_CASE("a relay that goes and comes again at its address is found again") {
  FleetSite site;
  LinkedRelay n1(site.loop, "n1", FleetSite::tuning());
  auto n2 = std::make_unique<LinkedRelay>(site.loop, "n2", FleetSite::tuning());
  know(n1, *n2);
  const std::string address = n2->links->listening();
  for (std::uint64_t start = 2; start < 5; ++start) {
    REQUIRE(site.until([&] { return n1.links->up("n2") && n2->links->up("n1"); }));
    n2.reset();
    REQUIRE(site.until([&] { return !n1.links->up("n2") && n1.ends(LinkEnd::kUnreachable) > 0; }));
    n2 = std::make_unique<LinkedRelay>(site.loop, "n2", FleetSite::tuning(), Incarnation{5, start}, address);
    REQUIRE(n2->opened);
    n2->links->setPeers({n1.peer("n1")});
  }
  REQUIRE(site.until([&] { return n1.links->up("n2"); }));
  CHECK_EQ(n1.last["n2"].incarnation.start, 4);
}

TEST_CASE("who answers at a peer's address under another's name is not taken for it") {
  FleetSite site;
  LinkedRelay n1(site.loop, "n1", FleetSite::tuning()), n3(site.loop, "n3", FleetSite::tuning());
  n3.links->setPeers({n1.peer("n1")});
  // The list gives n2 the address of n3, and n3 an address without a listener.
  n1.links->setPeers({n3.peer("n2"), {"n3", parseAddress("127.0.0.1:1").value()}});
  CHECK(site.until([&] { return n1.ends(LinkEnd::kOtherName) > 0; }));
  CHECK_FALSE(n1.links->up("n2"));
}

TEST_CASE("the operator's new list: who is gone is let go, who is new is found, who stays is not touched") {
  FleetSite site;
  LinkedRelay n1(site.loop, "n1", FleetSite::tuning()), n2(site.loop, "n2", FleetSite::tuning()),
      n3(site.loop, "n3", FleetSite::tuning()), n4(site.loop, "n4", FleetSite::tuning());
  for (LinkedRelay* other : {&n2, &n3, &n4}) other->links->setPeers({n1.peer("n1")});
  n1.links->setPeers({n2.peer("n2"), n3.peer("n3")});
  REQUIRE(site.until([&] { return n1.links->linksUp() == 2; }));
  n1.links->setPeers({n3.peer("n3"), n4.peer("n4")});
  CHECK_EQ(n1.count("down n2"), 1);
  REQUIRE(site.until([&] { return n1.links->up("n4") && n1.ends(LinkEnd::kUnknownName) > 0; }));
  CHECK((n1.links->up("n3") && n1.count("down n3") == 0 && n1.count("up n2") == 1));
  // The new address has no listener.
  n1.links->setPeers({{"n3", parseAddress("127.0.0.1:1").value()}, n4.peer("n4")});
  CHECK_EQ(n1.count("down n3"), 1);
}

TEST_CASE("a link over which nothing comes after a question is over; without a question it stays") {
  FleetSite site;
  LinkTuning tuning = FleetSite::tuning();
  tuning.silenceTimeoutMs = 150;
  LinkedRelay n1(site.loop, "n1", tuning);
  std::string error;
  const Fd listener = listenOn(parseAddress("127.0.0.1:0").value(), error);
  n1.links->setPeers({{"n2", parseAddress(localAddress(listener)).value()}});
  REQUIRE(site.until([&] { return hasPendingConnection(listener); }));
  int fault = 0;
  RawPeer n2(acceptFrom(listener, fault));
  n2.hello({"vina", "n2", "", {3, 1}});
  site.raws = {&n2};
  REQUIRE(site.until([&] { return n1.links->up("n2"); }));
  const double at = site.clock.steadyMs();
  n1.links->send("n2", FleetKind::kCopy, "not a question");
  site.until([&] { return site.clock.steadyMs() > at + 3 * tuning.silenceTimeoutMs; });
  CHECK_EQ(n1.count("down n2"), 0);
  n1.links->send("n2", FleetKind::kPing, "are you there");
  n2.say(frameOf(FleetKind::kPingReply, "yes"));
  REQUIRE(site.until([&] { return n1.got["n2"].size() == 1; }));
  CHECK_EQ(n1.ends(LinkEnd::kSilent), 0);
  n1.links->send("n2", FleetKind::kPing, "still");
  CHECK(site.until([&] { return n1.ends(LinkEnd::kSilent) == 1 && n2.closed; }));
}
