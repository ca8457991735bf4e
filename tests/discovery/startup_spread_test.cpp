// Simulates a fleet whose relays all poll the same directory at the same moment. The directory serves polls
// one after another, also those whose callers have timed out after 2 s; its queue is bounded. If it can serve
// each relay once per poll interval, every relay must be served, although most of the first polls are
// rejected.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "discovery/directory_rotation.h"

using namespace myrtleloft;

namespace {

constexpr double kCallerTimeoutMs = 2000, kRejectionMs = 30;
constexpr std::size_t kQueueCapacity = 120;

struct HerdResult {
  int served = 0, calls = 0;
  double lastMs = 0;
  std::ptrdiff_t maxPollsPerSecond = 0;  // without the first poll of each relay
};

HerdResult simulateHerd(int relays, double graceMs, double serviceMs, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  const Backoff backoff = backoffFor(relays, 100, graceMs);
  std::vector<DirectoryRotation> rotations(static_cast<std::size_t>(relays),
                                           DirectoryRotation(1, backoff, draw));
  std::multimap<double, std::size_t> pendingPolls;
  for (std::size_t i = 0; i < rotations.size(); ++i) pendingPolls.emplace(0, i);
  std::deque<double> completionTimes;  // of the polls in the queue, also of those that have timed out
  std::vector<double> pollTimes;
  HerdResult result;
  while (!pendingPolls.empty() && pendingPolls.begin()->first < 120e3) {
    const auto [now, relay] = *pendingPolls.begin();
    pendingPolls.erase(pendingPolls.begin());
    if (now > 0) pollTimes.push_back(now);
    ++result.calls;
    while (!completionTimes.empty() && completionTimes.front() <= now) completionTimes.pop_front();
    const bool queued = completionTimes.size() < kQueueCapacity;
    if (queued)
      completionTimes.push_back((completionTimes.empty() ? now : completionTimes.back()) + serviceMs);
    if (!queued || completionTimes.back() - now > kCallerTimeoutMs) {
      const double elapsedMs = queued ? kCallerTimeoutMs : kRejectionMs;
      pendingPolls.emplace(
          now + elapsedMs + rotations[relay].recordFailure(backoff.maxPollIntervalMs - elapsedMs), relay);
      continue;
    }
    ++result.served;
    result.lastMs = completionTimes.back();
  }
  for (auto at = pollTimes.begin(); at != pollTimes.end(); ++at)
    result.maxPollsPerSecond =
        std::max(result.maxPollsPerSecond, std::lower_bound(at, pollTimes.end(), *at + 1000) - at);
  return result;
}

}  // namespace

TEST_CASE("a rejected herd gets through at the rate that the poll interval allows") {
  for (const int relays : {100, 200, 300})
    for (const double graceMs : {500.0, 2000.0})
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(relays);
        CAPTURE(graceMs);
        CAPTURE(seed);
        const HerdResult herd =
            simulateHerd(relays, graceMs, PollSchedule::maxPollIntervalMs(1) / relays, seed);
        CHECK(herd.served == relays);
        CHECK(herd.calls <= 4 * relays);
        CHECK(herd.lastMs <= 20e3);
        CHECK(static_cast<double>(herd.maxPollsPerSecond) <= 2.0 * relays / 5);
      }
}
