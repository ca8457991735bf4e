// One poll(2) loop: descriptors and timers, nothing else. Handlers run one at a time and must not throw.
//
//   Loop loop(clock);
//   loop.watch(fd, POLLIN | POLLOUT, [&](short events) { ... });
//   loop.after(100, [&] { ... });
//   while (running) loop.runOnce();
//
// One turn polls, hands out all that can be read, then all that can be written, then runs the timers that are
// due. So what a handler writes, and what a timer decides, takes account of all that had come by the poll,
// whatever the numbers of the descriptors. The process may stand still at any point of a turn; what has come
// meanwhile lies unread. Two things bound how old the poll may be by which something is written:
// - before the writes and before the timers, a poll that is older than kMaxPollAgeMs is made once more,
//   without waiting, and what it reports is read. So is a poll that has itself taken so long: the process may
//   have stood between the kernel's look at the descriptors and its return.
// - whoever writes what an unread message might forbid asks `pollIsOld` just before; if so it writes nothing,
//   stays watched for POLLOUT, and is called again in the next turn, after the reads. It may have to give up
//   asking after some turns: where all of them take so long, nothing would be written any more.
// What comes between that question and the system call that follows it is not seen.
//
// Cost of a turn: O(watched descriptors), and O(log n) for each descriptor that is ready and each timer.
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

// Used from one thread only. A handler or an action may watch, forget, set and cancel anything, itself
// included.
class Loop {
 public:
  // Called with the events that were reported: first with those that are about reading (all but POLLOUT), and
  // later in the same turn with POLLOUT.
  using Handler = std::function<void(short events)>;
  using Timer = std::pair<double, std::uint64_t>;  // when it is due, in ms, and its number
  static constexpr Timer kNoTimer{0, 0};
  // The protocol lets a call through that arrives within 100 ms of an answer that forbids it; the rest of
  // that is for the way.
  static constexpr double kMaxPollAgeMs = 20;
  static constexpr double kNeverMs = -std::numeric_limits<double>::infinity();
  // As poll(2).
  using PollFunction = int (*)(pollfd* descriptors, nfds_t count, int timeoutMs);

  // `clock` must outlive it.
  explicit Loop(const Clock& clock, PollFunction poll = &::poll) : clock_(clock), poll_(poll) {}
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // From now on `handler` gets the descriptor's events, of those asked for, and its errors.
  void watch(int fd, short events, Handler handler);
  // Changes the events asked for; nothing where the descriptor is not watched.
  void setEvents(int fd, short events);
  // To be called before the descriptor is closed.
  void unwatch(int fd);

  // Runs `action` once, in that many ms or a little later.
  Timer after(double delayMs, std::function<void()> action);
  // Nothing where it has run already. `timer` is kNoTimer afterwards.
  void cancel(Timer& timer);

  // Waits for the next events or timers and handles them.
  void runOnce();
  // On the clock that only goes forward.
  double nowMs() const { return clock_.steadyMs(); }
  // The latest moment of which it is known that nothing lay unread at `fd`: when the last poll began that
  // watched it for reading and did not report it; before the first, kNeverMs.
  double quietAtMs(int fd) const;
  // The same, and later: a poll that saw it quiet did so until its return, and what ended the waiting of a
  // poll came just then. Wrong where the process stands in a poll, by at most that poll's time-out and
  // kMaxPollAgeMs; one that returns later than that counts from its beginning.
  double likelyQuietAtMs(int fd) const;
  // The longest by which a timer ran late, in ms: the process stood still, or a turn took long.
  double maxTimerDelayMs() const { return maxTimerDelayMs_; }
  // Whether the last poll began longer ago than kMaxPollAgeMs: something may have come that nobody has read.
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
  // After a poll that did not fail: notes of each descriptor watched for reading until when it was quiet.
  void recordQuiet(int timeoutMs);
  // Hands out the last poll's events, of those in `mask`.
  void dispatch(short mask);
  // Where the last poll is old: polls without waiting, and hands out what can be read.
  void readIfPollIsOld();
  void runTimers();

  const Clock& clock_;
  PollFunction poll_;
  std::map<int, Watch> watches_;
  std::map<Timer, std::function<void()>> timers_;
  std::vector<pollfd> polled_;
  std::vector<std::uint64_t> serials_;  // of the watches in `polled_`
  double polledAtMs_ = 0;               // when the last poll began
  double maxTimerDelayMs_ = 0;
  std::uint64_t lastSerial_ = 0;
};

}  // namespace myrtleloft
