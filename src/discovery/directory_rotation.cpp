#include "discovery/directory_rotation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace myrtleloft {

Backoff backoffFor(int relays, double minMs, double drainGraceMs, std::size_t directories) {
  // With full jitter the average pause is half of the maximum. So once the pause has grown to its maximum,
  // the fleet polls half as often as kFleetPollSpacingMs allows.
  constexpr double kMaxPauseFactor = 4;
  const double fleetMs = kFleetPollSpacingMs * std::max(1, relays);
  const double intervalMs = PollSchedule::maxPollIntervalMs(directories);
  Backoff backoff;
  backoff.minMs = minMs;
  backoff.maxMs = std::max(minMs, std::min(intervalMs, fleetMs * kMaxPauseFactor));
  backoff.firstMaxMs = std::min(intervalMs, fleetMs);
  backoff.startSpreadMs =
      std::min(std::max(0.0, drainGraceMs - kAnswerReserveMs), fleetMs - kFleetPollSpacingMs);
  backoff.reloadSpreadMs =
      std::min(PollSchedule::maxReloadDelayMs(drainGraceMs), fleetMs - kFleetPollSpacingMs);
  backoff.maxPollIntervalMs = intervalMs;
  backoff.timeoutJitterMs = fleetMs - kFleetPollSpacingMs;
  backoff.boundedByInterval = true;
  return backoff;
}

DirectoryRotation::DirectoryRotation(std::size_t count, const Backoff& backoff,
                                     std::function<double()> random)
    : count_(std::max<std::size_t>(1, count)), backoff_(backoff), random_(std::move(random)) {}

double DirectoryRotation::recordFailure(double intervalLeftMs) {
  const std::uint64_t rounds = failures_ / count_;
  advance();
  constexpr std::uint64_t kMaxDoublings = 32;
  double maxMs = std::min(backoff_.maxMs, std::ldexp(std::max(backoff_.minMs, backoff_.firstMaxMs),
                                                     static_cast<int>(std::min(rounds, kMaxDoublings))));
  if (backoff_.boundedByInterval) {
    const double leftMs = std::min(intervalLeftMs, backoff_.maxPollIntervalMs);
    if (phaseDrawn_) return std::max(backoff_.minMs, leftMs);
    phaseDrawn_ = maxMs >= backoff_.maxPollIntervalMs && leftMs >= backoff_.maxPollIntervalMs / 2;
    maxMs = std::min(maxMs, leftMs);
  }
  return backoff_.minMs + random_() * std::max(0.0, maxMs - backoff_.minMs);
}

}  // namespace myrtleloft
