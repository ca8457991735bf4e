#include "fleet/member_probing.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

namespace {
constexpr double kNever = std::numeric_limits<double>::infinity();
}

double MemberProbe::nextMs() const {
  if (phase == Phase::kDirect) return directByMs;
  return phase == Phase::kThirds ? endsAtMs : kNever;
}

void MemberProbe::excuse(double byMs) {
  if (!running() || std::exchange(excused, true)) return;
  directByMs += byMs;
  endsAtMs += byMs;
}

std::optional<ThirdQuestion> ThirdQuestions::answered(const std::string& by, std::uint64_t ours) {
  const auto at = std::find_if(waiting_.begin(), waiting_.end(),
                               [&](const ThirdQuestion& q) { return q.ours == ours && q.about == by; });
  if (at == waiting_.end()) return std::nullopt;
  ThirdQuestion question = std::move(*at);
  waiting_.erase(at);
  return question;
}

std::optional<ThirdQuestion> ThirdQuestions::overdue(double nowMs) {
  const auto at =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const ThirdQuestion& q) { return q.byMs <= nowMs; });
  if (at == waiting_.end()) return std::nullopt;
  ThirdQuestion question = std::move(*at);
  waiting_.erase(at);
  return question;
}

double ThirdQuestions::nextMs() const {
  double next = kNever;
  for (const ThirdQuestion& q : waiting_) next = std::min(next, q.byMs);
  return next;
}

void ThirdQuestions::excuse(double byMs) {
  for (ThirdQuestion& q : waiting_) q.byMs += byMs;
}

void MemberRound::first(const std::string& name) {
  if (std::find(first_.begin(), first_.end(), name) == first_.end()) first_.push_back(name);
}

std::string MemberRound::next(const std::string& dueSuspect, const std::vector<std::string>& eligible) {
  const auto may = [&](const std::string& name) {
    return std::find(eligible.begin(), eligible.end(), name) != eligible.end();
  };
  if (!std::exchange(wasFirst_, !wasFirst_)) {
    if (!dueSuspect.empty()) return dueSuspect;
    while (!first_.empty()) {
      std::string name = std::move(first_.front());
      first_.pop_front();
      if (may(name)) return name;
    }
  }
  wasFirst_ = false;
  // One pass over what is left of this round, one over a new one.
  for (int round = 0; round < 2; ++round) {
    while (!left_.empty()) {
      std::string name = std::move(left_.back());
      left_.pop_back();
      if (may(name)) return name;
    }
    left_ = eligible;
    shuffle(left_);
  }
  return {};
}

std::vector<std::string> MemberRound::draw(std::vector<std::string> names, std::size_t most) {
  shuffle(names);
  if (names.size() > most) names.resize(most);
  return names;
}

// Not std::shuffle, whose draws may differ from library to library.
void MemberRound::shuffle(std::vector<std::string>& names) {
  for (std::size_t i = names.size(); i > 1; --i) std::swap(names[i - 1], names[random_() % i]);
}

}  // namespace myrtleloft
