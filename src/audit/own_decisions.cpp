#include "audit/own_decisions.h"

#include <algorithm>

namespace myrtleloft {

void OwnDecisions::setRules(double nowMs, const RulesVersion& version, std::int64_t listRev,
                            std::shared_ptr<const CaseSet> cases) {
  listRev_ = listRev;
  if (known() && version == version_) return;
  for (std::size_t i = 0; i < kRulesParts; ++i) {
    if (known() && version.parts[i] == version_.parts[i]) continue;
    heldSince_[i] = nowMs;
    if (known()) formerDigests_.push_back({static_cast<RulesPart>(i), version_.parts[i], nowMs});
  }
  for (; formerDigests_.size() > kMaxFormerDigests; formerDigests_.pop_front())
    historyStartMs_ = formerDigests_.front().untilMs;
  version_ = version;
  cases_ = std::move(cases);
  tree_ = HashTree(cases_->size());
  run_.reset();
  requestedCase_.reset();
  replay_ = Replay();
  nondeterministicCase_.reset();
  nondeterminismReported_ = false;
}

bool OwnDecisions::hasHeldSince(RulesPart part, const Hash& digest, double sinceMs) const {
  if (version_.of(part) == digest || sinceMs <= historyStartMs_) return true;
  return std::any_of(formerDigests_.begin(), formerDigests_.end(), [&](const FormerDigest& past) {
    return past.part == part && past.digest == digest && past.untilMs >= sinceMs;
  });
}

std::size_t OwnDecisions::play(std::size_t steps) {
  std::size_t played = 0;
  while (known() && played < steps && (replayPending() ? replayNext() : playNext())) ++played;
  return played;
}

bool OwnDecisions::playNext() {
  if (tree_.complete()) return false;
  if (!run_) {
    run_ = cases_->begin(tree_.played());
    runSteps_.clear();
  }
  CaseStep step;
  if (runSteps_.size() < kMaxSteps && run_->next(step)) {
    runSteps_.push_back(step.digest());
    return true;
  }
  tree_.add(hashOf(runSteps_));
  run_.reset();
  return true;
}

bool OwnDecisions::replayNext() {
  if (!replay_.run) replay_.run = cases_->begin(*requestedCase_);
  CaseStep step;
  if (replay_.steps.size() < kMaxSteps && replay_.run->next(step)) {
    replay_.steps.push_back(std::move(step));
    return true;
  }
  replay_.done = true;
  replay_.run.reset();
  std::vector<Hash> digests;
  for (const CaseStep& played : replay_.steps) digests.push_back(played.digest());
  if (*requestedCase_ < tree_.played() && tree_.leaf(*requestedCase_) != hashOf(digests) &&
      !nondeterminismReported_) {
    nondeterministicCase_ = requestedCase_;
    nondeterminismReported_ = true;
  }
  return true;
}

void OwnDecisions::requestReplay(std::size_t number) {
  if (requestedCase_ == number || replayPending()) return;
  requestedCase_ = number;
  replay_ = Replay();
}

const std::vector<CaseStep>* OwnDecisions::steps(std::size_t number) const {
  return requestedCase_ == number && replay_.done ? &replay_.steps : nullptr;
}

}  // namespace myrtleloft
