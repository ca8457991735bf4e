#include "audit/comparison.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr std::size_t kSentKept = 8;
constexpr std::size_t kMostStepBytes = kMostAuditMessage / 2;

std::size_t firstOther(const std::vector<Hash>& mine, const std::vector<Hash>& theirs) {
  const auto at = std::mismatch(mine.begin(), mine.end(), theirs.begin(), theirs.end());
  return static_cast<std::size_t>(at.first - mine.begin());
}

}  // namespace

void Comparison::up(const Incarnation& incarnation) {
  up_ = true;
  questionsLeft_ = tuning_.questionsARound;
  if (incarnation == incarnation_) return;
  incarnation_ = incarnation;
  heard_ = 0;
  question_.reset();
  walk_.reset();
  versions_ = {};
  differed_.reset();
  agreed_.reset();
}

AuditTold Comparison::tell(double nowMs, std::uint64_t number, const OwnDecisions& own) {
  questionsLeft_ = tuning_.questionsARound;
  sent_.emplace_back(number, nowMs);
  if (sent_.size() > kSentKept) sent_.pop_front();
  AuditTold told;
  told.version = own.version();
  for (std::size_t i = 0; i < kRulesParts; ++i)
    told.heldS[i] = static_cast<std::uint32_t>((nowMs - own.heldSinceMs(static_cast<RulesPart>(i))) / 1000);
  told.listRev = own.listRev();
  told.branches = static_cast<std::uint32_t>(own.tree().branches());
  told.root = own.tree().root(told.branches);
  return told;
}

std::optional<double> Comparison::sentMs(std::uint64_t number) const {
  for (const auto& [sent, atMs] : sent_)
    if (sent == number) return atMs;
  return std::nullopt;
}

void Comparison::onTold(double nowMs, const AuditMessage& message, const AuditTold& told,
                        const OwnDecisions& own, AuditCounters& counters, std::vector<AuditReport>& reports) {
  if (message.number <= heard_) {
    ++counters.stale;
    return;
  }
  heard_ = message.number;
  // It is at least as new as my word that it had heard.
  const auto answered = sentMs(message.heard);
  versions_.onTold(nowMs, answered, peer_, told, own, tuning_, counters, reports);
  if (told.version != own.version()) return;
  const std::size_t branches = told.branches;
  if (branches == 0 || branches > own.tree().branches()) return;
  if (told.root != own.tree().root(branches)) {
    if (current(own) || differed_ == own.digest()) return;
    walk_.emplace();
    walk_->node.version = own.digest();
    walk_->node.branches = told.branches;
    down(NodeLevel::kBranches, 0, 0, told.root);
    return;
  }
  if (branches != own.tree().allBranches() || !answered) return;
  const bool before = verdict(nowMs, own) == AuditVerdict::kAgree;
  if (agreed_ != own.digest() || *answered > agreedMs_) agreedMs_ = *answered;
  agreed_ = own.digest();
  if (before || verdict(nowMs, own) != AuditVerdict::kAgree) return;
  ++counters.agreed;
  AuditReport& report = reports.emplace_back();
  report.peer = peer_;
  report.version = shortText(own.digest());
}

// ---- the walk ----
void Comparison::down(NodeLevel level, std::size_t index, std::size_t step, const Hash& expected) {
  walk_->node.level = level;
  walk_->node.index = static_cast<std::uint32_t>(index);
  walk_->node.step = static_cast<std::uint32_t>(step);
  walk_->expected = expected;
  walk_->number = 0;
  walk_->tries = 0;
}

std::optional<AuditQuestion> Comparison::ask(double nowMs, std::uint64_t number, const OwnDecisions& own) {
  if (!up_ || !current(own) || walk_->steps || walk_->theirs) return std::nullopt;
  if (walk_->number != 0 && nowMs - walk_->askedMs < tuning_.againMs) return std::nullopt;
  if (++walk_->tries > tuning_.tries) {
    walk_.reset();
    return std::nullopt;
  }
  walk_->number = number;
  walk_->askedMs = nowMs;
  return AuditQuestion{walk_->node};
}

void Comparison::onAnswer(std::uint64_t number, AuditAnswer answer, const OwnDecisions& own,
                          AuditCounters& counters) {
  if (!current(own) || number != walk_->number || !(answer.node == walk_->node)) {
    ++counters.stale;
    return;
  }
  if (!answer.there) {
    walk_.reset();
    return;
  }
  CaseStep step{std::move(answer.asked), std::move(answer.did)};
  const NodeLevel level = walk_->node.level;
  const Hash said = level == NodeLevel::kStep ? step.digest() : hashOf(answer.children);
  if (said != walk_->expected || answer.children.size() > own.tree().cases()) {
    ++counters.refused;
    return;
  }
  const HashTree& tree = own.tree();
  if (level == NodeLevel::kStep) {
    walk_->theirs = std::move(step);
  } else if (level == NodeLevel::kSteps) {
    walk_->steps = std::move(answer.children);
  } else {
    const bool root = level == NodeLevel::kBranches;
    const auto mine = root ? tree.firstBranches(walk_->node.branches) : tree.leavesOf(walk_->node.index);
    const std::size_t at = firstOther(mine, answer.children);
    // Hashes of lists that differ in length only: not of this version's cases.
    if (at >= mine.size() || at >= answer.children.size()) return walk_.reset();
    if (root)
      down(NodeLevel::kCases, at, 0, answer.children[at]);
    else
      down(NodeLevel::kSteps, walk_->node.index * kFanOut + at, 0, answer.children[at]);
  }
}

