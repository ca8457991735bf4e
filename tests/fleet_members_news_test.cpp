// Tests of a single member: which gossip it accepts, and how it treats invalid gossip.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/integration/single_entry.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

TEST_CASE("of itself only a member says anything") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  one.hear("n2", update("n1", MemberState::kSuspect, 0, 1));
  CHECK(one.members.ownDenial() == 1);
  CHECK(!one.members.isCatchingUp());
  one.hear("n2", update("n1", MemberState::kSuspect, 0, 1));  // already refuted
  CHECK(one.members.ownDenial() == 1);
  one.hear("n2",
           update("n1", MemberState::kDead, 4, 1));  // forged: this member never raised its denial so far
  CHECK(one.members.ownDenial() == 5);
  CHECK(one.members.isCatchingUp());
  one.hear("n2", update("n1", MemberState::kDead, std::uint64_t{1} << 40, 1));
  one.hear("n2", update("n1", MemberState::kDead, kMaxDenial, 1));
  one.hear("n2", update("n1", MemberState::kDead, 5, 2));  // another `life`
  one.hear("n2", update("n1", MemberState::kDead, 5, 1, 9));
  CHECK(one.members.ownDenial() == 5);
}

TEST_CASE("what is old, of nobody or absurd changes nothing") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 4)));
  one.hear("n3", update("n3", MemberState::kAlive, 3, 7, 4));
  one.changes.clear();
  one.hear("n2", update("n3", MemberState::kDead, 9, 7, 3));        // an older run
  one.hear("n2", update("n3", MemberState::kSuspect, 2, 7, 4));     // already refuted
  one.hear("n2", update("n3", MemberState::kDead, 1 << 20, 7, 4));  // exceeds kMaxDenialJump
  one.hear("n2", update("n3", MemberState::kDead, 0, 7, 5));        // a run other than that of the link
  one.hear("n2", update("n9", MemberState::kAlive));                // not a peer
  one.hear("n2", update("n2", MemberState::kDead, 7));              // a relay reports itself only as alive
  one.hear("n2", update("n3", static_cast<MemberState>(7), 3, 7, 4));
  one.take(one.members.onPing(one.now, "n9", {1, "", "", {update("n3", MemberState::kSuspect, 3, 7, 4)}}));
  CHECK(one.sends.empty());
  one.take(one.members.onReply(one.now, "n2",
                               {1u << 30, true, 0, {update("n3", MemberState::kSuspect, 3, 7, 4)}}));
  CHECK(one.changes.empty());
  CHECK(one.members.all().size() == 2);
  CHECK(one.view("n3").denial == 3);
  CHECK(one.members.refuses(introduction("n3", 7, 3)));
  CHECK(one.members.refuses(introduction("n9")));
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 3)));
  CHECK(one.view("n3").incarnation == Incarnation{7, 4});
}

TEST_CASE("absurd hearsay of one that is not linked is mended by its own word") {
  One one({"n2"});
  one.take(one.members.setPeers(one.now, {"n2", "n3"}));
  one.hear("n2", update("n3", MemberState::kAlive, kMaxDenial, 7, 90));
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 2)));
  one.hear("n3", update("n3", MemberState::kAlive, 1, 7, 2));
  CHECK(one.view("n3").incarnation == Incarnation{7, 2});
  CHECK(one.view("n3").denial == 1);
}

TEST_CASE("whom we hear is not dead by hearsay") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  one.hear("n3", update("n3", MemberState::kAlive));
  one.hear("n2", update("n3", MemberState::kDead));
  CHECK(one.members.state("n3") == MemberState::kSuspect);
  one.take(one.members.onLinkDown(one.now, "n3"));
  one.hear("n2", update("n3", MemberState::kDead));
  CHECK(one.members.state("n3") == MemberState::kDead);
}

TEST_CASE("whoever is suspect is told of it with the next message, long after the news of it was spread") {
  std::vector<std::string> peers;
  for (int i = 2; i < 20; ++i) peers.push_back("n" + std::to_string(i));
  One one(peers);
  tickFor(one, 1000, kAllAnswer);
  one.hear("n2", update("n3", MemberState::kSuspect));
  const std::string target = "n3";
  tickFor(one, 6000, [&](const std::string& to, const Ping& q) {
    return to == target ? Answer() : Answer(q.target != target);
  });
  for (int i = 0; i < 5; ++i) {
    one.hear("n3", update("n3", MemberState::kAlive));
    PingReply reply;
    REQUIRE(!one.sends.empty());
    REQUIRE(decodeMembers(one.sends[0].payload, reply));
    REQUIRE(reply.updates.size() >= 2);
    CHECK(reply.updates[1].name == "n3");
    CHECK(reply.updates[1].state > MemberState::kAlive);
  }
}

TEST_CASE("two that claim one name: the one with the link is the present one, whatever the other denies") {
  One one({"n2", "n3"});
  one.take(one.members.onLinkUp(one.now, introduction("n3", 9)));
  CHECK(one.view("n3").incarnation == Incarnation{9, 1});
  one.hear("n2", update("n3", MemberState::kAlive, 1, 7));
  CHECK(one.view("n3").incarnation == Incarnation{9, 1});
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7)));
  CHECK(one.view("n3").incarnation == Incarnation{7, 1});
  CHECK(one.members.state("n3") == MemberState::kAlive);
  // Without a link, the life that is not dead is the current one.
  one.take(one.members.onLinkDown(one.now, "n3"));
  CHECK(one.view("n3").incarnation == Incarnation{7, 1});
  one.hear("n2", update("n3", MemberState::kDead, 1, 7));
  one.hear("n2", update("n3", MemberState::kAlive, 1, 9));
  CHECK(one.view("n3").incarnation == Incarnation{9, 1});
  CHECK(one.members.state("n3") == MemberState::kAlive);
}

TEST_CASE("true lives get in though forged ones fill the name's places") {
  One one({"n2"});
  one.take(one.members.setPeers(one.now, {"n2", "n3"}));
  for (std::uint64_t life = 20; life < 30; ++life) one.hear("n2", update("n3", MemberState::kAlive, 0, life));
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7)));
  CHECK(one.view("n3").incarnation == Incarnation{7, 1});
  CHECK(one.members.state("n3") == MemberState::kAlive);
}
