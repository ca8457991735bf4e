// What this relay decides for the version of the rules that it has: plays its cases in slices, keeps the tree
// of their hashes, and plays a single case anew where somebody wants to see its steps.
//
//   OwnDecisions own;
//   own.become(nowMs, version, rev, cases);     // a new version: all is played anew
//   own.play(20);                               // so many steps at most
//
// No I/O, no clock; nothing of it touches the module that serves traffic.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "audit/cases.h"
#include "audit/hash_tree.h"
#include "audit/rules_version.h"

namespace myrtleloft {

class OwnDecisions {
 public:
  // `cases` are drawn from version.digest(). The same version again changes nothing. O(1).
  void become(double nowMs, const RulesVersion& version, std::int64_t listRev,
              std::shared_ptr<const CaseSet> cases);
  bool known() const { return cases_ != nullptr; }
  const RulesVersion& version() const { return version_; }
  Hash digest() const { return cases_->version(); }
  std::int64_t listRev() const { return listRev_; }
  const HashTree& tree() const { return tree_; }
  const CaseSet& cases() const { return *cases_; }
  double heldSinceMs(RulesPart part) const { return heldSince_[static_cast<std::size_t>(part)]; }
  // Whether that part was this at any time since then; also where it is no more known (kPast changes back).
  bool hadSince(RulesPart part, const Hash& what, double sinceMs) const;

  // Plays up to `steps`, those that are wanted first; how many it played: fewer, where nothing is left.
  std::size_t play(std::size_t steps);
  // Asks for all steps of one case. One at a time: another one takes its place.
  void want(std::size_t number);
  bool wants() const { return wanted_.has_value() && !again_.done; }
  // nullptr: not wanted, or not yet played.
  const std::vector<CaseStep>* steps(std::size_t number) const;
  // A case that came out otherwise when it was played again here: this program does not decide the same
  // twice. Told once a version.
  std::optional<std::size_t> takeUnsteady() { return std::exchange(unsteady_, std::nullopt); }

 private:
  static constexpr std::size_t kPast = 32;
  struct Past {
    RulesPart part;
    Hash what;
    double untilMs = 0;
  };
  struct Again {
    std::unique_ptr<CaseRun> run;
    std::vector<CaseStep> steps;
    bool done = false;
  };
  bool playNext();
  bool playAgain();

  RulesVersion version_;
  std::int64_t listRev_ = 0;
  std::array<double, kRulesParts> heldSince_{};
  std::deque<Past> past_;
  double forgottenMs_ = -1;  // what was before is not known
  std::shared_ptr<const CaseSet> cases_;
  HashTree tree_{0};
  std::unique_ptr<CaseRun> run_;
  std::vector<Hash> runSteps_;
  std::optional<std::size_t> wanted_, unsteady_;
  bool unsteadyTold_ = false;
  Again again_;
};

}  // namespace myrtleloft
