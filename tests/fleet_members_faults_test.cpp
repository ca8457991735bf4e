// Tests of single faults on the simulated network: a stall, a relay that receives nothing, one that sends
// nothing, a broken link, false gossip, a lost folder, and a partition.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

#include "lab/watched_members.h"

using namespace myrtleloft;
using namespace myrtleloft::lab;

namespace {

MemberView viewOf(WatchedMembers& all, int by, int target) {
  for (MemberView& view : all.at(by)->all()) {
    if (view.name == WatchedMembers::nameOf(target)) return view;
  }
  return {};
}

void cutAll(WatchedMembers& all, int node, bool in, bool out) {
  for (int i = 0; i < all.fleet.size(); ++i) {
    if (i != node && in) all.fleet.cut(i, node);
    if (i != node && out) all.fleet.cut(node, i);
  }
}

void uncutAll(WatchedMembers& all) {
  for (int a = 0; a < all.fleet.size(); ++a) {
    for (int b = 0; b < all.fleet.size(); ++b) all.fleet.uncut(a, b);
  }
}

// Sends well-formed messages with random contents about any relay.
class Liar : public FleetNode {
 public:
  Liar(FleetPort& port, DrawnFleet& fleet) : port_(port), fleet_(fleet), nextMs_(port.nowMs()) {}
  void onTimer() override {
    nextMs_ = port_.nowMs() + 20;
    Ping ping{1 + below(1000), "", "", {}};
    for (int i = 0; i < 8; ++i) ping.updates.push_back(lie());
    const std::string payload = below(2) == 0
                                    ? encodeMembers(ping)
                                    : encodeMembers(PingReply{ping.number, below(2) == 0, 0, ping.updates});
    // Replies and pings differ only in length, so either may be decoded as the other or refused.
    Ping q;
    const auto kind = decodeMembers(payload, q) ? FleetKind::kPing : FleetKind::kPingReply;
    const auto peers = port_.peers();
    port_.send(peers[below(peers.size())], kind, payload);
  }
  double nextMs() const override { return nextMs_; }
  void onPeerUp(const PeerIntroduction& peer) override { known_.push_back(peer); }
  void onPeerDown(const std::string&) override {}
  bool onPeerMessage(const std::string&, FleetKind, std::string_view) override { return true; }
  void onPeerWritable(const std::string&) override {}

 private:
  std::uint64_t below(std::uint64_t n) { return fleet_.drawn() % n; }
  GossipUpdate lie() {
    const PeerIntroduction& of = known_.empty() ? port_.self() : known_[below(known_.size())];
    GossipUpdate n{of.name, of.incarnation, below(3), static_cast<MemberState>(1 + below(3)), "nowhere"};
    if (below(4) == 0) n.name = "nobody";
    if (below(4) == 0) n.incarnation.life = 1 + below(5);
    if (below(4) == 0) n.incarnation.start = 1 + below(5);
    if (below(4) == 0) n.denial = std::uint64_t{1} << below(49);
    return n;
  }

  FleetPort& port_;
  DrawnFleet& fleet_;
  std::vector<PeerIntroduction> known_;
  double nextMs_;
};

}  // namespace

TEST_CASE("one that stood still calls nobody dead, must ask, and is alive again soon") {
  int deaths = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    WatchedMembers all(3 + static_cast<int>(seed % 5), seed, {});
    all.startAll();
    REQUIRE(all.wellWithin(5000));
    const double fromMs = all.fleet.nowMs(), forMs = all.fleet.drawn(700, 10000);
    all.fleet.stall(1, forMs);
    all.fleet.runUntil(fromMs + forMs);
    // The first call after the stall must report it.
    bool asked = false;
    for (int i = 0; i < 50 && !asked; ++i) {
      all.fleet.runUntil(fromMs + forMs + 0.1 * i);
      asked = all.at(1)->isCatchingUp();
    }
    CHECK(asked);
    CHECK(all.wellWithin(3000));
    all.fleet.runUntil(all.fleet.nowMs() + 5000);
    for (const auto& death : all.falseDeaths) {
      CHECK(death.target == "n1");
      CHECK(death.by != "n1");
    }
    deaths += static_cast<int>(all.falseDeaths.size());
  }
  CHECK(deaths > 0);  // long stalls are reported as deaths, which are later refuted
}

TEST_CASE("a deaf one blames nobody; to the others it is dead, though it is heard") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    NetworkTraits traits;
    traits.dropAfterMs = 1e9;  // keeps the links up, so that only silence shows the fault
    WatchedMembers all(5, seed, traits);
    all.startAll();
    REQUIRE(all.wellWithin(5000));
    cutAll(all, 0, true, false);
    all.fleet.runUntil(all.fleet.nowMs() + 20000);
    CHECK(all.at(0)->isCatchingUp());
    CHECK(all.allSay(0, MemberState::kDead));
    for (const auto& suspicion : all.falseSuspicions) CHECK(suspicion.target == "n0");
    uncutAll(all);
    CHECK(all.wellWithin(5000));
  }
}

