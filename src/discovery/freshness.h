// Decides by the age of the endpoint list which request classes are rejected; also which of two lists a
// process starts with, and whether an answer of discovery is applied. Does no I/O; times are passed in.
//
//   const ListAge age = ageOf(confirmedAt, now);
//   const Freshness freshness = policy.freshnessOf(age);
//   if (!policy.accepts(freshness, className, idempotency)) reject(policy.retryAfterMs(freshness));
//
// The states follow "Serving Stale Data to Improve DNS Resiliency" (RFC 8767): stale data is better than
// none, but only for a bounded time. The RFC recommends one to three days. Here the bound depends on what a
// call to a wrong endpoint costs. For an idempotent request, it costs a second call. A request with an
// idempotency key is deduplicated, but only by endpoints that remember its key. A non-idempotent request is
// lost by the first wrong call, or becomes ambiguous.
//
// Thread-safe: there is no shared state. All functions are O(1), except those with a class name: O(classes).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// A time, read from both clocks. The wall clock may be set. The machine's clock counts from boot and cannot
// be set, but its times are comparable only within the same boot.
struct Stamp {
  double wallMs = 0;  // 0 if unknown
  double machineMs = 0;
  std::string machineRun;  // identifies the boot of the machine; empty if unknown
};

struct ListAge {
  bool known = false;  // false if the clocks cannot tell the age
  double ms = 0;       // never negative
};

// Returns the age by the machine's clock if both times are of the same boot, otherwise by the wall clock. The
// age is unknown if the stamp is in the future by more than a second, the largest normal correction of a wall
// clock.
ListAge ageOf(const Stamp& stamp, const Stamp& now);

// By how many milliseconds in total the wall clock was set back since the stamp. Never negative; 0 if it is
// unknown, as after a reboot.
double wallSetBackMs(const Stamp& stamp, const Stamp& now);

// The states in order of age. Each state accepts the same classes as the one before, or fewer.
enum class Freshness {
  kFresh,   // the list was confirmed recently
  kAgeing,  // discovery has been unavailable for longer than in normal operation
  kStale,   // some endpoints have probably changed; also a list of unknown age
  kExpired  // most endpoints have probably changed
};
// The name of the state in logs and in the operator's file, in which kStale is called "old".
const char* nameOf(Freshness freshness);

// Each limit balances the cost of a rejection (the request's priority weight, if the client does not retry)
// against the cost of a wrong call times its probability. If an endpoint lives for a week, and every tenth
// released address is reused by another destination, the share of wrong addresses in a list is 0.06% after an
// hour, 1.4% after a day and 6% after a week.
struct FreshnessTuning {
  // The maximum ages of a list in the first three states.

  // If a wrong call of a non-idempotent request costs a thousand times its weight, both costs are equal after
  // 1.7 h.
  double freshMs = 2 * 3600e3;
  // If a wrong call of a request with a key costs ten times its weight, both costs are equal after more than
  // a week. The limit is the upper bound of RFC 8767, section 5, which is lower.
  double ageingMs = 3 * 24 * 3600e3;
  // A wrong call of an idempotent request costs no more than a rejection. There is a limit because most
  // endpoints have been replaced by then.
  double staleMs = 30 * 24 * 3600e3;
  bool rejectsByAge = true;  // if false, no request is rejected because of the list's age
  // The last state in which a class that the operator names is accepted. By default non-idempotent classes
  // are accepted up to kFresh, classes with a key up to kAgeing, and idempotent ones up to kStale.
  struct Override {
    std::string className;
    Freshness lastAccepted = Freshness::kFresh;
  };
  std::vector<Override> classes;
};

class FreshnessPolicy {
 public:
  explicit FreshnessPolicy(FreshnessTuning tuning = {}) : tuning_(std::move(tuning)) {}

  // A list that is not `complete`, because the latest changes may be missing, is kStale or kExpired.
  Freshness freshnessOf(const ListAge& age, bool complete = true) const;
  bool accepts(Freshness freshness, std::string_view className, Idempotency idempotency) const;
  // After how many milliseconds a rejected client should retry; 0 for kFresh. The longer discovery has been
  // unavailable, the longer the time, because it cannot be known when discovery will be available again.
  double retryAfterMs(Freshness freshness) const;
  const FreshnessTuning& tuning() const { return tuning_; }

 private:
  // The last state in which the class is accepted.
  Freshness lastAcceptedFor(std::string_view className, Idempotency idempotency) const;

  FreshnessTuning tuning_;
};

// One of the two lists that a process may start with.
struct ListOffer {
  bool available = false;
  std::int64_t revision = 0;
  Stamp confirmedAt;     // the latest time at which discovery can have confirmed it last
  bool complete = true;  // false if its file was truncated, so that the latest changes may be missing
};
enum class InitialSource { kNothing, kCached, kConfigured };

// Chooses the list with the later revision. If the revisions are equal, chooses the cached list, which
// contains the times of drains and of its last confirmation. If the configured list has a later revision but
// was announced before the cached list was last confirmed, the directory has been rolled back in between: the
// cached list is chosen then too, provided that the ages of both are known.
InitialSource chooseInitialSource(const ListOffer& cached, const ListOffer& configured, const Stamp& now);

// The properties of an answer of discovery that decide whether it is applied.
struct ReceivedAnswer {
  std::int64_t revision = 0;
  bool complete = false;            // whether it is a complete list rather than a delta
  bool fromOtherDirectory = false;  // whether the last applied answer came from another directory
};
enum class UpdateDecision {
  kApply,
  kApplyRollback,  // apply an earlier revision: the directory was rolled back, and is authoritative
  kGap,            // ignore a delta that does not follow the known revision, and request the complete list
  kForeignDelta,   // ignore a delta of another directory, whose revisions are not comparable, and request the
                   // complete list
  kContradicted  // ignore a list of another directory that is older than the known list, which is still fresh
};
// `knownRevision` is std::nullopt if no endpoint is known.
UpdateDecision decideUpdate(const ReceivedAnswer& answer, std::optional<std::int64_t> knownRevision,
                            Freshness freshness);

}  // namespace myrtleloft
