#include "audit/comparison.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr std::size_t kMaxSentReports = 8;
constexpr std::size_t kMaxStepBytes = kMaxAuditMessageBytes / 2;

std::size_t firstMismatch(const std::vector<Hash>& local, const std::vector<Hash>& remote) {
  const auto at = std::mismatch(local.begin(), local.end(), remote.begin(), remote.end());
  return static_cast<std::size_t>(at.first - local.begin());
}

}  // namespace

void Comparison::up(const Incarnation& incarnation) {
  up_ = true;
  questionsLeft_ = tuning_.questionsPerRound;
  if (incarnation == incarnation_) return;
  incarnation_ = incarnation;
  lastReceivedNumber_ = 0;
  question_.reset();
  walk_.reset();
  versions_ = {};
  divergedVersion_.reset();
  agreedVersion_.reset();
}

DigestReport Comparison::makeDigestReport(double nowMs, std::uint64_t number, const OwnDecisions& own) {
  questionsLeft_ = tuning_.questionsPerRound;
  sent_.emplace_back(number, nowMs);
  if (sent_.size() > kMaxSentReports) sent_.pop_front();
  DigestReport digestReport;
  digestReport.version = own.version();
  for (std::size_t i = 0; i < kRulesParts; ++i)
    digestReport.heldS[i] =
        static_cast<std::uint32_t>((nowMs - own.heldSinceMs(static_cast<RulesPart>(i))) / 1000);
  digestReport.listRev = own.listRev();
  digestReport.branches = static_cast<std::uint32_t>(own.tree().branches());
  digestReport.root = own.tree().root(digestReport.branches);
  return digestReport;
}

std::optional<double> Comparison::sentMs(std::uint64_t number) const {
  for (const auto& [sent, atMs] : sent_)
    if (sent == number) return atMs;
  return std::nullopt;
}

void Comparison::onDigestReport(double nowMs, const AuditMessage& message, const DigestReport& digestReport,
                                const OwnDecisions& own, AuditCounters& counters,
                                std::vector<AuditReport>& reports) {
  if (message.number <= lastReceivedNumber_) {
    ++counters.stale;
    return;
  }
  lastReceivedNumber_ = message.number;
  // The report is at least as recent as the own report that it acknowledges.
  const auto answered = sentMs(message.lastReceivedNumber);
  versions_.onDigestReport(nowMs, answered, peer_, digestReport, own, tuning_, counters, reports);
  if (digestReport.version != own.version()) return;
  const std::size_t branches = digestReport.branches;
  if (branches == 0 || branches > own.tree().branches()) return;
  if (digestReport.root != own.tree().root(branches)) {
    if (walkIsCurrent(own) || divergedVersion_ == own.digest()) return;
    walk_.emplace();
    walk_->node.version = own.digest();
    walk_->node.branches = digestReport.branches;
    descend(NodeLevel::kBranches, 0, 0, digestReport.root);
    return;
  }
  if (branches != own.tree().allBranches() || !answered) return;
  const bool before = verdict(nowMs, own) == AuditVerdict::kAgree;
  if (agreedVersion_ != own.digest() || *answered > agreedMs_) agreedMs_ = *answered;
  agreedVersion_ = own.digest();
  if (before || verdict(nowMs, own) != AuditVerdict::kAgree) return;
  ++counters.agreed;
  AuditReport& report = reports.emplace_back();
  report.peer = peer_;
  report.version = shortText(own.digest());
}

// ---- search for the first different step ----
void Comparison::descend(NodeLevel level, std::size_t index, std::size_t step, const Hash& expected) {
  walk_->node.level = level;
  walk_->node.index = static_cast<std::uint32_t>(index);
  walk_->node.step = static_cast<std::uint32_t>(step);
  walk_->expected = expected;
  walk_->number = 0;
  walk_->attempts = 0;
}

std::optional<AuditQuestion> Comparison::nextQuestion(double nowMs, std::uint64_t number,
                                                      const OwnDecisions& own) {
  if (!up_ || !walkIsCurrent(own) || walk_->steps || walk_->remote) return std::nullopt;
  if (walk_->number != 0 && nowMs - walk_->askedMs < tuning_.questionTimeoutMs) return std::nullopt;
  if (++walk_->attempts > tuning_.maxQuestionAttempts) {
    walk_.reset();
    return std::nullopt;
  }
  walk_->number = number;
  walk_->askedMs = nowMs;
  return AuditQuestion{walk_->node};
}

