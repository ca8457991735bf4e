#include "popularity/hint.h"

#include <algorithm>
#include <cmath>

#include "state/portable_math.h"

namespace myrtleloft {
namespace {

constexpr double kDefaultColdMs = 10000, kDefaultMaxRetryAfterMs = 10000;
constexpr double kMaxAgeColdSpans = 2;  // the decision module discards its own failures after the same time
constexpr double kMinRatePerS = 0.5;    // equals kLeastPerS of the decision module

// Returns the weight of a value at its age, or std::nullopt if the value is missing, too old or invalid.
std::optional<double> weightOf(const std::optional<AgedValue>& aged, double sinceReceivedMs,
                               const HintDecay& decay) {
  if (!aged || !std::isfinite(aged->value) || aged->value < 0 || !(aged->ageMs >= 0)) return std::nullopt;
  const double age = aged->ageMs + std::max(0.0, sinceReceivedMs);
  if (!(age <= decay.maxAgeMs)) return std::nullopt;
  return portable::exp2(-age / decay.halfLifeMs);
}

}  // namespace

HintDecay HintDecay::of(double coldMs, double maxRetryAfterMs) {
  const double cold = coldMs > 0 ? coldMs : kDefaultColdMs;
  return {cold, kMaxAgeColdSpans * cold, maxRetryAfterMs > 0 ? maxRetryAfterMs : kDefaultMaxRetryAfterMs,
          kMinRatePerS};
}

bool isAtLeastAsStrict(const Restrictions& a, const Restrictions& b) {
  return a.ratePerS <= b.ratePerS && (b.typicalLatencyMs == 0 || a.typicalLatencyMs == b.typicalLatencyMs) &&
         a.hintedLatencyMs >= b.hintedLatencyMs && a.rejectedShare >= b.rejectedShare &&
         a.outageProbability >= b.outageProbability && a.blockedUntilMs >= b.blockedUntilMs &&
         a.connectionCap <= b.connectionCap && a.draining >= b.draining && a.rateBounded >= b.rateBounded;
}

Restrictions applyHint(const Hint& hint, const Restrictions& own, double nowMs, double sinceReceivedMs,
                       const HintDecay& decay) {
  Restrictions result = own;
  if (const auto weight = weightOf(hint.ratePerS, sinceReceivedMs, decay))
    result.ratePerS = std::min(result.ratePerS, std::max(decay.minRatePerS, hint.ratePerS->value / *weight));
  if (weightOf(hint.typicalLatencyMs, sinceReceivedMs, decay))
    result.hintedLatencyMs = std::max(result.hintedLatencyMs, hint.typicalLatencyMs->value);
  if (const auto weight = weightOf(hint.rejectedShare, sinceReceivedMs, decay))
    result.rejectedShare = std::max(result.rejectedShare, std::min(1.0, hint.rejectedShare->value) * *weight);
  if (const auto weight = weightOf(hint.outageProbability, sinceReceivedMs, decay))
    result.outageProbability =
        std::max(result.outageProbability,
                 std::min(kMaxHintedOutageProbability, hint.outageProbability->value) * *weight);
  if (weightOf(hint.retryAfterMs, sinceReceivedMs, decay)) {
    const double remainingMs =
        hint.retryAfterMs->value - hint.retryAfterMs->ageMs - std::max(0.0, sinceReceivedMs);
    if (remainingMs > 0)
      result.blockedUntilMs = std::max(result.blockedUntilMs, nowMs + std::min(remainingMs, decay.maxWaitMs));
  }
  if (const auto weight = weightOf(hint.connectionCap, sinceReceivedMs, decay))
    result.connectionCap =
        std::min(result.connectionCap, std::max(1.0, std::floor(hint.connectionCap->value / *weight)));
  return result;
}

}  // namespace myrtleloft
