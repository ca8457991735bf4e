#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
// Tests of a single member: its pings, and its reactions to silence, stalls and broken links.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/integration/single_entry.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

TEST_CASE("a peer that is silent to us and to a third is suspected, and dead when it does not deny it") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  CHECK(one.members.state("n3") == MemberState::kAlive);
  tickFor(one, 600, kSilentThree);
  CHECK(one.members.state("n3") == MemberState::kSuspect);
  CHECK(one.members.state("n2") == MemberState::kAlive);
  one.changes.clear();
  tickFor(one, one.members.suspicionTimeoutMs() + 1000, kSilentThree);
  REQUIRE(one.changes.size() == 1);
  CHECK(one.changes[0].name == "n3");
  CHECK(one.changes[0].was == MemberState::kSuspect);
  CHECK(one.changes[0].is == MemberState::kDead);

  SUBCASE("its denial takes the death back") {
    one.hear("n3", update("n3", MemberState::kAlive, 1));
    CHECK(one.members.state("n3") == MemberState::kAlive);
  }
  SUBCASE("so does a new start, with the folder or without") {
    one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 2)));
    CHECK(one.members.state("n3") == MemberState::kAlive);
    one.take(one.members.onLinkUp(one.now, introduction("n3", 5, 1)));
    CHECK(one.members.state("n3") == MemberState::kAlive);
    CHECK(one.view("n3").incarnation == Incarnation{5, 1});
    // Updates about the lost folder do not apply to the new one.
    one.hear("n2", update("n3", MemberState::kDead, 9, 7, 2));
    CHECK(one.members.state("n3") == MemberState::kAlive);
  }
  SUBCASE("being heard without a denial does not, but it is told what is held against it") {
    one.take(one.members.onPing(one.now, "n3", {9, "", "", {update("n3", MemberState::kAlive, 0)}}));
    CHECK(one.members.state("n3") == MemberState::kDead);
    REQUIRE(!one.sends.empty());
    PingReply reply;
    REQUIRE(decodeMembers(one.sends[0].payload, reply));
    REQUIRE(reply.updates.size() >= 2);
    CHECK(reply.updates[1] == update("n3", MemberState::kDead));
  }
}

TEST_CASE("a third that reaches it is enough, and the cut is seen as what it is") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  bool hears = true;
  double asked = 0;
  for (int round = 0; round < 60; ++round) {
    one.now = one.next;
    one.take(one.members.onTick(one.now));
    const auto pings = one.sends;
    for (const MemberSend& s : pings) {
      Ping q;
      if (!decodeMembers(s.payload, q)) continue;
      if (s.to == "n3") asked = one.now;
      if (s.to != "n2") continue;
      const auto ago = q.target == "n3" && hears ? static_cast<std::uint32_t>(one.now - asked) : kNeverHeard;
      one.take(one.members.onReply(one.now, "n2", {q.number, true, ago, {}}));
    }
    if (round == 30) {
      CHECK(one.view("n3").hears == Hears::kYes);
      CHECK(!one.view("n3").heard);
      hears = false;
    }
  }
  CHECK(one.view("n3").hears == Hears::kNo);
  CHECK(one.members.state("n3") == MemberState::kAlive);
  CHECK(std::none_of(one.changes.begin(), one.changes.end(),
                     [](const MemberChange& c) { return c.is > MemberState::kAlive; }));
}

TEST_CASE("one that hears nobody says nothing of anybody, and must ask") {
  One one({"n2", "n3", "n4"});
  CHECK(one.members.isCatchingUp());
  tickFor(one, 1000, kAllAnswer);
  CHECK(!one.members.isCatchingUp());
  tickFor(one, 30000, [](const std::string&, const Ping&) { return Answer(); });
  for (const MemberView& v : one.members.all()) CHECK(v.state == MemberState::kAlive);
  CHECK(one.members.isCatchingUp());
  CHECK(one.members.health() == MembersTuning().maxHealth);
  tickFor(one, 3000, kAllAnswer);
  CHECK(!one.members.isCatchingUp());
}

