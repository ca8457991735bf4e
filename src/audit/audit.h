// Checks that all relays of a fleet make the same decisions for the same input.
//
// Each relay runs the same generated test cases on its own decision module and exchanges digests of the
// results with its peers; where two digests differ, it asks for ever smaller parts of them until it finds the
// first step with a different result. Recorded windows of real traffic are replayed by a peer in the same
// way. The class does no I/O: messages, time and random seeds are passed in, and messages to send are
// returned.
//
//   ConsistencyChecker checker(tuning, incarnation, seed);
//   checker.onRules(nowMs, version, revision, cases);  // at the start and after each change of the rules
//   checker.onPeerUp(introduction);
//   ConsistencyChecker::Out out = checker.onTick(nowMs);  // at any interval; rounds keep their own time
//   std::size_t steps = checker.play(nowMs, 20, out);     // share.h says how many steps are allowed
//   if (!checker.onMessage(nowMs, "n2", payload, out)) closeLink();  // not a valid audit message
//   for (AuditSend& send : out.sends) links.send(send.peer, FleetKind::kAudit, send.payload);
//
// Messages may be lost, duplicated, delayed, reordered, or come from an earlier process of the peer. While
// all relays agree, each round costs one message to each of at most `peersPerRound` relays.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "audit/audit_report.h"
#include "audit/comparison.h"
#include "audit/own_decisions.h"
#include "audit/recorder.h"
#include "fleet/message.h"

namespace myrtleloft {

// An encoded AuditMessage to send to a peer.
struct AuditSend {
  std::string peer, payload;
};

class ConsistencyChecker {
 public:
  // Messages to send and reports to log.
  struct Out {
    std::vector<AuditSend> sends;
    std::vector<AuditReport> reports;
  };
  ConsistencyChecker(const AuditTuning& tuning, const Incarnation& self, std::uint64_t seed);

  // Sets the current version of the rules and its cases; `cases` may be null if the version is unchanged.
  void onRules(double nowMs, const RulesVersion& version, std::int64_t listRev,
               std::shared_ptr<const CaseSet> cases) {
    own_.setRules(nowMs, version, listRev, std::move(cases));
  }
  // Enables the replay of traffic windows from peers, with these settings and this decision module.
  void enableWindowReplay(const Settings& settings, ModuleFactory make);
  void onPeerUp(const PeerIntroduction& peer);
  void onPeerDown(const std::string& peer);
  // Drops all state of a peer that the operator removed from the configuration.
  void forget(const std::string& peer);

  // Sends digest reports when a round is due, and due questions and answers.
  Out onTick(double nowMs);
  // Runs up to `steps` steps and returns how many were run; 0 means that nothing is left to run.
  std::size_t play(double nowMs, std::size_t steps, Out& out);
  // Returns false if `payload` is not a valid audit message.
  bool onMessage(double nowMs, const std::string& peer, std::string_view payload, Out& out);
  // Sends a recorded window to one connected peer, in round-robin order. Returns false if there is none, or
  // if the window is too large.
  bool offerWindow(std::string window, Out& out);

  AuditVerdict verdict(double nowMs, const std::string& peer) const;
  // The first part of the rules in which the peer has a different version; see VersionWatch.
  std::optional<RulesPart> differingPart(const std::string& peer) const;
  // Returns true if at least two peers are up and this relay diverges from each of them. That does not show
  // which relay is wrong: if three relays all decide differently, each diverges from all others.
  bool divergesFromAllOthers(double nowMs) const;
  const AuditCounters& counters() const { return counters_; }
  const OwnDecisions& own() const { return own_; }

 private:
  struct PeerWindow {  // a peer's traffic window that is being replayed
    std::string peer;
    WindowReplay play;
  };
  void scaleTimeouts();
  void send(const std::string& peer, AuditMessage message, Out& out);
  void advanceComparisons(double nowMs, Out& out);
  void onWindow(const std::string& peer, const AuditWindow& window);
  bool replayWindow(Out& out);

  AuditTuning base_, tuning_;
  Incarnation self_;
  DeterministicRandom random_;
  OwnDecisions own_;
  std::map<std::string, Comparison> peers_;
  AuditCounters counters_;
  std::uint64_t lastNumber_ = 0;
  double nextRoundMs_ = -1;
  std::string lastReportedPeer_, lastOfferedPeer_;  // for the round-robin order
  std::optional<Settings> settings_;
  ModuleFactory factory_;
  std::optional<PeerWindow> peerWindow_;
};

}  // namespace myrtleloft
