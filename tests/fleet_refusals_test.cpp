// Tests of refusals: each faulty link is closed, counted and logged once, while messages of a correct peer
// are still delivered.
#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "tests/fleet_site.h"

using namespace myrtleloft;

namespace {

const PeerIntroduction kBadPeer{"vina", "n3", "sur", {9, 4}};

// n1 is the relay under test, n2 a correct peer, and n3 a listed peer that each test plays itself.
struct Town : FleetSite {
  explicit Town(LinkTuning tuning = FleetSite::tuning())
      : n1(loop, "n1", tuning), n2(loop, "n2", FleetSite::tuning()) {
    n1.links->setPeers({n2.peer("n2"), {"n3", parseAddress("127.0.0.1:1").value()}});
    n2.links->setPeers({n1.peer("n1")});
    REQUIRE(until([&] { return n1.links->up("n2") && n2.links->up("n1"); }));
  }
  ~Town() { raws.clear(); }
  void checkGoodPeer() {
    const std::string text = "message " + std::to_string(++said);
    CHECK(n2.links->send("n1", FleetKind::kCopy, text));
    CHECK(until([&] { return !n1.got["n2"].empty() && n1.got["n2"].back().second == text; }));
    CHECK((n1.count("down n2") == 0 && n2.count("down n1") == 0));
  }
  // Refuses two connections, to verify that the second one is not logged again.
  void refuses(LinkEnd end, const std::string& who, const std::function<void(RawPeer&)>& script) {
    CAPTURE(std::string(nameOf(end)));
    const std::uint64_t before = n1.ends(end), refused = n1.links->figures().refused;
    const std::size_t messages = n1.got["n3"].size();
    for (std::uint64_t i = 1; i <= 2; ++i) {
      RawPeer raw(n1.links->listening());
      raws = {&raw};
      script(raw);
      CHECK(until([&] { return raw.closed; }));
      CHECK_EQ(n1.ends(end), before + i);
      CHECK_EQ(n1.links->figures().refused, refused + i);
      raws.clear();
      checkGoodPeer();
    }
    const std::string line = "closed a link to " + who + ": " + nameOf(end) + " (logged once)";
    const std::size_t at = n1.log.str().find(line);
    CHECK(at != std::string::npos);
    CHECK(n1.log.str().find(line, at + 1) == std::string::npos);
    CHECK_EQ(n1.got["n3"].size(), messages);
  }

  LinkedRelay n1, n2;
  int said = 0;
};

constexpr const char* kNobody = "an unidentified peer";

}  // namespace

TEST_CASE("refused before it has introduced itself") {
  Town town;
  town.refuses(LinkEnd::kNoFrame, kNobody, [](RawPeer& raw) { raw.say("GET / HTTP/1.1\r\n\r\n"); });
  town.refuses(LinkEnd::kVersion, kNobody, [](RawPeer& raw) {
    raw.say(frameOf(FleetKind::kHello, encodeIntroduction(kBadPeer), kFleetVersion + 1));
  });
  town.refuses(LinkEnd::kBeforeHello, kNobody, [](RawPeer& raw) {
    raw.say(frameOf(FleetKind::kCopy, "x"));
    raw.hello(kBadPeer);
  });
  town.refuses(LinkEnd::kBadHello, kNobody, [](RawPeer& raw) { raw.say(frameOf(FleetKind::kHello, "x")); });
  town.refuses(LinkEnd::kOversized, kNobody, [](RawPeer& raw) {
    raw.say(frameOf(FleetKind::kHello, std::string(kMaxHelloPayloadBytes + 1, 'x')));
  });
  town.refuses(LinkEnd::kTorn, kNobody,
               [](RawPeer& raw) { raw.say(frameOf(FleetKind::kHello, "x").substr(0, 20)); });
  const auto says = [](const PeerIntroduction& peer) { return [peer](RawPeer& raw) { raw.hello(peer); }; };
  town.refuses(LinkEnd::kOtherFleet, "n3", says({"quilpue", "n3", "", {9, 4}}));
  town.refuses(LinkEnd::kUnknownName, kNobody, says({"vina", "n4", "", {9, 4}}));
  town.refuses(LinkEnd::kOwnName, kNobody, says({"vina", "n1", "", {9, 4}}));
  CHECK_EQ(town.n1.count("up n3"), 0);
}

TEST_CASE("a name that a living link has: no other life and no earlier start comes in") {
  Town town;
  town.refuses(LinkEnd::kNameTaken, "n2", [](RawPeer& raw) { raw.hello({"vina", "n2", "", {6, 9}}); });
  RawPeer n3(town.n1.links->listening());
  n3.hello(kBadPeer);
  town.raws = {&n3};
  REQUIRE(town.until([&] { return town.n1.links->up("n3"); }));
  town.refuses(LinkEnd::kOlder, "n3", [](RawPeer& raw) { raw.hello({"vina", "n3", "", {9, 3}}); });
  CHECK_EQ(town.n1.count("down n3"), 0);
  // A later run is the same relay after a restart.
  RawPeer again(town.n1.links->listening());
  again.hello({"vina", "n3", "", {9, 5}});
  town.raws = {&again, &n3};
  CHECK(town.until([&] { return town.n1.count("up n3") == 2 && n3.closed; }));
  CHECK((town.n1.last["n3"].incarnation == Incarnation{9, 5}));
  town.raws.clear();
  // An earlier run is refused even if no link is up.
  again.fd.reset();
  CHECK(town.until([&] { return town.n1.count("down n3") == 2; }));
  town.refuses(LinkEnd::kOlder, "n3", [](RawPeer& raw) { raw.hello({"vina", "n3", "", {9, 4}}); });
}

