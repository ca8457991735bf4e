// Rotation and backoff of one relay, and of a fleet that polls a directory of limited capacity.
#include "discovery/directory_rotation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <vector>

using namespace myrtleloft;

// Simulates a directory that is polled by more relays than it can serve at once. It serves polls one after
// another, also those whose callers have timed out after 2 s. Its queue is bounded; further polls are
// rejected immediately. Its capacity is enough to serve each relay once per poll interval of 5 s
// (poll_schedule.h).
TEST_CASE("a fleet's first polls all get through, also those rejected at a herd restart") {
  constexpr double kCallerTimeoutMs = 2000;
  const auto serviceMs = [](int relays) { return std::min(50.0, 5000.0 / relays); };
  constexpr std::size_t kQueueCapacity = 120;
  struct HerdResult {
    double served = 0, calls = 0, lastMs = 0;
  };
  const auto simulateHerd = [&](int relays, bool delaysFirstPoll, const Backoff& backoff) {
    std::mt19937_64 random(7);
    const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
    std::vector<DirectoryRotation> rotations(static_cast<std::size_t>(relays),
                                             DirectoryRotation(1, backoff, draw));
    std::multimap<double, std::size_t> pendingPolls;
    for (std::size_t i = 0; i < rotations.size(); ++i)
      pendingPolls.emplace(delaysFirstPoll ? rotations[i].startDelayMs() : 0, i);
    std::deque<double> completionTimes;  // of the polls in the queue, also of those that have timed out
    HerdResult result;
    while (!pendingPolls.empty() && pendingPolls.begin()->first < 120e3) {
      const auto [now, relay] = *pendingPolls.begin();
      pendingPolls.erase(pendingPolls.begin());
      ++result.calls;
      while (!completionTimes.empty() && completionTimes.front() <= now) completionTimes.pop_front();
      if (completionTimes.size() >= kQueueCapacity) {
        pendingPolls.emplace(now + 30 + rotations[relay].recordFailure(), relay);
        continue;
      }
      completionTimes.push_back((completionTimes.empty() ? now : completionTimes.back()) + serviceMs(relays));
      if (completionTimes.back() - now > kCallerTimeoutMs) {
        pendingPolls.emplace(now + kCallerTimeoutMs + rotations[relay].recordFailure(), relay);
        continue;
      }
      ++result.served;
      result.lastMs = completionTimes.back();
    }
    return result;
  };
  for (const int relays : {100, 300}) {
    CAPTURE(relays);
    const HerdResult herd =
        simulateHerd(relays, false, backoffFor(relays, 100, 2000));  // no list is fresh: all poll immediately
    CHECK(herd.served == relays);
    CHECK(herd.calls <= 6 * relays);
    CHECK(herd.lastMs <= 8 * serviceMs(relays) * relays);
  }
  const HerdResult start = simulateHerd(100, true, backoffFor(100, 100, 2000));
  CHECK(start.served == 100);
  CHECK(start.calls <= 200);
  CHECK(start.lastMs <= 20e3);
  // With a fixed pause, only the first relays are served, and the others keep polling without success.
  const HerdResult fixedPause = simulateHerd(100, true, {100, 100});
  CHECK(fixedPause.served < 60);
  CHECK(fixedPause.calls > 10000);
  // The delays of a small fleet stay short.
  CHECK(backoffFor(1, 100, 2000).startSpreadMs == 0);
  CHECK(backoffFor(3, 100, 2000).startSpreadMs <= 200);
  CHECK(backoffFor(3, 100, 2000).maxMs <= 1000);
}

TEST_CASE("directories are polled in rotation with a backoff within its bounds") {
  CHECK(rc::check("rotations and pauses", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 5);
    const Backoff backoff{100, *rc::gen::element(100.0, 1000.0, 60000.0)};
    std::vector<double> drawn;
    DirectoryRotation rotation(count, backoff,
                               [&] { return drawn.emplace_back(*rc::gen::inRange(0, 1000) / 1000.0); });
    for (std::size_t i = 0; i < 40; ++i) {
      RC_ASSERT(rotation.current() == i % count);
      const double pause = rotation.recordFailure();
      const double maxPauseMs = std::min(backoff.maxMs, 100 * std::pow(2.0, static_cast<double>(i / count)));
      RC_ASSERT(pause >= 100);
      RC_ASSERT(pause <= std::max(100.0, maxPauseMs));
    }
    const std::size_t currentBefore = rotation.current();
    rotation.recordAnswer();
    RC_ASSERT(rotation.current() == currentBefore);
    RC_ASSERT(rotation.recordFailure() == 100);
  }));
}
