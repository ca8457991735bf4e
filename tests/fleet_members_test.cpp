#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
// One member by hand: what it asks, what it takes of what others say, and what it does with nonsense.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/members.h"

using namespace myrtleloft;

namespace {

PeerIntroduction introduction(const std::string& name, std::uint64_t life = 7, std::uint64_t start = 1) {
  return {"f", name, "b", {life, start}};
}

MemberNews news(const std::string& name, Standing standing, std::uint64_t denial = 0, std::uint64_t life = 7,
                std::uint64_t start = 1) {
  return {name, {life, start}, denial, standing, "b"};
}

// n1 among others, all of which are linked.
struct One {
  explicit One(const std::vector<std::string>& peers)
      : members(MembersTuning(), introduction("n1", 1), peers, 5) {
    take(members.onTick(now));
    for (const std::string& peer : peers) take(members.onLinkUp(now, introduction(peer)));
  }
  void take(Members::Step step) {
    next = step.nextMs;
    sends = std::move(step.sends);
    changes.insert(changes.end(), step.changes.begin(), step.changes.end());
  }
  // The next tick, when it is due; each question is given to `answers`, for a reply from the same peer.
  template <typename Answers>
  void tick(const Answers& answers) {
    now = std::max(now, next);
    take(members.onTick(now));
    const std::vector<MemberSend> questions = sends;
    for (const MemberSend& s : questions) {
      MemberQuestion q;
      if (s.kind != FleetKind::kQuestion || !decodeMembers(s.payload, q)) continue;
      if (auto reply = answers(s.to, q)) take(members.onReply(now, s.to, {q.number, *reply, 0, {}}));
    }
  }
  MemberView view(const std::string& name) const {
    for (MemberView& v : members.all()) {
      if (v.name == name) return v;
    }
    return {};
  }
  void hear(const std::string& from, const MemberNews& n) {
    take(members.onQuestion(now, from, {9, "", "", {n}}));
  }

  double now = 1000, next = 0;
  Members members;
  std::vector<MemberSend> sends;
  std::vector<MemberChange> changes;
};

using Answer = std::optional<bool>;
const auto kAllAnswer = [](const std::string&, const MemberQuestion&) { return Answer(true); };
// n3 is silent, and the others say so.
const auto kSilentThree = [](const std::string& to, const MemberQuestion& q) {
  return to == "n3" ? Answer() : Answer(q.about != "n3");
};

void tickFor(One& one, double ms, auto answers) {
  const double end = one.now + ms;
  while (one.next < end) one.tick(answers);
  one.now = end;
}

}  // namespace

TEST_CASE("a peer that is silent to us and to a third is suspected, and dead when it does not deny it") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  CHECK(one.members.standing("n3") == Standing::kAlive);
  tickFor(one, 600, kSilentThree);
  CHECK(one.members.standing("n3") == Standing::kSuspect);
  CHECK(one.members.standing("n2") == Standing::kAlive);
  one.changes.clear();
  tickFor(one, one.members.spanMs() + 1000, kSilentThree);
  REQUIRE(one.changes.size() == 1);
  CHECK(one.changes[0].name == "n3");
  CHECK(one.changes[0].was == Standing::kSuspect);
  CHECK(one.changes[0].is == Standing::kDead);

  SUBCASE("its denial takes the death back") {
    one.hear("n3", news("n3", Standing::kAlive, 1));
    CHECK(one.members.standing("n3") == Standing::kAlive);
  }
  SUBCASE("so does a new start, with the folder or without") {
    one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 2)));
    CHECK(one.members.standing("n3") == Standing::kAlive);
    one.take(one.members.onLinkUp(one.now, introduction("n3", 5, 1)));
    CHECK(one.members.standing("n3") == Standing::kAlive);
    CHECK(one.view("n3").incarnation == Incarnation{5, 1});
    // What is told of the folder that is lost is not about it.
    one.hear("n2", news("n3", Standing::kDead, 9, 7, 2));
    CHECK(one.members.standing("n3") == Standing::kAlive);
  }
  SUBCASE("being heard without a denial does not, but it is told what is held against it") {
    one.take(one.members.onQuestion(one.now, "n3", {9, "", "", {news("n3", Standing::kAlive, 0)}}));
    CHECK(one.members.standing("n3") == Standing::kDead);
    REQUIRE(!one.sends.empty());
    MemberReply reply;
    REQUIRE(decodeMembers(one.sends[0].payload, reply));
    REQUIRE(reply.news.size() >= 2);
    CHECK(reply.news[1] == news("n3", Standing::kDead));
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
    const auto questions = one.sends;
    for (const MemberSend& s : questions) {
      MemberQuestion q;
      if (!decodeMembers(s.payload, q)) continue;
      if (s.to == "n3") asked = one.now;
      if (s.to != "n2") continue;
      const auto ago = q.about == "n3" && hears ? static_cast<std::uint32_t>(one.now - asked) : kNeverHeard;
      one.take(one.members.onReply(one.now, "n2", {q.number, true, ago, {}}));
    }
    if (round == 30) {
      CHECK(one.view("n3").hears == Hears::kYes);
      CHECK(!one.view("n3").heard);
      hears = false;
    }
  }
  CHECK(one.view("n3").hears == Hears::kNo);
  CHECK(one.members.standing("n3") == Standing::kAlive);
  CHECK(std::none_of(one.changes.begin(), one.changes.end(),
                     [](const MemberChange& c) { return c.is > Standing::kAlive; }));
}

