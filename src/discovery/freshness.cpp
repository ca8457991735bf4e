#include "discovery/freshness.h"

#include <algorithm>

namespace myrtleloft {
namespace {

constexpr double kClockStepMs = 1000;  // the largest correction of a wall clock in normal operation
constexpr double kRetryAfterAgeingMs = 2000;
constexpr double kRetryAfterStaleMs = 5000;
constexpr double kRetryAfterExpiredMs = 15000;

// Whether both times are of the same boot of the machine, so that its clock can be compared.
bool sameRun(const Stamp& earlier, const Stamp& later) {
  return !earlier.machineRun.empty() && earlier.machineRun == later.machineRun &&
         earlier.machineMs <= later.machineMs;
}

}  // namespace

const char* nameOf(Freshness freshness) {
  switch (freshness) {
    case Freshness::kFresh:
      return "fresh";
    case Freshness::kAgeing:
      return "ageing";
    case Freshness::kStale:
      return "old";
    case Freshness::kExpired:
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

Freshness FreshnessPolicy::freshnessOf(const ListAge& age, bool complete) const {
  if (age.known && age.ms > tuning_.staleMs) return Freshness::kExpired;
  if (!age.known || !complete || age.ms > tuning_.ageingMs) return Freshness::kStale;
  return age.ms > tuning_.freshMs ? Freshness::kAgeing : Freshness::kFresh;
}

Freshness FreshnessPolicy::lastAcceptedFor(std::string_view className, Idempotency idempotency) const {
  for (const FreshnessTuning::Override& named : tuning_.classes)
    if (named.className == className) return named.lastAccepted;
  switch (idempotency) {
    case Idempotency::kIdempotent:
      return Freshness::kStale;
    case Idempotency::kIdempotentWithKey:
      return Freshness::kAgeing;
    case Idempotency::kNonIdempotent:
      break;
  }
  return Freshness::kFresh;
}

bool FreshnessPolicy::accepts(Freshness freshness, std::string_view className,
                              Idempotency idempotency) const {
  return !tuning_.rejectsByAge || freshness <= lastAcceptedFor(className, idempotency);
}

double FreshnessPolicy::retryAfterMs(Freshness freshness) const {
  switch (freshness) {
    case Freshness::kFresh:
      return 0;
    case Freshness::kAgeing:
      return kRetryAfterAgeingMs;
    case Freshness::kStale:
      return kRetryAfterStaleMs;
    case Freshness::kExpired:
      break;
  }
  return kRetryAfterExpiredMs;
}

InitialSource chooseInitialSource(const ListOffer& cached, const ListOffer& configured, const Stamp& now) {
  if (!cached.available) return configured.available ? InitialSource::kConfigured : InitialSource::kNothing;
  if (!configured.available || configured.revision <= cached.revision) return InitialSource::kCached;
  const ListAge cachedAge = ageOf(cached.confirmedAt, now);
  const ListAge configuredAge = ageOf(configured.confirmedAt, now);
  const bool rolledBack =
      cachedAge.known && configuredAge.known && configuredAge.ms > cachedAge.ms + kClockStepMs;
  return rolledBack && cached.complete ? InitialSource::kCached : InitialSource::kConfigured;
}

UpdateDecision decideUpdate(const ReceivedAnswer& answer, std::optional<std::int64_t> knownRevision,
                            Freshness freshness) {
  const bool earlier = knownRevision && answer.revision < *knownRevision;
  if (!answer.complete && earlier) return UpdateDecision::kGap;
  if (!answer.complete && answer.fromOtherDirectory) return UpdateDecision::kForeignDelta;
  if (!earlier) return UpdateDecision::kApply;
  return answer.fromOtherDirectory && freshness == Freshness::kFresh ? UpdateDecision::kContradicted
                                                                     : UpdateDecision::kApplyRollback;
}

}  // namespace myrtleloft
