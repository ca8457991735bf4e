// Decides which relays of the fleet are alive, without I/O; time and random numbers are passed in. Based on
// SWIM (Das, Gupta, Motivala, 2002) with the local health of Lifeguard (Dadgar, Phillips, Currey, 2018), for
// a list of peers that the operator wrote. docs/design/fleet-membership.md gives the reasons.
//
//   Members members(tuning, {"fleet", "n1", "b1", incarnation}, {"n2", "n3"}, seed);
//   Members::Step step = members.onTick(nowMs);  // at once, and again at the latest at `step.nextMs`
//   for (MemberSend& s : step.sends) links.send(s.to, s.kind, std::move(s.payload));  // a send may fail
//   for (MemberChange& c : step.changes) ...
//   step = members.onLinkUp(nowMs, introduction);
//   if (!members.onMessage(nowMs, peer, kind, payload, step)) ...  // not valid; nothing was applied
//
// Every call returns a step, whose `nextMs` replaces the previous one. nowMs is the time of a monotonic
// clock. Single-threaded; a call takes O(peers) time, and memory is O(peers).
//
// A member state is inferred from silence, so no relay may act for another on it alone. It may only start a
// takeover, which succeeds by fencing the holders of the copies (docs/design/copies.md).
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

// The defaults follow from two bounds: losing a machine with its disk may cost 3 s in all, of which the
// suspicion timeout for three relays takes six periods; and a busy but live event loop must have time to
// reply.
struct MembersTuning {
  double periodMs = 200;  // each period has one probe
  double replyMs = 60;    // timeout of a direct ping; with helpers three times as long. At most periodMs / 3
  int helpers = 3;        // number of helpers asked if there was no reply
  int spanFactor = 3;     // the suspicion timeout is this many periods for each doubling of the fleet
  int spreadFactor = 3;   // an update is sent this many times for each doubling
  int fresh = 6, known = 2;  // updates of a message, besides those about its sender and receiver
  double stallMs = 400;      // a call delayed by more than this means that this process stalled
  int maxHealth = 4;         // timeouts are multiplied by up to 1 + this
  int catchUp = 8;           // additional pings in a period while catching up
};

struct MemberSend {
  std::string to;
  FleetKind kind;
  std::string payload;
};

// A new state of a peer, or the same state of a new incarnation.
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
  // A link broken in one direction shows as `hears` kYes with `heard` false, or the reverse. Updated when the
  // peer is probed.
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

  // Takes `[fleet] peers`, without this relay. Peers that remain in the list keep their state.
  Step setPeers(double nowMs, const std::vector<std::string>& peers);
  Step onTick(double nowMs);
  // An earlier run than one that introduced itself before is treated as having no link (see `refuses`).
  Step onLinkUp(double nowMs, const PeerIntroduction& peer);
  Step onLinkDown(double nowMs, const std::string& peer);
  // Messages of unknown peers, or of peers without a link, are ignored.
  Step onPing(double nowMs, const std::string& from, const Ping& ping);
  Step onReply(double nowMs, const std::string& from, const PingReply& reply);
  // Handles kPing and kPingReply. Returns false, leaving `step` unchanged, if the payload is neither.
  bool onMessage(double nowMs, const std::string& from, FleetKind kind, std::string_view payload, Step& step);

  std::vector<MemberView> all() const;
  MemberState state(const std::string& name) const;
  // Whether the links should close a connection with this introduction: its peer is unknown or its run is
  // outdated.
  bool refuses(const PeerIntroduction& peer) const;
  // Whether this relay is catching up: after its start, a stall, a suspicion timeout without any reply, or
  // its own death being announced, until it has replies from so many peers that together with itself they are
  // more than half of the fleet. Others may have taken over its pending work, so it must ask before it acts.
  bool isCatchingUp() const { return catchingUp_; }
  std::uint64_t ownDenial() const { return denial_; }
  int health() const { return health_; }  // 0 is healthy
  // Shortest suspicion timeout in ms, which applies while this process is healthy.
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
  std::uint64_t lastNumber_ = 0;        // last ping number assigned
  std::uint64_t firstFreshNumber_ = 1;  // replies to pings from this number on were sent after the last stall
  bool catchingUp_ = false, begun_ = false;
  int health_ = 0;
  int catchUpPings_ = 0;  // pings sent in this period to catch up
  double dueMs_ = 0, periodAtMs_ = 0, repliedAtMs_ = 0;
  Step step_;  // step being built by the current call
};

}  // namespace myrtleloft
