// Do all relays of the fleet decide alike? One relay's side of that question, without I/O: what comes and
// goes is passed in and handed back, and so are time and randomness.
//
//   Audit audit(tuning, incarnation, seed);
//   audit.onRules(nowMs, version, rev, cases);         // at the start, and whenever one of its parts changes
//   audit.onPeerUp(introduction);
//   Audit::Out out = audit.onTick(nowMs);              // as often as the caller likes; rounds keep their
//   time std::size_t steps = audit.play(nowMs, 20, out);    // so much of the core; share.h says how much
//   that is if (!audit.onMessage(nowMs, "n2", payload, out)) ... // not an audit's: the link is to be closed
//   for (AuditSend& send : out.sends) links.send(send.peer, FleetKind::kAudit, send.payload);
//
// A send that is lost does no harm, nor one that comes twice, late, out of order, or from a process that is
// gone. Each round costs one message to each of at most `peersARound` relays, and nothing more while all
// agree.
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

struct AuditSend {
  std::string peer, payload;
};

class Audit {
 public:
  struct Out {
    std::vector<AuditSend> sends;
    std::vector<AuditReport> reports;
  };
  Audit(const AuditTuning& tuning, const Incarnation& self, std::uint64_t seed);

  void onRules(double nowMs, const RulesVersion& version, std::int64_t listRev,
               std::shared_ptr<const CaseSet> cases) {
    own_.become(nowMs, version, listRev, std::move(cases));
  }
  // With what windows of real traffic are played.
  void playWindowsWith(const Settings& settings, ModuleMaker make);
  void onPeerUp(const PeerIntroduction& peer);
  void onPeerDown(const std::string& peer);
  // One that the operator took off the list.
  void forget(const std::string& peer);

  Out onTick(double nowMs);
  // Up to `steps`; how many there were. 0: all is played.
  std::size_t play(double nowMs, std::size_t steps, Out& out);
  bool onMessage(double nowMs, const std::string& peer, std::string_view payload, Out& out);
  // A window that a Recorder took goes to one relay, each time another; false: none is there for it.
  bool offer(std::string window, Out& out);

  AuditVerdict verdict(double nowMs, const std::string& peer) const;
  std::optional<RulesPart> differing(const std::string& peer) const;
  // Two others and more are up, and this relay was seen to differ from each of them. It does not say who is
  // right: of three that all decide otherwise, each differs from all others.
  bool differsFromAllOthers(double nowMs) const;
  const AuditCounters& counters() const { return counters_; }
  const OwnDecisions& own() const { return own_; }

 private:
  struct Visit {  // another's window
    std::string peer;
    WindowPlay play;
  };
  void retune();
  void send(const std::string& peer, AuditMessage message, Out& out);
  void proceed(double nowMs, Out& out);
  void onWindow(const std::string& peer, const AuditWindow& window);
  bool playWindow(Out& out);

  AuditTuning base_, tuning_;
  Incarnation self_;
  Draws draws_;
  OwnDecisions own_;
  std::map<std::string, Comparison> peers_;
  AuditCounters counters_;
  std::uint64_t lastNumber_ = 0;
  double nextRoundMs_ = -1;
  std::string lastTold_, lastOffered_;  // whose turn it was
  std::optional<Settings> settings_;
  ModuleMaker make_;
  std::optional<Visit> visit_;
};

}  // namespace myrtleloft
