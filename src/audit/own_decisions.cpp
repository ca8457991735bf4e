#include "audit/own_decisions.h"

#include <algorithm>

namespace myrtleloft {

void OwnDecisions::become(double nowMs, const RulesVersion& version, std::int64_t listRev,
                          std::shared_ptr<const CaseSet> cases) {
  listRev_ = listRev;
  if (known() && version == version_) return;
  for (std::size_t i = 0; i < kRulesParts; ++i) {
    if (known() && version.parts[i] == version_.parts[i]) continue;
    heldSince_[i] = nowMs;
    if (known()) past_.push_back({static_cast<RulesPart>(i), version_.parts[i], nowMs});
  }
  for (; past_.size() > kPast; past_.pop_front()) forgottenMs_ = past_.front().untilMs;
  version_ = version;
  cases_ = std::move(cases);
  tree_ = HashTree(cases_->size());
  run_.reset();
  wanted_.reset();
  again_ = Again();
  unsteady_.reset();
  unsteadyTold_ = false;
}

bool OwnDecisions::hadSince(RulesPart part, const Hash& what, double sinceMs) const {
  if (version_.of(part) == what || sinceMs <= forgottenMs_) return true;
  return std::any_of(past_.begin(), past_.end(), [&](const Past& past) {
    return past.part == part && past.what == what && past.untilMs >= sinceMs;
  });
}

std::size_t OwnDecisions::play(std::size_t steps) {
  std::size_t played = 0;
  while (known() && played < steps && (wants() ? playAgain() : playNext())) ++played;
  return played;
}

bool OwnDecisions::playNext() {
  if (tree_.whole()) return false;
  if (!run_) {
    run_ = cases_->begin(tree_.played());
    runSteps_.clear();
  }
  CaseStep step;
  if (runSteps_.size() < kMostSteps && run_->next(step)) {
    runSteps_.push_back(step.digest());
    return true;
  }
  tree_.add(hashOf(runSteps_));
  run_.reset();
  return true;
}

bool OwnDecisions::playAgain() {
  if (!again_.run) again_.run = cases_->begin(*wanted_);
  CaseStep step;
  if (again_.steps.size() < kMostSteps && again_.run->next(step)) {
    again_.steps.push_back(std::move(step));
    return true;
  }
  again_.done = true;
  again_.run.reset();
  std::vector<Hash> digests;
  for (const CaseStep& played : again_.steps) digests.push_back(played.digest());
  if (*wanted_ < tree_.played() && tree_.leaf(*wanted_) != hashOf(digests) && !unsteadyTold_) {
    unsteady_ = wanted_;
    unsteadyTold_ = true;
  }
  return true;
}

void OwnDecisions::want(std::size_t number) {
  if (wanted_ == number || wants()) return;
  wanted_ = number;
  again_ = Again();
}

const std::vector<CaseStep>* OwnDecisions::steps(std::size_t number) const {
  return wanted_ == number && again_.done ? &again_.steps : nullptr;
}

}  // namespace myrtleloft