TEST_CASE("with nobody else left there is no third to ask") {
  One one({"n2"});
  tickFor(one, 1000, kAllAnswer);
  tickFor(one, 20000, [](const std::string&, const Ping&) { return Answer(); });
  CHECK(one.members.state("n2") == MemberState::kDead);
  CHECK(one.members.isCatchingUp());
}

TEST_CASE("two that fail in one moment leave a third that cannot tell that from being cut off") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  for (const char* gone : {"n2", "n3"}) one.take(one.members.onLinkDown(one.now, gone));
  tickFor(one, 30000, [](const std::string&, const Ping&) { return Answer(); });
  CHECK(one.members.state("n2") == MemberState::kAlive);
  CHECK(one.members.state("n3") == MemberState::kAlive);
  CHECK(!one.view("n2").heard);
  CHECK(one.members.isCatchingUp());
}

TEST_CASE("one that stood still suspects nobody for it, and must ask more than half") {
  One one({"n2", "n3", "n4", "n5"});
  tickFor(one, 1000, kAllAnswer);
  one.hear("n2", update("n3", MemberState::kSuspect));
  one.changes.clear();
  one.now = one.next + 60000;
  one.take(one.members.onTick(one.now));
  CHECK(one.changes.empty());
  CHECK(one.members.isCatchingUp());
  // A reply to a ping sent before the stall does not count.
  one.take(one.members.onReply(one.now, "n2", {1, true, 0, {}}));
  one.take(one.members.onReply(one.now, "n4", {1, true, 0, {}}));
  CHECK(one.members.isCatchingUp());
  tickFor(one, 1500, kAllAnswer);
  CHECK(!one.members.isCatchingUp());
  CHECK(std::none_of(one.changes.begin(), one.changes.end(),
                     [](const MemberChange& c) { return c.is == MemberState::kDead; }));
}

TEST_CASE("peers come and go") {
  One one({"n2", "n3"});
  one.take(one.members.setPeers(one.now, {"n4", "n2"}));
  CHECK(one.members.all().size() == 2);
  CHECK(one.members.state("n3") == MemberState::kUnknown);
  CHECK(one.members.state("n2") == MemberState::kAlive);
  one.hear("n2", update("n4", MemberState::kAlive));
  CHECK(one.members.state("n4") == MemberState::kAlive);
  CHECK(one.view("n4").building == "b");
  one.take(one.members.setPeers(one.now, {}));
  CHECK(!one.members.isCatchingUp());
  CHECK(one.members.all().empty());
}

TEST_CASE("a reply that lies unread because we are late ourselves is waited for, once") {
  One one({"n2", "n3", "n4"});
  tickFor(one, 1000, kAllAnswer);
  const double lateMs = MembersTuning().stallMs / 2;
  const auto tickLate = [&](double byMs) {
    one.now = one.next + byMs;
    one.take(one.members.onTick(one.now));
  };
  do tickLate(0);
  while (one.sends.empty());
  Ping ping;
  REQUIRE(decodeMembers(one.sends[0].payload, ping));
  REQUIRE(ping.target.empty());
  const std::string asked = one.sends[0].to;
  tickLate(lateMs);
  CHECK(one.sends.empty());
  SUBCASE("it was there") {
    one.take(one.members.onReply(one.now, asked, {ping.number, true, 0, {}}));
    tickLate(0);
    REQUIRE(one.sends.size() == 1);
    REQUIRE(decodeMembers(one.sends[0].payload, ping));
    CHECK(ping.target.empty());
  }
  SUBCASE("there was none; who is always late would never learn of anything") {
    tickLate(lateMs);
    REQUIRE(one.sends.size() == 2);
    REQUIRE(decodeMembers(one.sends[0].payload, ping));
    CHECK(ping.target == asked);
  }
}
