#include "popularity/hint.h"

#include <algorithm>
#include <cmath>

namespace myrtleloft {
namespace {

constexpr double kColdFallbackMs = 10000, kWaitFallbackMs = 10000;
constexpr double kForgetColdSpans = 2;  // as the module's own failures
constexpr double kLeastPacePerS = 0.5;  // as the module's kLeastPerS

// The share of it that is trusted still; nothing: too old, or not a number that says anything.
std::optional<double> trusted(const std::optional<Aged>& part, double heldMs, const HintFade& fade) {
  if (!part || !std::isfinite(part->value) || part->value < 0 || !(part->ageMs >= 0)) return std::nullopt;
  const double age = part->ageMs + std::max(0.0, heldMs);
  if (!(age <= fade.forgetMs)) return std::nullopt;
  return std::exp2(-age / fade.halvesMs);
}

}  // namespace

HintFade HintFade::of(double coldMs, double maxRetryAfterMs) {
  const double cold = coldMs > 0 ? coldMs : kColdFallbackMs;
  return {cold, kForgetColdSpans * cold, maxRetryAfterMs > 0 ? maxRetryAfterMs : kWaitFallbackMs,
          kLeastPacePerS};
}

bool noFreer(const Brakes& a, const Brakes& b) {
  return a.pacePerS <= b.pacePerS && (b.usualMs == 0 || a.usualMs == b.usualMs) &&
         a.usualHintedMs >= b.usualHintedMs && a.refusedShare >= b.refusedShare && a.ill >= b.ill &&
         a.waitUntilMs >= b.waitUntilMs && a.connectionCap <= b.connectionCap && a.draining >= b.draining &&
         a.bounded >= b.bounded;
}

Brakes applied(const Hint& hint, const Brakes& own, double nowMs, double heldMs, const HintFade& fade) {
  Brakes b = own;
  if (const auto t = trusted(hint.pacePerS, heldMs, fade))
    b.pacePerS = std::min(b.pacePerS, std::max(fade.leastPacePerS, hint.pacePerS->value / *t));
  if (trusted(hint.usualMs, heldMs, fade)) b.usualHintedMs = std::max(b.usualHintedMs, hint.usualMs->value);
  if (const auto t = trusted(hint.refusedShare, heldMs, fade))
    b.refusedShare = std::max(b.refusedShare, std::min(1.0, hint.refusedShare->value) * *t);
  if (const auto t = trusted(hint.ill, heldMs, fade))
    b.ill = std::max(b.ill, std::min(kMostHintedIll, hint.ill->value) * *t);
  if (trusted(hint.waitMs, heldMs, fade)) {
    const double left = hint.waitMs->value - hint.waitMs->ageMs - std::max(0.0, heldMs);
    if (left > 0) b.waitUntilMs = std::max(b.waitUntilMs, nowMs + std::min(left, fade.mostWaitMs));
  }
  if (const auto t = trusted(hint.connectionCap, heldMs, fade))
    b.connectionCap = std::min(b.connectionCap, std::max(1.0, std::floor(hint.connectionCap->value / *t)));
  return b;
}

}  // namespace myrtleloft
