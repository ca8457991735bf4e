// Bounds on the time until the next poll of discovery must start, so that a drain is known before its grace
// period ends. All bounds follow from constants of the protocol and from the settings.
//
// By the protocol, the relay counts as notified of a change at the latest
//   kNotifiedByMs after discovery had the change and was reachable, regardless of the results of earlier
//   polls; kNotifiedAfterWaitMs after the wait of a long poll has ended, if that is later;
//   kNotifiedAfterReloadMs after SIGHUP, if the address of discovery has changed.
// From then on the relay has the drain grace period, after which calls to a draining endpoint are not
// allowed. A poll without faults takes kPollMs at most, because a lost SYN is retransmitted after 1 s.
//
// Therefore at most maxPollIntervalMs may pass from the start of one poll to the start of the next, whether
// the first is rejected, malformed, unanswered or stalled, and regardless of how many polls have failed: the
// poll and the pause after it share one bound. In the worst case, discovery has the change and becomes
// reachable just after the start of a poll that fails at its very end:
//   maxPollIntervalMs + minimum pause + next poll  <=  kNotifiedByMs + grace period
// This leaves kPollMs + grace period - minimum pause for the next poll. The minimum pause is 100 ms, unless
// the operator sets another.
//
// Thread-safe: all members are constexpr. Times are in ms.
#pragma once

#include <algorithm>
#include <cstddef>

namespace myrtleloft {

struct PollSchedule {
  static constexpr double kNotifiedByMs = 6000;
  static constexpr double kNotifiedAfterWaitMs = 2000;
  static constexpr double kNotifiedAfterReloadMs = 4000;
  static constexpr double kPollMs = 1000;
  static constexpr int kLongPollMs = 10000;  // how long the directory holds a long poll without a change

  // The maximum interval between the start of a poll and the start of the next one. Possibly only one of
  // several directories is reachable, so the bound covers a poll of each. `directories` is their number; 0
  // counts as 1.
  static constexpr double maxPollIntervalMs(std::size_t directories) {
    return (kNotifiedByMs - kPollMs) / static_cast<double>(std::max<std::size_t>(1, directories));
  }
  // The same for a long poll that has been sent and gets no answer. It is longer, because the relay counts as
  // notified of a change that the poll misses only after the poll's wait.
  static constexpr double kMaxLongPollIntervalMs = kLongPollMs + kNotifiedAfterWaitMs - kPollMs;
  // By how much that timeout may be shortened without losing an answer that was sent at the end of the wait.
  static constexpr double kLongPollEarlyMs = (kNotifiedAfterWaitMs - kPollMs) / 2;

  // The maximum delay of the first poll after SIGHUP. `drainGraceMs` is 0 if the settings contain none.
  static constexpr double maxReloadDelayMs(double drainGraceMs) {
    return kNotifiedAfterReloadMs - kPollMs + std::clamp(drainGraceMs, 0.0, kPollMs) / 2;
  }
};

}  // namespace myrtleloft
