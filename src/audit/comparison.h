// Comparison with one peer: its version, its digest tree, and the search for the first different step.
//
// The search walks down the tree and asks for the children of one node at a time. Each list of children must
// hash to the value that was received for its parent, starting at the root; an answer that does not is
// ignored. The verdict is kDiverged only after the step itself was received and found different from the
// local one. It is kAgree if the peer's current process reports an equal root over all cases in reply to a
// recent report of this process, and kNotKnown otherwise.
//
// No I/O. At most one search and one pending question of the peer at a time, about 2 KB and one step.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "audit/audit_message.h"
#include "audit/audit_report.h"
#include "audit/own_decisions.h"
#include "audit/version_watch.h"

namespace myrtleloft {

class Comparison {
 public:
  Comparison(std::string peer, const AuditTuning& tuning) : peer_(std::move(peer)), tuning_(tuning) {}

  // Discards everything received from an earlier process of the peer.
  void up(const Incarnation& incarnation);
  void down() { up_ = false; }
  bool isUp() const { return up_; }
  const Incarnation& incarnation() const { return incarnation_; }

  // Messages to send; std::nullopt if there is none.
  DigestReport makeDigestReport(double nowMs, std::uint64_t number, const OwnDecisions& own);
  std::optional<AuditQuestion> nextQuestion(double nowMs, std::uint64_t number, const OwnDecisions& own);
  std::optional<std::pair<std::uint64_t, AuditAnswer>> answer(const OwnDecisions& own);
  std::uint64_t lastReceivedNumber() const { return lastReceivedNumber_; }

  // Handlers of received messages.
  void onDigestReport(double nowMs, const AuditMessage& message, const DigestReport& digestReport,
                      const OwnDecisions& own, AuditCounters& counters, std::vector<AuditReport>& reports);
  void onQuestion(std::uint64_t number, const AuditQuestion& question, AuditCounters& counters);
  void onAnswer(std::uint64_t number, AuditAnswer answer, const OwnDecisions& own, AuditCounters& counters);

  // The case whose steps are needed, for the own search or to answer the peer.
  std::optional<std::size_t> caseToReplay(const OwnDecisions& own) const;
  // Continues a search that waited for the replay of a local case.
  void advance(const OwnDecisions& own, AuditCounters& counters, std::vector<AuditReport>& reports);

  AuditVerdict verdict(double nowMs, const OwnDecisions& own) const;
  // The first part of the rules that differed in two consecutive digest reports, until it is equal again.
  std::optional<RulesPart> differingPart() const { return versions_.differingPart(); }
  // Records that the replay of a window of real traffic diverged.
  void recordDivergence(const OwnDecisions& own) { divergedVersion_ = own.digest(); }

 private:
  struct Walk {
    NodeName node;  // the node of the current or next question
    Hash expected;
    std::uint64_t number = 0;  // number of the question; 0 if not yet sent
    double askedMs = 0;
    int attempts = 0;
    std::optional<std::vector<Hash>> steps;  // the peer's, while the local case is replayed
    CaseStep local;                          // the step that differs
    std::optional<CaseStep> remote;
  };
  std::optional<double> sentMs(std::uint64_t number) const;
  void descend(NodeLevel level, std::size_t index, std::size_t step, const Hash& expected);
  void compareSteps(const OwnDecisions& own);
  bool walkIsCurrent(const OwnDecisions& own) const { return walk_ && walk_->node.version == own.digest(); }

  std::string peer_;
  const AuditTuning& tuning_;
  bool up_ = false;
  Incarnation incarnation_;
  std::deque<std::pair<std::uint64_t, double>> sent_;  // number and time of own reports, newest last
  std::uint64_t lastReceivedNumber_ = 0;
  int questionsLeft_ = 0;
  std::optional<std::pair<std::uint64_t, NodeName>> question_;  // asked by the peer
  std::optional<Walk> walk_;
  VersionWatch versions_;
  std::optional<Hash> divergedVersion_, agreedVersion_;  // the version that the verdict is for
  double agreedMs_ = 0;
};

}  // namespace myrtleloft
