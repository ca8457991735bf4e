// Serialization of the decision module's settings with cereal. A field added to Settings but not here would
// affect decisions without being compared; the size checks remind the author of such a field.
#pragma once

#include "journal/archive.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

static_assert(sizeof(void*) != 8 || sizeof(ClassSettings) == 112,
              "add new fields of ClassSettings to serialize()");
static_assert(sizeof(void*) != 8 || sizeof(Settings) == 264, "add new fields of Settings to serialize()");

template <typename Archive>
void serialize(Archive& ar, ClassSettings& c) {
  ar(c.latencyObjectiveMs, c.maxLifetimeMs, c.objectiveStretch, c.priorityWeight, c.lateWeight,
     c.idempotencyWindowMs, c.idempotency, c.deduplicationScope, c.orderedByKey, c.allowedZones,
     c.allowedKinds);
}
template <typename Archive>
void serialize(Archive& ar, Settings& s) {
  ar(s.seed, s.instanceIndex, s.instanceCount, s.zone, s.batchIntervalMs, s.classes, s.watchEndpointList,
     s.weightDecay, s.ratingKind, s.maxConcurrentCalls, s.maxPendingRequests, s.maxAttempts,
     s.maxRetryAfterMs, s.connectTimeoutMs, s.connectionIdleMs, s.reusesConnections, s.mayCancel,
     s.kindHasSeparateLimits, s.kindBatchSize, s.zoneCosts, s.crossZoneCost, s.listConfirmationMs,
     s.listRetryMs, s.slowStartShare, s.slowStartMs, s.overloadFactor, s.overloadWindowMs,
     s.orderHoldAfterAmbiguityMs);
}

}  // namespace myrtleloft
