// Tests of the merge of gossip updates and its algebraic properties, and of the encoding of messages.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/member_messages.h"
#include "fleet/member_table.h"

using namespace myrtleloft;

namespace rc {

// A small range of values, so that equal ones are frequent.
template <>
struct Arbitrary<GossipUpdate> {
  static Gen<GossipUpdate> arbitrary() {
    return gen::map(gen::tuple(gen::inRange(1, 4), gen::inRange(1, 4), gen::inRange(0, 4), gen::inRange(1, 4),
                               gen::inRange(0, 3)),
                    [](const std::tuple<int, int, int, int, int>& t) {
                      GossipUpdate n;
                      n.name = "n1";
                      n.incarnation = {static_cast<std::uint64_t>(std::get<0>(t)),
                                       static_cast<std::uint64_t>(std::get<1>(t))};
                      n.denial = static_cast<std::uint64_t>(std::get<2>(t));
                      n.state = static_cast<MemberState>(std::get<3>(t));
                      n.building = std::string(static_cast<std::size_t>(std::get<4>(t)), 'b');
                      return n;
                    });
  }
};

}  // namespace rc

namespace {

// Returns the merged updates, sorted by life.
std::vector<GossipUpdate> believed(const std::vector<GossipUpdate>& all) {
  std::vector<MemberIncarnation> incarnations;
  for (const GossipUpdate& n : all) mergeUpdate(incarnations, n);
  std::vector<GossipUpdate> updates;
  for (const MemberIncarnation& l : incarnations) updates.push_back(MemberTable::updateOf("n1", l));
  std::sort(updates.begin(), updates.end(), [](const GossipUpdate& a, const GossipUpdate& b) {
    return a.incarnation.life < b.incarnation.life;
  });
  return updates;
}

auto rank(const GossipUpdate& n) { return std::tuple(n.incarnation.start, n.denial, n.state); }

template <typename Law>
void holds(const char* what, const Law& law) {
  CAPTURE(what);
  CHECK(rc::check(what, law));
}

}  // namespace

TEST_CASE("the merge of news is a join") {
  using All = std::vector<GossipUpdate>;
  holds("in any order", [](const All& all) {
    All other = *rc::gen::exec([&] {
      All left = all, drawn;
      while (!left.empty()) {
        const auto at = *rc::gen::inRange<std::size_t>(0, left.size());
        drawn.push_back(left[at]);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(at));
      }
      return drawn;
    });
    RC_ASSERT(believed(all) == believed(other));
  });
  holds("repeated", [](const All& all) {
    All twice = all;
    twice.insert(twice.end(), all.begin(), all.end());
    RC_ASSERT(believed(all) == believed(twice));
  });
  holds("of parts", [](const All& some, const All& more) {
    All whole = some, parts = believed(some), late = believed(more);
    whole.insert(whole.end(), more.begin(), more.end());
    parts.insert(parts.end(), late.begin(), late.end());
    RC_ASSERT(believed(whole) == believed(parts));
  });
  holds("the highest of each life stands", [](const All& all) {
    for (const GossipUpdate& b : believed(all)) {
      for (const GossipUpdate& n : all) {
        if (n.incarnation.life == b.incarnation.life) RC_ASSERT(rank(n) <= rank(b));
      }
      RC_ASSERT(
          std::any_of(all.begin(), all.end(), [&](const GossipUpdate& n) { return rank(n) == rank(b); }));
    }
  });
}

TEST_CASE("lives beyond the bound push out dead ones alone") {
  std::vector<MemberIncarnation> incarnations;
  for (std::uint64_t life = 1; life <= kMaxIncarnations; ++life) {
    CHECK(mergeUpdate(incarnations,
                      {"n1", {life, 1}, 0, life == 2 ? MemberState::kDead : MemberState::kAlive, ""}));
  }
  CHECK(mergeUpdate(incarnations, {"n1", {9, 1}, 0, MemberState::kSuspect, ""}));
  CHECK(!mergeUpdate(incarnations, {"n1", {10, 1}, 0, MemberState::kAlive, ""}));
  CHECK(incarnations.size() == kMaxIncarnations);
  CHECK(std::none_of(incarnations.begin(), incarnations.end(),
                     [](const MemberIncarnation& l) { return l.incarnation.life == 2; }));
}

TEST_CASE("messages come out as they went in, and nothing else is one") {
  holds("as they went in", [](const std::vector<GossipUpdate>& all, bool reached, std::uint32_t ago) {
    auto updates = all;
    if (updates.size() > kMaxGossipUpdates) updates.resize(kMaxGossipUpdates);
    Ping ping, q{1, "n2", "n3", updates};
    PingReply reply, r{7, reached, ago, updates};
    RC_ASSERT(decodeMembers(encodeMembers(q), ping));
    RC_ASSERT(ping.number == 1u && ping.target == "n2" && ping.onBehalfOf == "n3");
    RC_ASSERT(ping.updates == updates);
    RC_ASSERT(decodeMembers(encodeMembers(r), reply));
    RC_ASSERT(reply.number == 7u && reply.reached == reached && reply.heardMsAgo == ago &&
              reply.updates == updates);
  });
  holds("torn, or with more behind", [](GossipUpdate update) {
    const std::string whole = encodeMembers(Ping{1, "", "", {update}});
    Ping ping{5, "kept", "", {}};
    const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
    RC_ASSERT(!decodeMembers(std::string_view(whole).substr(0, size), ping));
    RC_ASSERT(!decodeMembers(whole + "x", ping));
    RC_ASSERT(ping.number == 5u && ping.target == "kept");
  });
  holds("any bytes", [](const std::string& bytes) {
    PingReply reply;
    if (decodeMembers(bytes, reply)) RC_ASSERT(encodeMembers(reply) == bytes);
  });
  const GossipUpdate good{"n1", {1, 1}, 0, MemberState::kAlive, ""};
  Ping out;
  const auto takes = [&](auto spoil) {
    GossipUpdate n = good;
    spoil(n);
    return decodeMembers(encodeMembers(Ping{1, "", "", {n}}), out);
  };
  CHECK(takes([](GossipUpdate&) {}));
  CHECK(!takes([](GossipUpdate& n) { n.name.clear(); }));
  CHECK(!takes([](GossipUpdate& n) { n.name.assign(kMaxMemberNameBytes + 1, 'n'); }));
  CHECK(!takes([](GossipUpdate& n) { n.building.assign(kMaxMemberNameBytes + 1, 'b'); }));
  CHECK(!takes([](GossipUpdate& n) { n.incarnation.life = 0; }));
  CHECK(!takes([](GossipUpdate& n) { n.incarnation.start = 0; }));
  CHECK(!takes([](GossipUpdate& n) { n.denial = kMaxDenial + 1; }));
  CHECK(!takes([](GossipUpdate& n) { n.state = MemberState::kUnknown; }));
  CHECK(!takes([](GossipUpdate& n) { n.state = static_cast<MemberState>(4); }));
  CHECK(!decodeMembers(encodeMembers(Ping{0, "", "", {}}), out));
  CHECK(!decodeMembers(encodeMembers(Ping{1, "", "", std::vector(kMaxGossipUpdates + 1, good)}), out));
}
