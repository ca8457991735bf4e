// A drawn fleet of members, watched from outside: who calls whom dead, and whether that is so.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/members_node.h"

namespace myrtleloft::lab {

class WatchedMembers {
 public:
  // Two buildings, in turn. Nobody is started yet.
  WatchedMembers(int relays, std::uint64_t seed, const NetworkTraits& traits,
                 const MembersTuning& tuning = {})
      : fleet(seed, traits) {
    for (int i = 0; i < relays; ++i) {
      const auto make = [this, tuning](FleetPort& port) {
        return std::make_unique<MembersNode>(
            port, tuning, [this](const MembersNode& by, const MemberChange& c) { note(by, c); });
      };
      fleet.add(nameOf(i), i % 2 == 0 ? "east" : "west", make);
    }
  }
  static std::string nameOf(int i) { return "n" + std::to_string(i); }

  void startAll() {
    for (int i = 0; i < fleet.size(); ++i) fleet.start(i);
  }
  const Members* at(int i) {
    auto* node = static_cast<MembersNode*>(fleet.node(i));
    return node == nullptr ? nullptr : &node->members();
  }
  bool runs(int i) { return fleet.node(i) != nullptr; }
  // Whether all that run believe that of it.
  bool allSay(int target, MemberState state) {
    for (int i = 0; i < fleet.size(); ++i) {
      if (i != target && runs(i) && at(i)->state(nameOf(target)) != state) return false;
    }
    return true;
  }
  // Until all that run say so, in ms from now; nothing: not within `mostMs`.
  std::optional<double> untilAllSay(int target, MemberState state, double mostMs, double stepMs = 10) {
    const double from = fleet.nowMs();
    while (!allSay(target, state)) {
      if (fleet.nowMs() - from > mostMs) return std::nullopt;
      fleet.runUntil(fleet.nowMs() + stepMs);
    }
    return fleet.nowMs() - from;
  }
  // Everybody alive to everybody, and nobody has to ask. At a loss there may be a suspicion at any moment.
  bool wellWithin(double mostMs) {
    for (const double endMs = fleet.nowMs() + mostMs; !allWell(); fleet.runUntil(fleet.nowMs() + 10)) {
      if (fleet.nowMs() >= endMs) return false;
    }
    return true;
  }
  bool allWell() {
    for (int i = 0; i < fleet.size(); ++i) {
      if (runs(i) && (at(i)->isCatchingUp() || !allSay(i, MemberState::kAlive))) return false;
    }
    return true;
  }
  // Both ways, directly or over one third.
  bool reach(int a, int b) const {
    const auto both = [&](int x, int y) { return !fleet.isCut(x, y) && !fleet.isCut(y, x); };
    if (both(a, b)) return true;
    for (int c = 0; c < fleet.size(); ++c) {
      if (c != a && c != b && c != out && both(a, c) && both(c, b)) return true;
    }
    return false;
  }
  bool allReach() const {
    for (int a = 0; a < fleet.size(); ++a) {
      for (int b = 0; b < a; ++b) {
        if (!reach(a, b)) return false;
      }
    }
    return true;
  }

  // Deaths of relays that ran, and were not called dead for the start before. With suspicions likewise.
  struct False {
    double atMs;
    std::string by, target;
  };
  std::vector<False> falseDeaths, falseSuspicions;
  int out = -1;  // one that stands still now, and is no third
  DrawnFleet fleet;

 private:
  void note(const MembersNode& by, const MemberChange& change) {
    if (change.is != MemberState::kDead && change.is != MemberState::kSuspect) return;
    for (int i = 0; i < fleet.size(); ++i) {
      if (nameOf(i) != change.name || !runs(i) || fleet.self(i).incarnation != change.incarnation) continue;
      (change.is == MemberState::kDead ? falseDeaths : falseSuspicions)
          .push_back({by.nowMs(), by.self().name, change.name});
    }
  }
};

}  // namespace myrtleloft::lab
