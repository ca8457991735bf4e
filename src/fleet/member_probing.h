// State of pings: the probe that a member runs, the indirect pings that it relays for others, and the order
// in which it probes its peers. Times are passed in; nothing is sent from here.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace myrtleloft {

// A probe of one peer: first a direct ping, then indirect pings through helpers.
struct MemberProbe {
  enum class Phase : std::uint8_t { kNone, kDirect, kIndirect, kReached };
  Phase phase = Phase::kNone;
  std::string target;
  std::uint64_t number = 0;
  double pingedAtMs = 0, directDeadlineMs = 0, deadlineMs = 0;
  int helpers = 0, unreached = 0;  // helpers asked, and those of them that did not reach the target
  bool extended = false;           // the deadlines were extended for a late call

  bool running() const { return phase == Phase::kDirect || phase == Phase::kIndirect; }
  double nextMs() const;
  // Extends the deadlines by the lateness of this process, once per probe, as replies may still be unread.
  void extend(double byMs);
};

// An indirect ping that this member relays for another.
struct IndirectPing {
  std::string from;
  std::uint64_t senderNumber = 0, ownNumber = 0;
  std::string target;
  double deadlineMs = 0;
};

class IndirectPings {
 public:
  // Further indirect pings are answered as if the target had not been reached.
  static constexpr std::size_t kMaxPending = 64;
  bool full() const { return pending_.size() >= kMaxPending; }
  void add(IndirectPing ping) { pending_.push_back(std::move(ping)); }
  // Removes and returns the indirect ping that this reply answers.
  std::optional<IndirectPing> answered(const std::string& by, std::uint64_t ownNumber);
  std::optional<IndirectPing> overdue(double nowMs);
  double nextMs() const;
  void extend(double byMs);
  void clear() { pending_.clear(); }

 private:
  std::vector<IndirectPing> pending_;
};

// Order of probes: rounds in random order, newly drawn each time. Prioritized peers are probed earlier.
class MemberRound {
 public:
  explicit MemberRound(std::uint64_t seed) : random_(seed) {}
  void prioritize(const std::string& name);
  // Returns the next peer to probe. Every second call prefers `dueSuspect` and prioritized peers; `eligible`
  // lists all peers that may be probed.
  std::string next(const std::string& dueSuspect, const std::vector<std::string>& eligible);
  // Returns up to `maxCount` of the names, drawn at random.
  std::vector<std::string> draw(std::vector<std::string> names, std::size_t maxCount);

 private:
  void shuffle(std::vector<std::string>& names);

  std::mt19937_64 random_;
  std::deque<std::string> prioritized_;
  std::vector<std::string> remaining_;
  bool tookPrioritized_ = false;
};

}  // namespace myrtleloft