TEST_CASE("one that hears nobody says nothing of anybody, and must ask") {
  One one({"n2", "n3", "n4"});
  CHECK(one.members.mustAsk());
  tickFor(one, 1000, kAllAnswer);
  CHECK(!one.members.mustAsk());
  tickFor(one, 30000, [](const std::string&, const MemberQuestion&) { return Answer(); });
  for (const MemberView& v : one.members.all()) CHECK(v.standing == Standing::kAlive);
  CHECK(one.members.mustAsk());
  CHECK(one.members.health() == MembersTuning().mostHealth);
  tickFor(one, 3000, kAllAnswer);
  CHECK(!one.members.mustAsk());
}

TEST_CASE("with nobody else left there is no third to ask") {
  One one({"n2"});
  tickFor(one, 1000, kAllAnswer);
  tickFor(one, 20000, [](const std::string&, const MemberQuestion&) { return Answer(); });
  CHECK(one.members.standing("n2") == Standing::kDead);
  CHECK(one.members.mustAsk());
}

TEST_CASE("one that stood still suspects nobody for it, and must ask more than half") {
  One one({"n2", "n3", "n4", "n5"});
  tickFor(one, 1000, kAllAnswer);
  one.hear("n2", news("n3", Standing::kSuspect));
  one.changes.clear();
  one.now = one.next + 60000;
  one.take(one.members.onTick(one.now));
  CHECK(one.changes.empty());
  CHECK(one.members.mustAsk());
  // A reply to what was asked before the stall says nothing of now.
  one.take(one.members.onReply(one.now, "n2", {1, true, 0, {}}));
  one.take(one.members.onReply(one.now, "n4", {1, true, 0, {}}));
  CHECK(one.members.mustAsk());
  tickFor(one, 1500, kAllAnswer);
  CHECK(!one.members.mustAsk());
  CHECK(std::none_of(one.changes.begin(), one.changes.end(),
                     [](const MemberChange& c) { return c.is == Standing::kDead; }));
}

TEST_CASE("of itself only a member says anything") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  one.hear("n2", news("n1", Standing::kSuspect, 0, 1));
  CHECK(one.members.ownDenial() == 1);
  CHECK(!one.members.mustAsk());
  one.hear("n2", news("n1", Standing::kSuspect, 0, 1));  // denied already
  CHECK(one.members.ownDenial() == 1);
  one.hear("n2", news("n1", Standing::kDead, 4, 1));  // forged, for nobody has heard of so many denials
  CHECK(one.members.ownDenial() == 5);
  CHECK(one.members.mustAsk());
  one.hear("n2", news("n1", Standing::kDead, std::uint64_t{1} << 40, 1));
  one.hear("n2", news("n1", Standing::kDead, kMostDenial, 1));
  one.hear("n2", news("n1", Standing::kDead, 5, 2));  // another life
  one.hear("n2", news("n1", Standing::kDead, 5, 1, 9));
  CHECK(one.members.ownDenial() == 5);
}

TEST_CASE("what is old, of nobody or absurd changes nothing") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 4)));
  one.hear("n3", news("n3", Standing::kAlive, 3, 7, 4));
  one.changes.clear();
  one.hear("n2", news("n3", Standing::kDead, 9, 7, 3));        // an older start
  one.hear("n2", news("n3", Standing::kSuspect, 2, 7, 4));     // denied
  one.hear("n2", news("n3", Standing::kDead, 1 << 20, 7, 4));  // nobody denies so often
  one.hear("n2", news("n3", Standing::kDead, 0, 7, 5));        // a start that its link knows nothing of
  one.hear("n2", news("n9", Standing::kAlive));                // not of the peers
  one.hear("n2", news("n2", Standing::kDead, 7));              // nobody says so of itself
  one.hear("n2", news("n3", static_cast<Standing>(7), 3, 7, 4));
  one.take(one.members.onQuestion(one.now, "n9", {1, "", "", {news("n3", Standing::kSuspect, 3, 7, 4)}}));
  CHECK(one.sends.empty());
  one.take(
      one.members.onReply(one.now, "n2", {1u << 30, true, 0, {news("n3", Standing::kSuspect, 3, 7, 4)}}));
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
  one.hear("n2", news("n3", Standing::kAlive, kMostDenial, 7, 90));
  one.take(one.members.onLinkUp(one.now, introduction("n3", 7, 2)));
  one.hear("n3", news("n3", Standing::kAlive, 1, 7, 2));
  CHECK(one.view("n3").incarnation == Incarnation{7, 2});
  CHECK(one.view("n3").denial == 1);
}

TEST_CASE("whom we hear is not dead by hearsay") {
  One one({"n2", "n3"});
  tickFor(one, 1000, kAllAnswer);
  one.hear("n3", news("n3", Standing::kAlive));
  one.hear("n2", news("n3", Standing::kDead));
  CHECK(one.members.standing("n3") == Standing::kSuspect);
  one.take(one.members.onLinkDown(one.now, "n3"));
  one.hear("n2", news("n3", Standing::kDead));
  CHECK(one.members.standing("n3") == Standing::kDead);
}

TEST_CASE("peers come and go") {
  One one({"n2", "n3"});
  one.take(one.members.setPeers(one.now, {"n4", "n2"}));
  CHECK(one.members.all().size() == 2);
  CHECK(one.members.standing("n3") == Standing::kUnknown);
  CHECK(one.members.standing("n2") == Standing::kAlive);
  one.hear("n2", news("n4", Standing::kAlive));
  CHECK(one.members.standing("n4") == Standing::kAlive);
  CHECK(one.view("n4").building == "b");
  one.take(one.members.setPeers(one.now, {}));
  CHECK(!one.members.mustAsk());
  CHECK(one.members.all().empty());
}
