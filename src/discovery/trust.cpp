#include "discovery/trust.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr double kClockStepMs = 1000;  // clocks are corrected by so much while all is well
constexpr double kComeBackAgeingMs = 2000, kComeBackOldMs = 5000, kComeBackExpiredMs = 15000;

bool sameRun(const Stamp& a, const Stamp& b) {
  return !a.machineRun.empty() && a.machineRun == b.machineRun && a.machineMs <= b.machineMs;
}

}  // namespace

const char* nameOf(Trust trust) {
  switch (trust) {
    case Trust::kFresh:
      return "fresh";
    case Trust::kAgeing:
      return "ageing";
    case Trust::kOld:
      return "old";
    case Trust::kExpired:
      return "expired";
  }
  return "";
}

ListAge ageOf(const Stamp& stamp, const Stamp& now) {
  if (sameRun(stamp, now)) return {true, now.machineMs - stamp.machineMs};
  const double ms = now.wallMs - stamp.wallMs;
  if (stamp.wallMs <= 0 || ms < -kClockStepMs) return {};
  return {true, std::max(0.0, ms)};
}

double wallSetBackMs(const Stamp& stamp, const Stamp& now) {
  if (!sameRun(stamp, now)) return 0;
  return std::max(0.0, (now.machineMs - stamp.machineMs) - (now.wallMs - stamp.wallMs));
}

Trust ListTrust::of(const ListAge& age, bool whole) const {
  if (age.known && age.ms > tuning_.oldMs) return Trust::kExpired;
  if (!age.known || !whole || age.ms > tuning_.ageingMs) return Trust::kOld;
  return age.ms > tuning_.freshMs ? Trust::kAgeing : Trust::kFresh;
}

Trust ListTrust::lastFor(std::string_view name, Repeat repeat) const {
  for (const TrustTuning::Override& o : tuning_.classes)
    if (o.cls == name) return o.last;
  switch (repeat) {
    case Repeat::kRepeatable:
      return Trust::kOld;
    case Repeat::kByKey:
      return Trust::kAgeing;
    case Repeat::kOnce:
      break;
  }
  return Trust::kFresh;
}

bool ListTrust::accepts(Trust trust, std::string_view name, Repeat repeat) const {
  return !tuning_.refuses || trust <= lastFor(name, repeat);
}

double ListTrust::comeBackMs(Trust trust) const {
  switch (trust) {
    case Trust::kFresh:
      return 0;
    case Trust::kAgeing:
      return kComeBackAgeingMs;
    case Trust::kOld:
      return kComeBackOldMs;
    case Trust::kExpired:
      break;
  }
  return kComeBackExpiredMs;
}

Beginning beginWith(const ListOffer& kept, const ListOffer& known, const Stamp& now) {
  if (!kept.there) return known.there ? Beginning::kKnown : Beginning::kNothing;
  if (!known.there || known.rev <= kept.rev) return Beginning::kKept;
  const ListAge keptAge = ageOf(kept.told, now), knownAge = ageOf(known.told, now);
  const bool setBack = keptAge.known && knownAge.known && knownAge.ms > keptAge.ms + kClockStepMs;
  return setBack && kept.whole ? Beginning::kKept : Beginning::kKnown;
}

Belief believe(const Answered& answer, std::optional<std::int64_t> knownRev, Trust trust) {
  const bool back = knownRev && answer.rev < *knownRev;
  if (!answer.all && back) return Belief::kGap;
  if (!answer.all && answer.another) return Belief::kOther;
  if (!back) return Belief::kTake;
  return answer.another && trust == Trust::kFresh ? Belief::kContradicted : Belief::kTakeBack;
}

}  // namespace myrtleloft
