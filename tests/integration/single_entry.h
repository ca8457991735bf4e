// One member by hand: its sends and changes as they come, its peers' answers as the test says.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/members.h"

namespace myrtleloft::testing {

inline PeerIntroduction introduction(const std::string& name, std::uint64_t life = 7,
                                     std::uint64_t start = 1) {
  return {"f", name, "b", {life, start}};
}

inline GossipUpdate update(const std::string& name, MemberState state, std::uint64_t denial = 0,
                           std::uint64_t life = 7, std::uint64_t start = 1) {
  return {name, {life, start}, denial, state, "b"};
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
    const std::vector<MemberSend> pings = sends;
    for (const MemberSend& s : pings) {
      Ping q;
      if (s.kind != FleetKind::kPing || !decodeMembers(s.payload, q)) continue;
      if (auto reply = answers(s.to, q)) take(members.onReply(now, s.to, {q.number, *reply, 0, {}}));
    }
  }
  MemberView view(const std::string& name) const {
    for (MemberView& v : members.all()) {
      if (v.name == name) return v;
    }
    return {};
  }
  void hear(const std::string& from, const GossipUpdate& n) {
    take(members.onPing(now, from, {9, "", "", {n}}));
  }

  double now = 1000, next = 0;
  Members members;
  std::vector<MemberSend> sends;
  std::vector<MemberChange> changes;
};

using Answer = std::optional<bool>;
inline const auto kAllAnswer = [](const std::string&, const Ping&) { return Answer(true); };
// n3 is silent, and the others say so.
inline const auto kSilentThree = [](const std::string& to, const Ping& q) {
  return to == "n3" ? Answer() : Answer(q.target != "n3");
};

inline void tickFor(One& one, double ms, auto answers) {
  const double end = one.now + ms;
  while (one.next < end) one.tick(answers);
  one.now = end;
}

}  // namespace myrtleloft::testing
