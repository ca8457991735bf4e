#include "exchange/recovered.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr double kLongAgoMs = 1e12;

// What was recorded seems to be still to come.
bool setBack(const WallClock& wall) { return wall.newestMs > wall.nowMs; }

}  // namespace

double newestWallMs(const OwedTable& owed) {
  double newest = 0;
  for (const RecoveredRequest& request : owed) {
    if (request.timesKnown) continue;
    newest = std::max(newest, request.owed.takenWallMs);
    for (const Doubt& doubt : request.owed.doubts) newest = std::max(newest, doubt.sentWallMs);
  }
  return newest;
}

bool mayGoOn(OwedRequest& owed, const std::optional<Allowed>& allowed, const Settings& now,
             const WallClock& wall) {
  if (static_cast<std::size_t>(owed.cls) >= now.classes.size() || owed.tenant == Renaming::kGone)
    return false;
  if (owed.doubts.empty() || !allowed) return true;
  const ClassSettings& cls = now.classes[static_cast<std::size_t>(owed.cls)];
  if (allowed->repeat > cls.repeat) return false;
  if (cls.repeat != Repeat::kByKey) return true;  // once: the module repeats nothing; repeatable: then too
  if (allowed->repeat != Repeat::kByKey) return !owed.key.empty();
  if (allowed->group == Group::kZone && cls.group != Group::kZone) return false;
  const double shorterMs = cls.memorySpanMs - allowed->memorySpanMs;
  if (shorterMs <= 0) return true;
  if (setBack(wall)) return false;
  for (Doubt& doubt : owed.doubts) doubt.sentWallMs -= shorterMs;
  return true;
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
  for (const Doubt& doubt : owed.doubts)
    event.doubts.push_back(
        {doubt.zone, nowMs - (setBack(wall) ? kLongAgoMs : wall.nowMs - doubt.sentWallMs + wall.setBackMs)});
  return event;
}

}  // namespace myrtleloft
