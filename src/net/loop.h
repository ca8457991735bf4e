// One poll(2) loop: descriptors, timers, nothing else. Handlers run one at a time and must not throw.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "net/clock.h"

namespace myrtleloft {

class Loop {
 public:
  using Handler = std::function<void(short revents)>;
  using Timer = std::pair<double, std::uint64_t>;  // when it is due, and its number
  static constexpr Timer kNoTimer{0, 0};

  explicit Loop(const Clock& clock) : clock_(clock) {}
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void watch(int fd, short events, Handler handler);
  void setEvents(int fd, short events);
  void forget(int fd);

  Timer after(double delayMs, std::function<void()> action);
  void cancel(Timer& timer);

  // Waits for the next events or timers and handles them.
  void runOnce();
  double nowMs() const { return clock_.steadyMs(); }

 private:
  struct Watch {
    short events = 0;
    std::uint64_t serial = 0;
    Handler handler;
  };

  int waitMs() const;
  void runTimers();

  const Clock& clock_;
  std::map<int, Watch> watches_;
  std::map<Timer, std::function<void()>> timers_;
  std::vector<pollfd> polled_;
  std::vector<std::uint64_t> serials_;
  std::uint64_t lastSerial_ = 0;
};

}  // namespace myrtleloft
