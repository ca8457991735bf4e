// Which relays of the fleet are there: decided without I/O, time and random numbers passed in. In the manner
// of SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's care for an own stall (Dadgar, Phillips, Currey,
// 2018), on a list of peers that the operator wrote. docs/design/fleet-membership.md says why.
//
//   Members members(tuning, {"fleet", "n1", "b1", incarnation}, {"n2", "n3"}, seed);
//   Members::Step step = members.onTick(nowMs);                 // at least by `step.nextMs`, the first at
//   once for (MemberSend& s : step.sends) links.send(s.to, s.kind, std::move(s.payload));  // lost: no harm
//   for (MemberChange& c : step.changes) ...
//   step = members.onLinkUp(nowMs, introduction);
//   if (!members.onMessage(nowMs, peer, kind, payload, step)) ...  // no such message; nothing was taken
//
// Every call gives a step, and each step's `nextMs` replaces the one before. nowMs: a steady clock's, never
// going back. One thread; a call takes O(peers) at most; memory O(peers).
//
// What a standing means: it is a guess from silence, and nobody may act for another on it alone. It may only
// start a takeover, which succeeds by the fence at the holders (docs/design/copies.md).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/member_messages.h"
#include "fleet/member_probing.h"
#include "fleet/member_table.h"
#include "fleet/message.h"

namespace myrtleloft {

// The constants' source: what a machine that is lost with its disk may cost, 3 s in all, of which the span
// for three relays takes six periods; and what a loop that is busy, but lives, takes to reply.
struct MembersTuning {
  double periodMs = 200;     // one question of its own each
  double replyMs = 60;       // for a reply; through a third three times as long in all. At most periodMs / 3
  int helpers = 3;           // asked where there was no reply
  int spanFactor = 3;        // a suspicion lasts this many periods for each doubling of the fleet
  int spreadFactor = 3;      // news is spread this many times for each doubling
  int fresh = 6, known = 2;  // news of a message beside the sender's own and the addressee's
  double stallMs = 400;      // a call later than this after it was due: the own process stood still
  int maxHealth = 4;         // own trouble stretches waits up to 1 + this many times
  int catchUp = 8;           // further questions a period while catching up
};

struct MemberSend {
  std::string to;
  FleetKind kind;
  std::string payload;
};

// Another standing, or the same one of a new incarnation.
struct MemberChange {
  std::string name;
  Incarnation incarnation;
  MemberState was, is;
};

struct MemberView {
  std::string name;
  std::string building;
  Incarnation incarnation;
  std::uint64_t denial = 0;
  MemberState state = MemberState::kUnknown;
  bool linked = false;
  // A one-way cut: `hears` is kYes and `heard` false, or the other way about. As of its last turn.
  bool heard = false;
  Hears hears = Hears::kNotKnown;
};

class Members {
 public:
  struct Step {
    std::vector<MemberSend> sends;
    std::vector<MemberChange> changes;
    double nextMs = 0;
  };

  Members(const MembersTuning& tuning, PeerIntroduction own, const std::vector<std::string>& peers,
          std::uint64_t seed);

  // From `[fleet] peers`: without the own name. Those that stay keep what is known of them.
  Step setPeers(double nowMs, const std::vector<std::string>& peers);
  Step onTick(double nowMs);
  // An older start of a life than one that introduced itself before is as if it had no link (`refuses`).
  Step onLinkUp(double nowMs, const PeerIntroduction& peer);
  Step onLinkDown(double nowMs, const std::string& peer);
  // From a peer without a link, or not of the peers: nothing is taken.
  Step onPing(double nowMs, const std::string& from, const Ping& ping);
  Step onReply(double nowMs, const std::string& from, const PingReply& reply);
  // kPing or kPingReply. false: the payload is of neither; nothing was taken, and `step` is as it was.
  bool onMessage(double nowMs, const std::string& from, FleetKind kind, std::string_view payload, Step& step);

  std::vector<MemberView> all() const;
  MemberState state(const std::string& name) const;
  // Whether the links should close what introduces itself so: unknown, or older than one before it.
  bool refuses(const PeerIntroduction& peer) const;
  // Catching up: since its start, since a stall, after a span without any reply, or after it was called dead,
  // it has not yet had replies from so many peers that they and itself are more than half of the fleet. What
  // it owes may have been taken over: it must ask before it acts.
  bool isCatchingUp() const { return catchingUp_; }
  std::uint64_t ownDenial() const { return denial_; }
  int health() const { return health_; }  // 0: well
  // How long a suspicion lasts at least, in ms, the own process being well.
  double suspicionTimeoutMs() const;

 private:
  double stretch() const { return 1.0 + health_; }
  int doublings() const;
  std::size_t majority() const { return (table_.size() + 1) / 2; }
  void begin(double nowMs);
  Step finish(double nowMs);
  void advance(double nowMs);
  void onStall(double nowMs);
  void startCatchingUp();
  void adjustHealth(int by);

  void startPeriod(double nowMs);
  void pingIndirectly(double nowMs);
  void evaluateProbe(double nowMs);
  void pingToCatchUp();
  std::string dueSuspect(double nowMs) const;
  std::vector<std::string> helpersFor(const std::string& target, bool linkedOnly) const;

  bool applyGossip(double nowMs, const std::string& from, const std::vector<GossipUpdate>& updates);
  void applyUpdate(double nowMs, const std::string& from, GossipUpdate update);
  void applyUpdateAboutSelf(const GossipUpdate& update);
  void merge(double nowMs, Member& member, const GossipUpdate& update);
  void updateHears(double nowMs, Member& target, std::uint32_t heardMsAgo);
  std::vector<GossipUpdate> updatesFor(const std::string& to, const std::string& target);
  void sendPing(const std::string& to, const std::string& target, const std::string& onBehalfOf,
                std::uint64_t number);
  void sendReply(const std::string& to, std::uint64_t number, bool reached, std::uint32_t heardMsAgo,
                 const std::string& target);
  std::uint32_t heardMsAgo(double nowMs, const std::string& name) const;

  MembersTuning tuning_;
  PeerIntroduction own_;
  std::uint64_t denial_ = 0;
  MemberTable table_;
  MemberRound round_;
  MemberProbe probe_;
  IndirectPings indirectPings_;
  std::uint64_t lastNumber_ = 0;  // the last one given out
  std::uint64_t firstFreshNumber_ =
      1;  // replies to questions from this number on are later than the own stall
  bool catchingUp_ = false, begun_ = false;
  int health_ = 0;
  int catchUpPings_ = 0;  // this period, to catch up
  double dueMs_ = 0, periodAtMs_ = 0, repliedAtMs_ = 0;
  Step step_;  // in the making
};

}  // namespace myrtleloft
