// The decisions of this relay for its current version of the rules: runs the cases in slices, keeps the tree
// of their hashes, and replays a single case when its steps are requested.
//
//   OwnDecisions own;
//   own.setRules(nowMs, version, revision, cases);  // a new version restarts all cases
//   own.play(20);                                   // runs at most 20 steps
//
// No I/O and no clock; independent of the module instance that serves traffic.
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
  // `cases` must be generated from version.digest(). Has no effect if the version is unchanged, except on
  // listRev(). O(1).
  void setRules(double nowMs, const RulesVersion& version, std::int64_t listRev,
                std::shared_ptr<const CaseSet> cases);
  bool known() const { return cases_ != nullptr; }
  const RulesVersion& version() const { return version_; }
  Hash digest() const { return cases_->version(); }
  std::int64_t listRev() const { return listRev_; }
  const HashTree& tree() const { return tree_; }
  const CaseSet& cases() const { return *cases_; }
  double heldSinceMs(RulesPart part) const { return heldSince_[static_cast<std::size_t>(part)]; }
  // Whether the part had this digest at any time since `sinceMs`. Also true if the history, which holds the
  // last kMaxFormerDigests changes, does not reach back that far.
  bool hasHeldSince(RulesPart part, const Hash& digest, double sinceMs) const;

  // Runs up to `steps` steps, those of a requested replay first, and returns how many were run.
  std::size_t play(std::size_t steps);
  // Requests a replay of one case that keeps its steps. There is one at a time; a request replaces a finished
  // one and is ignored while another is running.
  void requestReplay(std::size_t number);
  bool replayPending() const { return requestedCase_.has_value() && !replay_.done; }
  // Returns nullptr if the case was not requested or its replay is not finished.
  const std::vector<CaseStep>* steps(std::size_t number) const;
  // A case whose replay on this relay gave a different result, which shows that this program is
  // nondeterministic. Reported once per version.
  std::optional<std::size_t> takeNondeterministicCase() {
    return std::exchange(nondeterministicCase_, std::nullopt);
  }

 private:
  static constexpr std::size_t kMaxFormerDigests = 32;
  struct FormerDigest {
    RulesPart part;
    Hash digest;
    double untilMs = 0;
  };
  struct Replay {
    std::unique_ptr<CaseRun> run;
    std::vector<CaseStep> steps;
    bool done = false;
  };
  bool playNext();
  bool replayNext();

  RulesVersion version_;
  std::int64_t listRev_ = 0;
  std::array<double, kRulesParts> heldSince_{};
  std::deque<FormerDigest> formerDigests_;
  double historyStartMs_ = -1;  // earlier digests are not known
  std::shared_ptr<const CaseSet> cases_;
  HashTree tree_{0};
  std::unique_ptr<CaseRun> run_;
  std::vector<Hash> runSteps_;
  std::optional<std::size_t> requestedCase_, nondeterministicCase_;
  bool nondeterminismReported_ = false;
  Replay replay_;
};

}  // namespace myrtleloft
