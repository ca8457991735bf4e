#include "discovery/directories.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleloft {

BackOff backOffOf(int relays, double leastMs, double drainGraceMs) {
  // With full jitter a relay comes once in half its pause: at the most, all together half as often as may be.
  constexpr double kRoom = 4;
  const double fleetMs = kAskMs * std::max(1, relays);
  return {leastMs, std::max(leastMs, std::min(kMostPauseMs, fleetMs * kRoom)),
          std::min(kMostFirstMs, fleetMs),
          std::min(std::max(0.0, drainGraceMs - kAnswerMs), fleetMs - kAskMs)};
}

Directories::Directories(std::size_t count, const BackOff& backOff, std::function<double()> random)
    : count_(std::max<std::size_t>(1, count)), backOff_(backOff), random_(std::move(random)) {}

double Directories::failed() {
  current_ = (current_ + 1) % count_;
  const std::uint64_t rounds = failures_++ / count_;
  constexpr std::uint64_t kMostDoublings = 32;
  const double most =
      std::min(backOff_.mostMs, std::ldexp(std::max(backOff_.leastMs, backOff_.firstMs),
                                           static_cast<int>(std::min(rounds, kMostDoublings))));
  return backOff_.leastMs + random_() * std::max(0.0, most - backOff_.leastMs);
}

}  // namespace myrtleloft