TEST_CASE("refused once it has introduced itself") {
  LinkTuning tuning = FleetSite::tuning();
  tuning.framesPerS = 2000;
  Town town(tuning);
  std::uint64_t start = 0;  // increases with each connection, so that it replaces the previous link
  const auto then = [&](const std::string& bytes) {
    return [&, bytes](RawPeer& raw) {
      raw.hello({"vina", "n3", "sur", {9, ++start}});
      raw.say(bytes);
    };
  };
  std::string spoilt = frameOf(FleetKind::kCopy, "x");
  spoilt.back() ^= 1;
  town.refuses(LinkEnd::kChecksum, "n3", then(spoilt));
  town.refuses(LinkEnd::kOversized, "n3",
               then(frameOf(FleetKind::kCopy, std::string(kMaxFleetPayloadBytes + 1, 'x'))));
  town.refuses(LinkEnd::kUnknownKind, "n3", then(frameOf(static_cast<FleetKind>(13), "x")));
  town.refuses(LinkEnd::kTorn, "n3", then(frameOf(FleetKind::kCopy, "half of it").substr(0, 30)));
  town.refuses(LinkEnd::kSecondHello, "n3", then(frameOf(FleetKind::kHello, encodeIntroduction(kBadPeer))));
  town.refuses(LinkEnd::kBadPayload, "n3", then(frameOf(FleetKind::kAudit, "x")));
  CHECK_EQ(town.n1.count("up n3"), 12);
  CHECK_EQ(town.n1.count("down n3"), 12);
}

TEST_CASE("a flood of good messages: closed at its bound, and nobody waits for it") {
  LinkTuning tuning = FleetSite::tuning();
  tuning.framesPerS = 2000;
  tuning.bytesPerTurn = 8192;
  Town town(tuning);
  std::string flood;
  for (int i = 0; i < 5000; ++i) flood += frameOf(FleetKind::kPing, "?");
  RawPeer raw(town.n1.links->listening());
  raw.hello(kBadPeer);
  raw.say(flood);
  town.raws = {&raw};
  // A message of n2 must arrive before the flood ends.
  REQUIRE(town.until([&] { return town.n1.got["n3"].size() > 20; }));
  town.checkGoodPeer();
  CHECK_EQ(town.n1.ends(LinkEnd::kFlood), 0);
  CHECK(town.until([&] { return raw.closed; }));
  CHECK_EQ(town.n1.ends(LinkEnd::kFlood), 1);
  CHECK_EQ(town.n1.got["n3"].size(), 2000 - 1);  // the hello counts as a frame
}

TEST_CASE("connections that do not introduce themselves keep nobody out") {
  Town town;
  std::vector<std::unique_ptr<RawPeer>> silent;
  for (std::size_t i = 0; i < 3 * kMaxPendingIntroductions; ++i)
    silent.push_back(std::make_unique<RawPeer>(town.n1.links->listening()));
  CHECK(town.until([&] { return town.n1.ends(LinkEnd::kCrowded) >= 2 * kMaxPendingIntroductions; }));
  RawPeer n3(town.n1.links->listening());
  n3.hello(kBadPeer);
  town.raws = {&n3};
  CHECK(town.until([&] { return town.n1.links->up("n3"); }));
  CHECK(town.until([&] { return town.n1.ends(LinkEnd::kNoHello) > 0; }));  // the remaining ones time out
  town.checkGoodPeer();
}

TEST_CASE("a peer that never reads: its queue is bounded, and then its link is over") {
  Town town;
  RawPeer raw(town.n1.links->listening());
  raw.reads = false;
  raw.hello(kBadPeer);
  town.raws = {&raw};
  REQUIRE(town.until([&] { return town.n1.links->up("n3"); }));
  const std::string payload(32 * 1024, 'x');
  // Sends until the buffers of the kernel and the queue are full; from then on every send is refused at once.
  REQUIRE(town.until([&] {
    while (town.n1.links->send("n3", FleetKind::kCopy, payload)) {
    }
    return town.n1.ends(LinkEnd::kStalled) > 0;
  }));
  CHECK_EQ(town.n1.count("down n3"), 1);
  CHECK_FALSE(town.n1.links->send("n3", FleetKind::kCopy, "x"));
  CHECK(town.n1.links->figures().refusedSends > 0);
  town.checkGoodPeer();
}
