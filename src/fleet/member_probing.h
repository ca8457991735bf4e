// The one question that a member has out for itself, those that it asks for others, and whose turn it is.
// Times are passed in; nobody is sent anything from here.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace myrtleloft {

// A question to one peer, at first directly, then through thirds.
struct MemberProbe {
  enum class Phase : std::uint8_t { kNone, kDirect, kThirds, kReached };
  Phase phase = Phase::kNone;
  std::string about;
  std::uint64_t number = 0;
  double askedAtMs = 0, directByMs = 0, endsAtMs = 0;
  int thirds = 0, missed = 0;  // asked; of those, the ones that reached it no more than we did
  bool excused = false;        // the own lateness was taken off once

  bool running() const { return phase == Phase::kDirect || phase == Phase::kThirds; }
  double nextMs() const;
  // We were late ourselves, by so much: those asked get as much longer, once, for their replies may lie
  // unread.
  void excuse(double byMs);
};

// A question that another asked us to put.
struct ThirdQuestion {
  std::string from;
  std::uint64_t theirs = 0, ours = 0;
  std::string about;
  double byMs = 0;
};

class ThirdQuestions {
 public:
  // More at once are turned down: it is as if the third had not been reached.
  static constexpr std::size_t kMost = 64;
  bool full() const { return waiting_.size() >= kMost; }
  void add(ThirdQuestion question) { waiting_.push_back(std::move(question)); }
  // The one that this reply is for, which waits no longer.
  std::optional<ThirdQuestion> answered(const std::string& by, std::uint64_t ours);
  std::optional<ThirdQuestion> overdue(double nowMs);
  double nextMs() const;
  void excuse(double byMs);
  void clear() { waiting_.clear(); }

 private:
  std::vector<ThirdQuestion> waiting_;
};

// Whose turn it is: a round in drawn order, each round another; some go first when there is a reason.
class MemberRound {
 public:
  explicit MemberRound(std::uint64_t seed) : random_(seed) {}
  void first(const std::string& name);
  // `dueSuspect`: that one may go before the others, every other time. `eligible`: all that may be asked.
  std::string next(const std::string& dueSuspect, const std::vector<std::string>& eligible);
  // `most` of them, drawn.
  std::vector<std::string> draw(std::vector<std::string> names, std::size_t most);

 private:
  void shuffle(std::vector<std::string>& names);

  std::mt19937_64 random_;
  std::deque<std::string> first_;
  std::vector<std::string> left_;
  bool wasFirst_ = false;
};

}  // namespace myrtleloft