std::optional<std::size_t> Comparison::wanted(const OwnDecisions& own) const {
  if (current(own) && walk_->steps) return walk_->node.index;
  if (question_ && question_->second.level >= NodeLevel::kSteps &&
      question_->second.version == own.digest() && question_->second.index < own.tree().played())
    return question_->second.index;
  return std::nullopt;
}

void Comparison::takeSteps(const OwnDecisions& own) {
  const std::size_t number = walk_->node.index;
  const std::vector<CaseStep>* steps = own.steps(number);
  if (!steps) return;
  std::vector<Hash> mine;
  for (const CaseStep& step : *steps) mine.push_back(step.digest());
  const std::vector<Hash> theirs = std::move(*walk_->steps);
  walk_->steps.reset();
  const std::size_t at = firstOther(mine, theirs);
  // The own program did not do the same again, or one of the two ended early: told elsewhere, or no step.
  if (hashOf(mine) != own.tree().leaf(number) || at >= mine.size() || at >= theirs.size())
    return walk_.reset();
  walk_->mine = (*steps)[at];
  down(NodeLevel::kStep, number, at, theirs[at]);
}

void Comparison::advance(const OwnDecisions& own, AuditCounters& counters,
                         std::vector<AuditReport>& reports) {
  if (!own.known()) return;
  if (walk_ && !current(own)) walk_.reset();
  if (walk_ && walk_->steps) takeSteps(own);
  if (!walk_ || !walk_->theirs) return;
  const CaseSet::Place place = own.cases().at(walk_->node.index);
  AuditReport& report = reports.emplace_back();
  report.kind = AuditReport::Kind::kDiffer;
  report.peer = peer_;
  report.version = shortText(own.digest());
  report.family = place.family->name();
  report.number = place.index;
  report.step = walk_->node.step;
  report.said = place.family->difference(walk_->mine, *walk_->theirs);
  ++counters.differed;
  differed_ = own.digest();
  walk_.reset();
}

// ---- questions of the other ----
void Comparison::onQuestion(std::uint64_t number, const AuditQuestion& question, AuditCounters& counters) {
  if (questionsLeft_ <= 0) {
    ++counters.refused;
    return;
  }
  --questionsLeft_;
  question_.emplace(number, question.node);
}

std::optional<std::pair<std::uint64_t, AuditAnswer>> Comparison::answer(const OwnDecisions& own) {
  if (!question_ || !own.known()) return std::nullopt;
  const auto& [number, node] = *question_;
  AuditAnswer answer;
  answer.node = node;
  const HashTree& tree = own.tree();
  if (node.version == own.digest()) {
    if (node.level == NodeLevel::kBranches && node.branches <= tree.branches()) {
      answer.there = true;
      answer.children = tree.firstBranches(node.branches);
    } else if (node.level == NodeLevel::kCases && node.index < tree.branches()) {
      answer.there = true;
      answer.children = tree.leavesOf(node.index);
    } else if (node.level >= NodeLevel::kSteps && node.index < tree.played()) {
      const std::vector<CaseStep>* steps = own.steps(node.index);
      if (!steps) return std::nullopt;  // they are being played
      if (node.level == NodeLevel::kSteps) {
        answer.there = true;
        for (const CaseStep& step : *steps) answer.children.push_back(step.digest());
      } else if (node.step < steps->size()) {
        const CaseStep& step = (*steps)[node.step];
        answer.there = step.asked.size() + step.did.size() <= kMostStepBytes;
        if (answer.there) answer.asked = step.asked, answer.did = step.did;
      }
    }
  }
  std::pair<std::uint64_t, AuditAnswer> said{number, std::move(answer)};
  question_.reset();
  return said;
}

AuditVerdict Comparison::verdict(double nowMs, const OwnDecisions& own) const {
  if (!own.known()) return AuditVerdict::kNotKnown;
  if (differed_ == own.digest()) return AuditVerdict::kDiffer;
  const bool agree = agreed_ == own.digest() && nowMs - agreedMs_ <= tuning_.agreeForMs;
  return agree ? AuditVerdict::kAgree : AuditVerdict::kNotKnown;
}

}  // namespace myrtleloft