TEST_CASE("a mute one hears that it is dead, and must ask") {
  NetworkTraits traits;
  traits.dropAfterMs = 1e9;
  WatchedMembers all(5, 3, traits);
  all.startAll();
  REQUIRE(all.wellWithin(5000));
  cutAll(all, 0, false, true);
  all.fleet.runUntil(all.fleet.nowMs() + 20000);
  CHECK(all.at(0)->isCatchingUp());
  CHECK(all.at(0)->ownDenial() > 0);
  CHECK(all.allSay(0, MemberState::kDead));
  for (int i = 1; i < 5; ++i) CHECK(all.at(0)->state(WatchedMembers::nameOf(i)) == MemberState::kAlive);
  uncutAll(all);
  CHECK(all.wellWithin(5000));
}

TEST_CASE("one broken link raises no suspicion, and each side knows which way it is broken") {
  for (const bool bothWays : {false, true}) {
    CAPTURE(bothWays);
    NetworkTraits traits;
    traits.dropAfterMs = 1e9;
    WatchedMembers all(4, 9, traits);
    all.startAll();
    REQUIRE(all.wellWithin(5000));
    all.fleet.cut(2, 0);
    if (bothWays) all.fleet.cut(0, 2);
    all.fleet.runUntil(all.fleet.nowMs() + 60000);
    CHECK(all.falseSuspicions.empty());
    CHECK(!viewOf(all, 0, 2).heard);
    CHECK(viewOf(all, 0, 2).hears == (bothWays ? Hears::kNo : Hears::kYes));
    CHECK(viewOf(all, 2, 0).heard == !bothWays);
    CHECK((viewOf(all, 2, 0).hears) == Hears::kNo);
    CHECK((viewOf(all, 0, 1).hears) == Hears::kYes);
  }
}

TEST_CASE("a liar among them makes nobody dead, and leaves nothing behind") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    WatchedMembers all(5, seed, {});
    const int liar = all.fleet.add(
        "liar", "nowhere", [&all](FleetPort& port) { return std::make_unique<Liar>(port, all.fleet); });
    for (int i = 0; i < 5; ++i) all.fleet.start(i);
    all.fleet.runUntil(3000);
    all.fleet.start(liar);
    all.fleet.runUntil(23000);
    all.fleet.crash(liar, Folder::kLost);
    for (const auto& death : all.falseDeaths) CHECK(death.target == "liar");
    all.fleet.runUntil(40000);
    for (int a = 0; a < 5; ++a) {
      CHECK(!all.at(a)->isCatchingUp());
      for (int b = 0; b < 5; ++b) {
        if (a == b) continue;
        CHECK(viewOf(all, a, b).state == MemberState::kAlive);
        CHECK(viewOf(all, a, b).incarnation == all.fleet.self(b).incarnation);
      }
    }
  }
}

TEST_CASE("after a restart, with or without its folder, all know the new incarnation and deny the old") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    WatchedMembers all(5, seed, {});
    all.startAll();
    REQUIRE(all.wellWithin(5000));
    for (const Folder folder : {Folder::kKept, Folder::kLost, Folder::kLost, Folder::kKept}) {
      all.fleet.crash(2, folder);
      all.fleet.runUntil(all.fleet.nowMs() + (seed % 2 == 0 ? 0 : 6000));
      // Relay 0 has no link to it, and learns of it by gossip only.
      all.fleet.cut(0, 2);
      all.fleet.start(2);
      all.fleet.runUntil(all.fleet.nowMs() + 2000);
      for (const int by : {0, 1, 3, 4}) {
        CHECK(viewOf(all, by, 2).incarnation == all.fleet.self(2).incarnation);
        CHECK(viewOf(all, by, 2).state == MemberState::kAlive);
        CHECK(viewOf(all, by, 2).building == "east");
      }
      all.fleet.uncut(0, 2);
      CHECK(all.wellWithin(2000));
    }
  }
}

TEST_CASE(
    "one that has a link to a single relay comes to know all, though their news is old, and stays alive") {
  WatchedMembers all(12, 2, {});
  for (int i = 1; i < 12; ++i) all.fleet.start(i);
  all.fleet.runUntil(60000);
  for (int i = 2; i < 12; ++i) all.fleet.cut(i, 0);
  all.fleet.start(0);
  // Until each relay has found the helper that reaches it, it may be suspected, and refutes that.
  all.fleet.runUntil(90000);
  CHECK(all.falseDeaths.empty());
  all.falseSuspicions.clear();
  all.fleet.runUntil(150000);
  CHECK(all.falseSuspicions.empty());
  for (int i = 1; i < 12; ++i) {
    CHECK(viewOf(all, 0, i).state == MemberState::kAlive);
    CHECK(viewOf(all, i, 0).state == MemberState::kAlive);
  }
  CHECK(all.at(0)->isCatchingUp());  // one link is less than half of the fleet
}

TEST_CASE("two halves that could not reach each other are one again") {
  constexpr int kRelays = 24;
  WatchedMembers all(kRelays, 4, {});
  all.startAll();
  REQUIRE(all.wellWithin(10000));
  for (int a = 0; a < kRelays / 3; ++a) {
    for (int b = kRelays / 3; b < kRelays; ++b) {
      all.fleet.cut(a, b);
      all.fleet.cut(b, a);
    }
  }
  all.fleet.runUntil(all.fleet.nowMs() + 60000);
  CHECK(all.at(kRelays - 1)->state("n0") == MemberState::kDead);
  CHECK(all.at(0)->state("n" + std::to_string(kRelays - 1)) == MemberState::kDead);
  CHECK(all.at(0)->state("n1") == MemberState::kAlive);
  uncutAll(all);
  CHECK(all.wellWithin(1000));  // after the reconnection each relay first probes those it considered dead
}