void Comparison::onAnswer(std::uint64_t number, AuditAnswer answer, const OwnDecisions& own,
                          AuditCounters& counters) {
  if (!walkIsCurrent(own) || number != walk_->number || !(answer.node == walk_->node)) {
    ++counters.stale;
    return;
  }
  if (!answer.available) {
    walk_.reset();
    return;
  }
  CaseStep step{std::move(answer.input), std::move(answer.output)};
  const NodeLevel level = walk_->node.level;
  const Hash actual = level == NodeLevel::kStep ? step.digest() : hashOf(answer.children);
  if (actual != walk_->expected || answer.children.size() > own.tree().cases()) {
    ++counters.refused;
    return;
  }
  const HashTree& tree = own.tree();
  if (level == NodeLevel::kStep) {
    walk_->remote = std::move(step);
  } else if (level == NodeLevel::kSteps) {
    walk_->steps = std::move(answer.children);
  } else {
    const bool root = level == NodeLevel::kBranches;
    const auto local = root ? tree.firstBranches(walk_->node.branches) : tree.leavesOf(walk_->node.index);
    const std::size_t at = firstMismatch(local, answer.children);
    // One list is a prefix of the other, so they are not over the cases of the same version.
    if (at >= local.size() || at >= answer.children.size()) return walk_.reset();
    if (root)
      descend(NodeLevel::kCases, at, 0, answer.children[at]);
    else
      descend(NodeLevel::kSteps, walk_->node.index * kFanOut + at, 0, answer.children[at]);
  }
}

std::optional<std::size_t> Comparison::caseToReplay(const OwnDecisions& own) const {
  if (walkIsCurrent(own) && walk_->steps) return walk_->node.index;
  if (question_ && question_->second.level >= NodeLevel::kSteps &&
      question_->second.version == own.digest() && question_->second.index < own.tree().played())
    return question_->second.index;
  return std::nullopt;
}

void Comparison::compareSteps(const OwnDecisions& own) {
  const std::size_t number = walk_->node.index;
  const std::vector<CaseStep>* steps = own.steps(number);
  if (!steps) return;
  std::vector<Hash> local;
  for (const CaseStep& step : *steps) local.push_back(step.digest());
  const std::vector<Hash> remote = std::move(*walk_->steps);
  walk_->steps.reset();
  const std::size_t at = firstMismatch(local, remote);
  // Stops if the local replay was not deterministic, which is reported separately, or if one case ended
  // early, so that there is no step to compare.
  if (hashOf(local) != own.tree().leaf(number) || at >= local.size() || at >= remote.size())
    return walk_.reset();
  walk_->local = (*steps)[at];
  descend(NodeLevel::kStep, number, at, remote[at]);
}

void Comparison::advance(const OwnDecisions& own, AuditCounters& counters,
                         std::vector<AuditReport>& reports) {
  if (!own.known()) return;
  if (walk_ && !walkIsCurrent(own)) walk_.reset();
  if (walk_ && walk_->steps) compareSteps(own);
  if (!walk_ || !walk_->remote) return;
  const CaseSet::Location location = own.cases().at(walk_->node.index);
  AuditReport& report = reports.emplace_back();
  report.kind = AuditReport::Kind::kDiverged;
  report.peer = peer_;
  report.version = shortText(own.digest());
  report.family = location.family->name();
  report.number = location.index;
  report.step = walk_->node.step;
  report.difference = location.family->difference(walk_->local, *walk_->remote);
  ++counters.diverged;
  divergedVersion_ = own.digest();
  walk_.reset();
}

// ---- questions of the peer ----
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
      answer.available = true;
      answer.children = tree.firstBranches(node.branches);
    } else if (node.level == NodeLevel::kCases && node.index < tree.branches()) {
      answer.available = true;
      answer.children = tree.leavesOf(node.index);
    } else if (node.level >= NodeLevel::kSteps && node.index < tree.played()) {
      const std::vector<CaseStep>* steps = own.steps(node.index);
      if (!steps) return std::nullopt;  // the replay is still running
      if (node.level == NodeLevel::kSteps) {
        answer.available = true;
        for (const CaseStep& step : *steps) answer.children.push_back(step.digest());
      } else if (node.step < steps->size()) {
        const CaseStep& step = (*steps)[node.step];
        answer.available = step.input.size() + step.output.size() <= kMaxStepBytes;
        if (answer.available) answer.input = step.input, answer.output = step.output;
      }
    }
  }
  std::pair<std::uint64_t, AuditAnswer> reply{number, std::move(answer)};
  question_.reset();
  return reply;
}

AuditVerdict Comparison::verdict(double nowMs, const OwnDecisions& own) const {
  if (!own.known()) return AuditVerdict::kNotKnown;
  if (divergedVersion_ == own.digest()) return AuditVerdict::kDiverged;
  const bool agree = agreedVersion_ == own.digest() && nowMs - agreedMs_ <= tuning_.agreementValidMs;
  return agree ? AuditVerdict::kAgree : AuditVerdict::kNotKnown;
}

}  // namespace myrtleloft
