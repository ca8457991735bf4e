// Decides which of several discovery directories to poll, and when. The directory that answered last is
// polled again; after a failure the next one is polled, with a backoff that doubles while none of them
// answers. Does no I/O; the source of randomness is passed in.
//
//   DirectoryRotation rotation(addresses.size(), backoffFor(relays, 100, drainGraceMs), random);
//   after(rotation.startDelayMs(), [&] { poll(rotation.current()); });
//   rotation.recordAnswer();                                            // keeps the directory
//   after(rotation.recordFailure(), [&] { poll(rotation.current()); });
//
// Above its minimum the backoff has full jitter (AWS Architecture Blog, "Exponential Backoff And Jitter",
// 2015); if `firstMaxMs` is set, the first pause has it too. The jitter keeps relays that lost the same
// directory, or were rejected by it at the same time, from polling it again at the same time: an overloaded
// directory would spend all its time on polls that have already timed out, and serve no relay at all.
//
// The pause grows up to the maximum interval between the starts of two polls (poll_schedule.h). Once it has,
// a relay polls once per interval, at the phase within the interval that the jitter gave it.
//
// Not thread-safe. Each operation is O(1). All times are in ms.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

#include "discovery/poll_schedule.h"

namespace myrtleloft {

// The pauses between polls and the timeouts of polls.
struct Backoff {
  double minMs = 100;         // the shortest pause after a failed poll
  double maxMs = 100;         // the longest pause; if equal to minMs, the pause does not grow
  double firstMaxMs = 0;      // the longest first pause; ignored if below minMs
  double startSpreadMs = 0;   // the longest random delay of the first poll after a start
  double reloadSpreadMs = 0;  // the same after a reload; ignored if below startSpreadMs
  // The maximum interval between the start of a poll and the start of the next one.
  double maxPollIntervalMs = PollSchedule::maxPollIntervalMs(1);
  double timeoutJitterMs = 0;  // the most by which a timeout is shortened at random
  // Whether poll and pause together are limited to maxPollIntervalMs. If not, only maxMs limits the pause.
  bool boundedByInterval = false;
};

// All polls of a fleet together are spaced, on average, as the polls of a single relay may be.
constexpr double kFleetPollSpacingMs = 50;
// The first poll after a start, a reload or a timeout must have been answered before the drain grace period
// ends. This part of the period is reserved for the answer.
constexpr double kAnswerReserveMs = 500;
// Returns the backoff for a fleet of `relays` whose operator sets none. No pause extends the interval between
// two polls beyond PollSchedule::maxPollIntervalMs(directories), however long discovery is unavailable.
// `drainGraceMs` is guarantees.drainGraceMs of the settings; if it is at most kAnswerReserveMs, the first
// polls of the fleet after a start are not spread.
Backoff backoffFor(int relays, double minMs, double drainGraceMs, std::size_t directories = 1);

class DirectoryRotation {
 public:
  // `count` is the number of directories; 0 counts as 1. `random` returns numbers in [0, 1).
  DirectoryRotation(std::size_t count, const Backoff& backoff, std::function<double()> random);

  // The index of the directory to poll next.
  std::size_t current() const { return current_; }
  // The random delay of a poll that is not urgent, such as the first one after a start with a fresh list.
  double startDelayMs() { return random_() * backoff_.startSpreadMs; }
  // The random delay of the first poll after a reload.
  double reloadDelayMs() { return random_() * std::max(backoff_.startSpreadMs, backoff_.reloadSpreadMs); }
  // How long to wait for the first byte of an answer, or for a further byte: `maxMs` after a failure. After a
  // success it is shortened at random, to half of `maxMs` at the least, so that polls that started at the
  // same time do not all time out at the same time.
  double answerTimeoutMs(double maxMs) {
    return maxMs - (failures_ == 0 ? random_() * std::min(maxMs / 2, backoff_.timeoutJitterMs) : 0);
  }
  // The timeout of a long poll, measured from its start.
  double longPollTimeoutMs() {
    return PollSchedule::kMaxLongPollIntervalMs -
           random_() * std::min(PollSchedule::kLongPollEarlyMs, backoff_.timeoutJitterMs);
  }
  // Resets the backoff: the current directory answered, or earlier failures no longer matter.
  void recordAnswer() {
    failures_ = 0;
    phaseDrawn_ = false;
  }
  // Moves to the next directory, and returns the pause before it is polled. The pause grows only after every
  // directory has been polled once. `intervalLeftMs` is the rest of the poll interval that the failed poll
  // started; the pause is limited to it, but is never below minMs.
  double recordFailure(double intervalLeftMs = std::numeric_limits<double>::infinity());
  // Moves to the next directory, which is polled without a pause: the timeout has already been one.
  void recordTimeout() { advance(); }

 private:
  void advance() {
    current_ = (current_ + 1) % count_;
    ++failures_;
  }

  std::size_t count_;
  std::size_t current_ = 0;
  std::uint64_t failures_ = 0;  // consecutive
  bool phaseDrawn_ = false;     // whether a pause drawn from most of the interval has set this relay's phase
  Backoff backoff_;
  std::function<double()> random_;
};

}  // namespace myrtleloft
