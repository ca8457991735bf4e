#include "exchange/recovered.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr double kLongAgoMs = 1e12;

}  // namespace

double newestWallMs(const OwedTable& owed) {
  double newest = 0;
  for (const RecoveredRequest& request : owed) {
    newest = std::max(newest, request.owed.takenWallMs);
    for (const Doubt& doubt : request.owed.doubts) newest = std::max(newest, doubt.sentWallMs);
  }
  return newest;
}

MessageEvent eventOf(const OwedRequest& owed, double nowMs, const WallClock& wall, double hardLimitMs) {
  MessageEvent event;
  event.id = owed.id;
  event.cls = owed.cls;
  event.tenant = owed.tenant;
  event.notAfterMs = nowMs + std::min(owed.notAfterWallMs - wall.nowMs, hardLimitMs);
  event.destination = owed.destination;
  event.isRetry = owed.isRetry;
  event.attempts = owed.attempts;
  const bool toCome = wall.newestMs > wall.nowMs;
  for (const Doubt& doubt : owed.doubts)
    event.doubts.push_back(
        {doubt.zone, nowMs - (toCome ? kLongAgoMs : wall.nowMs - doubt.sentWallMs + wall.setBackMs)});
  return event;
}

}  // namespace myrtleloft
