#include "fleet/member_probing.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

namespace {
constexpr double kNever = std::numeric_limits<double>::infinity();
}

double MemberProbe::nextMs() const {
  if (phase == Phase::kDirect) return directDeadlineMs;
  return phase == Phase::kIndirect ? deadlineMs : kNever;
}

void MemberProbe::extend(double byMs) {
  if (!running() || std::exchange(extended, true)) return;
  directDeadlineMs += byMs;
  deadlineMs += byMs;
}

std::optional<IndirectPing> IndirectPings::answered(const std::string& by, std::uint64_t ownNumber) {
  const auto at = std::find_if(pending_.begin(), pending_.end(), [&](const IndirectPing& q) {
    return q.ownNumber == ownNumber && q.target == by;
  });
  if (at == pending_.end()) return std::nullopt;
  IndirectPing ping = std::move(*at);
  pending_.erase(at);
  return ping;
}

std::optional<IndirectPing> IndirectPings::overdue(double nowMs) {
  const auto at = std::find_if(pending_.begin(), pending_.end(),
                               [&](const IndirectPing& q) { return q.deadlineMs <= nowMs; });
  if (at == pending_.end()) return std::nullopt;
  IndirectPing ping = std::move(*at);
  pending_.erase(at);
  return ping;
}

double IndirectPings::nextMs() const {
  double next = kNever;
  for (const IndirectPing& q : pending_) next = std::min(next, q.deadlineMs);
  return next;
}

void IndirectPings::extend(double byMs) {
  for (IndirectPing& q : pending_) q.deadlineMs += byMs;
}

void MemberRound::prioritize(const std::string& name) {
  if (std::find(prioritized_.begin(), prioritized_.end(), name) == prioritized_.end())
    prioritized_.push_back(name);
}

std::string MemberRound::next(const std::string& dueSuspect, const std::vector<std::string>& eligible) {
  const auto may = [&](const std::string& name) {
    return std::find(eligible.begin(), eligible.end(), name) != eligible.end();
  };
  if (!std::exchange(tookPrioritized_, !tookPrioritized_)) {
    if (!dueSuspect.empty()) return dueSuspect;
    while (!prioritized_.empty()) {
      std::string name = std::move(prioritized_.front());
      prioritized_.pop_front();
      if (may(name)) return name;
    }
  }
  tookPrioritized_ = false;
  // One pass over the rest of this round, one over a new round.
  for (int round = 0; round < 2; ++round) {
    while (!remaining_.empty()) {
      std::string name = std::move(remaining_.back());
      remaining_.pop_back();
      if (may(name)) return name;
    }
    remaining_ = eligible;
    shuffle(remaining_);
  }
  return {};
}

std::vector<std::string> MemberRound::draw(std::vector<std::string> names, std::size_t maxCount) {
  shuffle(names);
  if (names.size() > maxCount) names.resize(maxCount);
  return names;
}

// std::shuffle may give different orders with different libraries.
void MemberRound::shuffle(std::vector<std::string>& names) {
  for (std::size_t i = names.size(); i > 1; --i) std::swap(names[i - 1], names[random_() % i]);
}

}  // namespace myrtleloft
