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
  enum class Phase : std::uint8_t { kNone, kDirect, kIndirect, kReached };
  Phase phase = Phase::kNone;
  std::string target;
  std::uint64_t number = 0;
  double pingedAtMs = 0, directDeadlineMs = 0, deadlineMs = 0;
  int helpers = 0, unreached = 0;  // asked; of those, the ones that reached it no more than we did
  bool extended = false;           // the own lateness was taken off once

  bool running() const { return phase == Phase::kDirect || phase == Phase::kIndirect; }
  double nextMs() const;
  // We were late ourselves, by so much: those asked get as much longer, once, for their replies may lie
  // unread.
  void extend(double byMs);
};

// A question that another asked us to put.
struct IndirectPing {
  std::string from;
  std::uint64_t senderNumber = 0, ownNumber = 0;
  std::string target;
  double byMs = 0;
};

class IndirectPings {
 public:
  // More at once are turned down: it is as if the third had not been reached.
  static constexpr std::size_t kMost = 64;
  bool full() const { return pending_.size() >= kMost; }
  void add(IndirectPing ping) { pending_.push_back(std::move(ping)); }
  // The one that this reply is for, which waits no longer.
  std::optional<IndirectPing> answered(const std::string& by, std::uint64_t ownNumber);
  std::optional<IndirectPing> overdue(double nowMs);
  double nextMs() const;
  void extend(double byMs);
  void clear() { pending_.clear(); }

 private:
  std::vector<IndirectPing> pending_;
};

// Whose turn it is: a round in drawn order, each round another; some go first when there is a reason.
class MemberRound {
 public:
  explicit MemberRound(std::uint64_t seed) : random_(seed) {}
  void prioritize(const std::string& name);
  // `dueSuspect`: that one may go before the others, every other time. `eligible`: all that may be asked.
  std::string next(const std::string& dueSuspect, const std::vector<std::string>& eligible);
  // `most` of them, drawn.
  std::vector<std::string> draw(std::vector<std::string> names, std::size_t most);

 private:
  void shuffle(std::vector<std::string>& names);

  std::mt19937_64 random_;
  std::deque<std::string> prioritized_;
  std::vector<std::string> remaining_;
  bool tookPrioritized_ = false;
};

}  // namespace myrtleloft
