// Tests of how the age of a link, and a stall of the own process, affect links; the clock is advanced by
// hand.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "tests/fleet_site.h"

using namespace myrtleloft;

namespace {

const PeerIntroduction kN2{"vina", "n2", "", {3, 1}};

// n1 has dialled a scripted peer that introduces itself as n2.
struct Dialled : FleetSite {
  explicit Dialled(const LinkTuning& tuning) : n1(loop, "n1", tuning) {
    std::string error;
    listener = listenOn(parseAddress("127.0.0.1:0").value(), error);
    n1.links->setPeers({{"n2", parseAddress(localAddress(listener)).value()}});
    REQUIRE(until([&] { return hasPendingConnection(listener); }));
    int fault = 0;
    n2 = std::make_unique<RawPeer>(acceptFrom(listener, fault));
    n2->hello(kN2);
    raws = {n2.get()};
    REQUIRE(until([&] { return n1.links->up("n2"); }));
  }

  LinkedRelay n1;
  Fd listener;
  std::unique_ptr<RawPeer> n2;
};

}  // namespace

TEST_CASE("a young link dialled by the smaller name stays; an old one gives way to its peer's new one") {
  LinkTuning tuning = FleetSite::tuning();
  tuning.duplicateLinkMs = 30e3;
  Dialled site(tuning);
  RawPeer early(site.n1.links->listening());
  early.hello(kN2);
  site.raws = {&early, site.n2.get()};
  CHECK(site.until([&] { return early.closed; }));
  CHECK_EQ(site.n1.ends(LinkEnd::kReplaced), 1);
  CHECK_FALSE(site.n2->closed);
  site.clock.skippedMs += 31e3;
  RawPeer late(site.n1.links->listening());
  late.hello(kN2);
  site.raws = {&late, site.n2.get()};
  CHECK(site.until([&] { return site.n2->closed; }));
  CHECK_EQ(site.n1.count("up n2"), 2);
  late.say(frameOf(FleetKind::kCopy, "over the new one"));
  CHECK(site.until([&] { return site.n1.got["n2"].size() == 1; }));
  CHECK_FALSE(late.closed);
  CHECK_EQ(site.n1.links->figures().refused, 0);
}

TEST_CASE("who stood still does not close a link for what it could not hear") {
  LinkTuning tuning = FleetSite::tuning();
  tuning.silenceTimeoutMs = 30e3;
  tuning.frameTimeoutMs = 30e3;
  tuning.gapMs = 40e3;
  Dialled site(tuning);
  site.n1.links->send("n2", FleetKind::kPing, "are you there");
  const std::string half = frameOf(FleetKind::kCopy, "two halves");
  site.n2->say(half.substr(0, 28));
  REQUIRE(site.until([&] { return site.n2->out.empty() && site.n2->in.size() > 2 * kFrameHeaderBytes; }));
  site.clock.skippedMs += 60e3;  // longer than gapMs
  int turns = 0;
  site.until([&] { return ++turns > 20; });
  CHECK(site.n1.links->up("n2"));
  site.n2->say(half.substr(28));
  CHECK(site.until([&] { return site.n1.got["n2"].size() == 1; }));
  // Without a gap the timeout applies.
  site.n1.links->send("n2", FleetKind::kPing, "and now");
  site.clock.skippedMs += 35e3;
  CHECK(site.until([&] { return site.n1.ends(LinkEnd::kSilent) == 1; }));
}
