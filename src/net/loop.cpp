#include "net/loop.h"

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace myrtleloft {
namespace {
constexpr double kMaxWaitMs = 1000;
constexpr int kPollErrorDelayMs = 10;
constexpr double kImmediatePollMs = 1;                       // a poll up to this long did not wait
constexpr short kReadEvents = static_cast<short>(~POLLOUT);  // errors and hang-ups are handled by reading
}  // namespace

void Loop::watch(int fd, short events, Handler handler) {
  watches_[fd] = Watch{events, ++lastSerial_, std::move(handler), kNeverMs, kNeverMs};
}

void Loop::setEvents(int fd, short events) {
  const auto at = watches_.find(fd);
  if (at != watches_.end()) at->second.events = events;
}

void Loop::unwatch(int fd) { watches_.erase(fd); }

Loop::Timer Loop::after(double delayMs, std::function<void()> action) {
  const Timer timer{nowMs() + std::max(0.0, delayMs), ++lastSerial_};
  timers_.emplace(timer, std::move(action));
  return timer;
}

void Loop::cancel(Timer& timer) {
  timers_.erase(timer);
  timer = kNoTimer;
}

int Loop::waitMs() const {
  if (timers_.empty()) return static_cast<int>(kMaxWaitMs);
  // Rounded up, because poll takes whole milliseconds and rounding down would spin until the timer is due.
  return static_cast<int>(std::ceil(std::clamp(timers_.begin()->first.first - nowMs(), 0.0, kMaxWaitMs)));
}

void Loop::runOnce() {
  poll(waitMs());
  if (pollIsOld()) poll(0);
  dispatch(kReadEvents);
  readIfPollIsOld();
  dispatch(POLLOUT);
  readIfPollIsOld();
  runTimers();
}

void Loop::poll(int timeoutMs) {
  polled_.clear();
  serials_.clear();
  for (const auto& [fd, watch] : watches_) {
    polled_.push_back({fd, watch.events, 0});
    serials_.push_back(watch.serial);
  }
  polledAtMs_ = nowMs();
  const int ready = poll_(polled_.data(), polled_.size(), timeoutMs);
  if (ready < 0 && errno != EINTR) ::poll(nullptr, 0, kPollErrorDelayMs);  // e.g. ENOMEM; avoids spinning
  if (ready >= 0) recordQuiet(timeoutMs);
  if (ready <= 0) polled_.clear();
}

void Loop::recordQuiet(int timeoutMs) {
  const double returnedAtMs = nowMs();
  const double tookMs = returnedAtMs - polledAtMs_;
  const bool waited = tookMs > kImmediatePollMs;
  const bool stalled = tookMs > timeoutMs + kMaxPollAgeMs;
  auto polled = polled_.begin();
  for (auto& [fd, watch] : watches_) {  // same order as `polled_`, which was built from it
    const pollfd& entry = *polled++;
    if ((entry.events & POLLIN) == 0) continue;
    const bool isQuiet = (entry.revents & kReadEvents) == 0;
    if (isQuiet) watch.quietAtMs = polledAtMs_;
    if (stalled)
      watch.likelyQuietAtMs = polledAtMs_;
    else if (isQuiet || waited)
      watch.likelyQuietAtMs = returnedAtMs;
  }
}

double Loop::quietAtMs(int fd) const {
  const auto at = watches_.find(fd);
  if (at == watches_.end()) return kNeverMs;
  return at->second.quietAtMs;
}

double Loop::likelyQuietAtMs(int fd) const {
  const auto at = watches_.find(fd);
  if (at == watches_.end()) return kNeverMs;
  return at->second.likelyQuietAtMs;
}

void Loop::readIfPollIsOld() {
  if (!pollIsOld()) return;
  poll(0);
  dispatch(kReadEvents);
}

void Loop::dispatch(short mask) {
  for (std::size_t i = 0; i < polled_.size(); ++i) {
    const auto events = static_cast<short>(polled_[i].revents & mask);
    if (events == 0) continue;
    // An earlier handler may have closed this descriptor, and its number may have been reused.
    const auto at = watches_.find(polled_[i].fd);
    if (at == watches_.end() || at->second.serial != serials_[i]) continue;
    // An earlier handler may have cleared POLLOUT.
    if (mask == POLLOUT && (at->second.events & POLLOUT) == 0) continue;
    const Handler handler = at->second.handler;  // a copy, because the handler may unwatch itself
    handler(events);
  }
}

void Loop::runTimers() {
  // Only timers that are due now, so that one that rearms itself without delay does not starve the
  // descriptors.
  const Timer limit{nowMs(), lastSerial_};
  if (!timers_.empty())
    maxTimerDelayMs_ = std::max(maxTimerDelayMs_, limit.first - timers_.begin()->first.first);
  while (!timers_.empty() && timers_.begin()->first <= limit) {
    const auto action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }
}

}  // namespace myrtleloft
