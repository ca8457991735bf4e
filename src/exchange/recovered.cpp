#include "exchange/recovered.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr double kWallStepMs = 1000;  // clocks are corrected by so much while all is well
constexpr double kLongAgoMs = 1e12;

}  // namespace

MessageEvent eventOf(const OwedRequest& owed, double nowMs, double wallMs, double hardLimitMs) {
  MessageEvent event;
  event.id = owed.id;
  event.cls = owed.cls;
  event.tenant = owed.tenant;
  event.notAfterMs = nowMs + std::min(owed.notAfterWallMs - wallMs, hardLimitMs);
  event.destination = owed.destination;
  event.isRetry = owed.isRetry;
  event.attempts = owed.attempts;
  for (const Doubt& doubt : owed.doubts) {
    const double agoMs = wallMs - doubt.sentWallMs;
    event.doubts.push_back({doubt.zone, nowMs - (agoMs < -kWallStepMs ? kLongAgoMs : std::max(0.0, agoMs))});
  }
  return event;
}

}  // namespace myrtleloft
