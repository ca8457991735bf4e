// Exhaustive test of three members: from each event of an otherwise undisturbed run, one link is cut in one
// direction or one relay crashes, combined with the loss or delay of each single message.
//
// Property: no run declares a live relay dead, as it can be reached in both directions through the third; and
// a crash is detected by both others. With two links cut the property does not hold, as some pair has no
// helper.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "fleet/members.h"

using namespace myrtleloft;

namespace {

enum class Fate : std::uint8_t { kLost, kOneTickLate, kThreeTicksLate };

struct Fault {
  int at = -1;            // the fault comes before this event; -1 for none
  int from = 0, to = -1;  // link to cut; with `to` -1, `from` crashes
};

// Simulation state that can be copied at any event.
struct World {
  struct Message {
    int from, to;
    FleetKind kind;
    std::string payload;
    int ticks = 0;  // ticks until delivery
  };
  std::vector<Members> relays;
  std::vector<double> next;
  std::deque<Message> under;
  double now = 0;
  int crashed = -1, cutFrom = -1, cutTo = -1;
  std::string wrong;  // first false report of a death

  static std::string name(int i) { return std::string(1, static_cast<char>('a' + i)); }
  static PeerIntroduction self(int i) { return {"f", name(i), "", {static_cast<std::uint64_t>(i) + 1, 1}}; }

  World() {
    // The shortest timeout that keeps the order of events; longer ones only give more time.
    MembersTuning tuning;
    tuning.spanFactor = 1;
    for (int i = 0; i < 3; ++i) {
      std::vector<std::string> peers;
      for (int p = 0; p < 3; ++p) {
        if (p != i) peers.push_back(name(p));
      }
      relays.emplace_back(tuning, self(i), peers, static_cast<std::uint64_t>(i));
    }
    next.assign(3, 0);
    for (int i = 0; i < 3; ++i) {
      now += 60;  // offsets the periods of the relays
      take(i, relays[at(i)].onTick(now));
    }
    for (int i = 0; i < 3; ++i) {
      for (int p = 0; p < 3; ++p) {
        if (p != i) take(i, relays[at(i)].onLinkUp(now, self(p)));
      }
    }
    for (int i = 0; i < 40; ++i) event(std::nullopt);
  }
  static std::size_t at(int i) { return static_cast<std::size_t>(i); }

  void take(int by, Members::Step step) {
    next[at(by)] = step.nextMs;
    for (MemberSend& s : step.sends) under.push_back({by, s.to[0] - 'a', s.kind, std::move(s.payload)});
    for (const MemberChange& c : step.changes) {
      const int target = c.name[0] - 'a';
      if (c.is == MemberState::kDead && target != crashed && wrong.empty())
        wrong = name(by) + " of " + c.name;
    }
  }
  void strike(const Fault& fault) {
    if (fault.to >= 0) {
      cutFrom = fault.from;
      cutTo = fault.to;
      return;
    }
    crashed = fault.from;
    for (int i = 0; i < 3; ++i) {
      if (i != crashed) take(i, relays[at(i)].onLinkDown(now, name(crashed)));
    }
  }
  // Delivers the next message or, if none is in flight, runs the next tick. Returns false if a fate was given
  // and no message was ready.
  bool event(std::optional<Fate> fate) {
    const auto ready =
        std::find_if(under.begin(), under.end(), [](const Message& m) { return m.ticks == 0; });
    if (ready == under.end()) {
      if (fate) return false;
      tick();
      return true;
    }
    Message m = std::move(*ready);
    under.erase(ready);
    if (fate && *fate != Fate::kLost) {
      m.ticks = *fate == Fate::kOneTickLate ? 1 : 3;
      under.push_back(std::move(m));
      return true;
    }
    const bool gone = fate || m.from == crashed || m.to == crashed || (m.from == cutFrom && m.to == cutTo);
    if (gone) return true;
    Members::Step step;
    if (!relays[at(m.to)].onMessage(now, name(m.from), m.kind, m.payload, step)) wrong = "not a message";
    take(m.to, std::move(step));
    return true;
  }
  void tick() {
    int due = crashed == 0 ? 1 : 0;
    for (int i = 0; i < 3; ++i) {
      if (i != crashed && next[at(i)] < next[at(due)]) due = i;
    }
    now = std::max(now, next[at(due)]);
    for (Message& m : under) m.ticks = std::max(0, m.ticks - 1);
    take(due, relays[at(due)].onTick(now));
  }
  bool crashFound() const {
    for (int i = 0; i < 3; ++i) {
      if (i != crashed && relays[at(i)].state(name(crashed)) != MemberState::kDead) return false;
    }
    return true;
  }
};

constexpr int kEvents = 60, kAfter = 60;

struct Tally {
  int runs = 0, wrong = 0, unfound = 0, suspected = 0;
  std::string first;
};

// Runs the simulation from the last fault to its end.
void finishRun(World world, int events, Tally& tally, const std::string& which) {
  const int most = events + (world.crashed < 0 ? kAfter : 10 * kAfter);
  for (int i = events; i < most && !(world.crashed >= 0 && world.crashFound()); ++i)
    world.event(std::nullopt);
  ++tally.runs;
  for (const Members& m : world.relays) tally.suspected += m.ownDenial() > 0 ? 1 : 0;
  if (!world.wrong.empty()) {
    ++tally.wrong;
    if (tally.first.empty()) tally.first = which + ": " + world.wrong;
  }
  if (world.crashed >= 0 && !world.crashFound()) ++tally.unfound;
}

// Runs all combinations of the fault before event i and one fate at event j.
void allRuns(int from, int to, Tally& tally) {
  const World begin;
  const auto fateFrom = [&](World world, int i, bool struck, auto&& then) {
    for (int j = i; j < kEvents; ++j) {
      for (const Fate fate : {Fate::kLost, Fate::kOneTickLate, Fate::kThreeTicksLate}) {
        World other = world;
        if (other.event(fate)) then(std::move(other), j + 1, fate, struck);
      }
      world.event(std::nullopt);
    }
  };
  World even = begin;
  for (int i = 0; i < kEvents; ++i) {
    World struck = even;
    struck.strike({i, from, to});
    fateFrom(std::move(struck), i, true, [&](World world, int events, Fate fate, bool) {
      finishRun(std::move(world), events, tally,
                "fault at " + std::to_string(i) + ", then fate " + std::to_string(static_cast<int>(fate)) +
                    " at " + std::to_string(events - 1));
    });
    even.event(std::nullopt);
  }
}

}  // namespace

TEST_CASE("three members: no run with one cut and one message lost or late calls a living one dead") {
  for (int from = 0; from < 3; ++from) {
    for (int to = 0; to < 3; ++to) {
      if (from == to) continue;
      CAPTURE(from);
      CAPTURE(to);
      Tally tally;
      allRuns(from, to, tally);
      CHECK(tally.runs > 1000);
      CHECK_MESSAGE(tally.wrong == 0, tally.first);
    }
  }
}

TEST_CASE(
    "three members: every run with one crash and one message lost or late calls it dead, and it alone") {
  for (int crashed = 0; crashed < 3; ++crashed) {
    CAPTURE(crashed);
    Tally tally;
    allRuns(crashed, -1, tally);
    CHECK(tally.runs > 1000);
    CHECK_MESSAGE(tally.wrong == 0, tally.first);
    CHECK(tally.unfound == 0);
  }
}
