#include "exchange/recovered.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr double kWallStepMs = 1000;  // clocks are corrected by so much while all is well
constexpr double kLongAgoMs = 1e12;

// An attempt that seems to be still to come shows that the clock was set back.
bool setBack(const OwedRequest& owed, double wallMs) {
  return std::any_of(owed.doubts.begin(), owed.doubts.end(),
                     [&](const Doubt& doubt) { return doubt.sentWallMs > wallMs + kWallStepMs; });
}

}  // namespace

bool mayGoOn(OwedRequest& owed, const std::optional<Allowed>& allowed, const Settings& now, double wallMs) {
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
  if (setBack(owed, wallMs)) return false;
  for (Doubt& doubt : owed.doubts) doubt.sentWallMs -= shorterMs;
  return true;
}

MessageEvent eventOf(const OwedRequest& owed, double nowMs, double wallMs, double hardLimitMs) {
  MessageEvent event;
  event.id = owed.id;
  event.cls = owed.cls;
  event.tenant = owed.tenant;
  event.notAfterMs = nowMs + std::min(owed.notAfterWallMs - wallMs, hardLimitMs);
  event.destination = owed.destination;
  event.isRetry = owed.isRetry;
  event.attempts = owed.attempts;
  const bool clockSetBack = setBack(owed, wallMs);  // then the others' times are as wrong
  for (const Doubt& doubt : owed.doubts)
    event.doubts.push_back(
        {doubt.zone, nowMs - (clockSetBack ? kLongAgoMs : std::max(0.0, wallMs - doubt.sentWallMs))});
  return event;
}

}  // namespace myrtleloft
