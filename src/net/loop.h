// An event loop on poll(2) for descriptors and timers. Handlers run one at a time and must not throw.
//
//   Loop loop(clock);
//   loop.watch(fd, POLLIN | POLLOUT, [&](short events) { ... });
//   loop.after(100, [&] { ... });
//   while (running) loop.runOnce();
//
// One turn polls, dispatches all read events, then all write events, then runs the timers that are due. So
// whatever a handler writes and a timer decides takes account of all input that had arrived at the time of
// the poll, regardless of the order of descriptors.
//
// The process may be stopped at any point of a turn, and input that arrives meanwhile is unread. Two rules
// bound the age of the poll on which a write is based:
// - Before write events and before timers, a poll older than kMaxPollAgeMs is repeated without waiting, and
//   its read events are dispatched. The same holds if the poll itself took that long, because the process may
//   have been stopped after the kernel checked the descriptors.
// - Code that writes something which unread input could forbid calls `pollIsOld` just before. If it returns
//   true, the code writes nothing, keeps watching for POLLOUT, and is called again in the next turn, after
//   the read events. It may have to write anyway after some turns: if every turn takes that long, it would
//   otherwise never write.
// Input that arrives between that check and the write is not seen.
//
// Cost of a turn: O(watched descriptors), and O(log n) for each ready descriptor and each timer.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "net/clock.h"

namespace myrtleloft {

// Used from one thread only. Handlers and actions may call any function of the loop except runOnce, and may
// unwatch or cancel themselves.
class Loop {
 public:
  // Called with the reported events: first with the read events (all but POLLOUT, including errors), and
  // later in the same turn with POLLOUT.
  using Handler = std::function<void(short events)>;
  using Timer = std::pair<double, std::uint64_t>;  // due time in milliseconds, serial number
  static constexpr Timer kNoTimer{0, 0};
  // The protocol tolerates a call that arrives up to 100 ms after an answer that forbids it. The remainder is
  // left for the time on the network.
  static constexpr double kMaxPollAgeMs = 20;
  static constexpr double kNeverMs = -std::numeric_limits<double>::infinity();
  // The signature of poll(2).
  using PollFunction = int (*)(pollfd* descriptors, nfds_t count, int timeoutMs);

  // `clock` must outlive the loop.
  explicit Loop(const Clock& clock, PollFunction poll = &::poll) : clock_(clock), poll_(poll) {}
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Calls `handler` when one of the given events or an error occurs on the descriptor.
  void watch(int fd, short events, Handler handler);
  // Changes the watched events. Does nothing if the descriptor is not watched.
  void setEvents(int fd, short events);
  // Stops watching the descriptor; must be called before it is closed.
  void unwatch(int fd);

  // Runs `action` once, after the given delay or a little later.
  Timer after(double delayMs, std::function<void()> action);
  // Does nothing if the timer has already run. Sets `timer` to kNoTimer.
  void cancel(Timer& timer);

  // Runs one turn: waits for events or a due timer and handles them.
  void runOnce();
  // Milliseconds on the monotonic clock.
  double nowMs() const { return clock_.steadyMs(); }
  // Returns the latest time at which `fd` is known to have had no unread input: the start of the last poll
  // that watched it for reading and did not report it, or kNeverMs if there is none.
  double quietAtMs(int fd) const;
  // A later estimate of the same time. It assumes that a descriptor which a poll did not report had no input
  // until the poll returned, and that the input which ended a poll's wait arrived at its return. If the
  // process is stopped inside a poll, the estimate is too late by at most the poll's timeout plus
  // kMaxPollAgeMs; for a poll that takes longer than that, the time of its start is used.
  double likelyQuietAtMs(int fd) const;
  // The largest delay of a timer so far, in milliseconds. It is large if the process was stopped or a turn
  // was slow.
  double maxTimerDelayMs() const { return maxTimerDelayMs_; }
  // Returns true if the last poll began more than kMaxPollAgeMs ago, so that there may be unread input.
  bool pollIsOld() const { return nowMs() - polledAtMs_ > kMaxPollAgeMs; }

 private:
  struct Watch {
    short events = 0;
    std::uint64_t serial = 0;
    Handler handler;
    double quietAtMs = kNeverMs, likelyQuietAtMs = kNeverMs;
  };

  int waitMs() const;
  void poll(int timeoutMs);
  // Updates the quiet times of all descriptors that are watched for reading, after a successful poll.
  void recordQuiet(int timeoutMs);
  // Calls the handlers for those events of the last poll that are in `mask`.
  void dispatch(short mask);
  // If the last poll is old, polls again without waiting and dispatches the read events.
  void readIfPollIsOld();
  void runTimers();

  const Clock& clock_;
  PollFunction poll_;
  std::map<int, Watch> watches_;
  std::map<Timer, std::function<void()>> timers_;
  std::vector<pollfd> polled_;
  std::vector<std::uint64_t> serials_;  // serial numbers of the watches in `polled_`
  double polledAtMs_ = 0;               // when the last poll began
  double maxTimerDelayMs_ = 0;
  std::uint64_t lastSerial_ = 0;
};

}  // namespace myrtleloft
