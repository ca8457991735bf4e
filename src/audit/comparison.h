// One other relay: what it said of its version and its tree, and the walk down to where it differs.
//
// A walk asks for the children of one node after the other. Each list of children must hash to what was said
// of the node before, from the root on: an answer that does not is not counted, whoever wrote it. Only the
// step itself, read and found different from the own one, is a *differ*. Equal roots over all cases, said by
// this process of the other in answer to a late word of this one, are an *agree*. All else is *not known*.
//
// No I/O; at most one walk and one question of the other at a time, some 2 KB and one step.
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

  // A new process of the other forgets all that the earlier one said.
  void up(const Incarnation& incarnation);
  void down() { up_ = false; }
  bool isUp() const { return up_; }
  const Incarnation& incarnation() const { return incarnation_; }

  // What goes to it now.
  AuditTold tell(double nowMs, std::uint64_t number, const OwnDecisions& own);
  std::optional<AuditQuestion> ask(double nowMs, std::uint64_t number, const OwnDecisions& own);
  std::optional<std::pair<std::uint64_t, AuditAnswer>> answer(const OwnDecisions& own);
  std::uint64_t heard() const { return heard_; }

  // What came from it.
  void onTold(double nowMs, const AuditMessage& message, const AuditTold& told, const OwnDecisions& own,
              AuditCounters& counters, std::vector<AuditReport>& reports);
  void onQuestion(std::uint64_t number, const AuditQuestion& question, AuditCounters& counters);
  void onAnswer(std::uint64_t number, AuditAnswer answer, const OwnDecisions& own, AuditCounters& counters);

  // The case whose steps it needs, for itself or for the other.
  std::optional<std::size_t> wanted(const OwnDecisions& own) const;
  // Goes on with what was waited for: own steps.
  void advance(const OwnDecisions& own, AuditCounters& counters, std::vector<AuditReport>& reports);

  AuditVerdict verdict(double nowMs, const OwnDecisions& own) const;
  // The first part in which its version differed at two of its words in a row; it stands until they are
  // equal.
  std::optional<RulesPart> differing() const { return versions_.differing(); }
  // A window of real traffic that came out otherwise.
  void differs(const OwnDecisions& own) { differed_ = own.digest(); }

 private:
  struct Walk {
    NodeName node;  // asked for, or to be asked for
    Hash expected;
    std::uint64_t number = 0;  // 0: not yet asked
    double askedMs = 0;
    int tries = 0;
    std::optional<std::vector<Hash>> steps;  // theirs, while the own ones are played
    CaseStep mine;                           // the one that differs
    std::optional<CaseStep> theirs;
  };
  std::optional<double> sentMs(std::uint64_t number) const;
  void down(NodeLevel level, std::size_t index, std::size_t step, const Hash& expected);
  void takeSteps(const OwnDecisions& own);
  bool current(const OwnDecisions& own) const { return walk_ && walk_->node.version == own.digest(); }

  std::string peer_;
  const AuditTuning& tuning_;
  bool up_ = false;
  Incarnation incarnation_;
  std::deque<std::pair<std::uint64_t, double>> sent_;  // own words, newest last
  std::uint64_t heard_ = 0;
  int questionsLeft_ = 0;
  std::optional<std::pair<std::uint64_t, NodeName>> question_;  // of the other
  std::optional<Walk> walk_;
  VersionWatch versions_;
  std::optional<Hash> differed_, agreed_;  // for which version
  double agreedMs_ = 0;
};

}  // namespace myrtleloft
