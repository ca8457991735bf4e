#include "simulator_adapter/settings_decoding.h"

#include <string>

namespace myrtleloft::wire {
namespace {

Idempotency idempotencyOf(std::string_view word) {
  if (word == "repeatable") return Idempotency::kIdempotent;
  if (word == "by_key") return Idempotency::kIdempotentWithKey;
  return Idempotency::kNonIdempotent;  // "once"
}

DeduplicationScope deduplicationScopeOf(std::string_view word) {
  if (word == "zone") return DeduplicationScope::kZone;
  if (word == "cell") return DeduplicationScope::kCell;
  return DeduplicationScope::kDestination;  // "all"
}

RatingKind ratingKindOf(std::string_view word) {
  if (word == "nominal") return RatingKind::kNominal;
  if (word == "rough") return RatingKind::kRough;
  return RatingKind::kNone;  // "none"
}

void decodeInstance(const Fields& fields, Settings& settings) {
  if (fields.has("randomSeed")) {
    const auto seed = parseNumber<std::uint64_t>(fields.text("randomSeed"));
    if (!seed) throw WireError("malformed randomSeed");
    settings.seed = *seed;
  }
  settings.instanceIndex = static_cast<int>(fields.integerOr("me", 0));
  settings.instanceCount = static_cast<int>(fields.integerOr("balancers", 1));
  settings.zone = static_cast<int>(fields.integerOr("zone", -1));
  settings.batchIntervalMs = fields.numberOr("resolutionMs", 0);
}

// `prefix` is the common prefix of the names of the class's fields, such as "classes.0.".
ClassSettings decodeClass(const Fields& fields, const std::string& prefix) {
  ClassSettings settings;
  settings.latencyObjectiveMs = fields.numberOr(prefix + "targetMs", 0);
  settings.maxLifetimeMs = fields.numberOr(prefix + "hardLimitMs", 0);
  settings.objectiveStretch = fields.numberOr(prefix + "aimStretch", 0);
  settings.priorityWeight = fields.numberOr(prefix + "worth", 1);
  settings.lateWeight = fields.numberOr(prefix + "lateWorth", 0);
  settings.idempotencyWindowMs = fields.numberOr(prefix + "memorySpanMs", 0);
  settings.idempotency = idempotencyOf(fields.textOr(prefix + "repeat", "once"));
  settings.deduplicationScope = deduplicationScopeOf(fields.textOr(prefix + "group", "all"));
  settings.orderedByKey = fields.flag(prefix + "fifoByKey");
  return settings;
}

void decodeClasses(const Fields& fields, Settings& settings) {
  const std::int64_t count = fields.integerOr("classes.count", 0);
  for (std::int64_t i = 0; i < count; ++i)
    settings.classes.push_back(decodeClass(fields, "classes." + std::to_string(i) + "."));
}

void decodeModes(const Fields& fields, Settings& settings) {
  settings.watchEndpointList = fields.textOr("membershipMode", "push") == "ask";
  settings.weightDecay =
      fields.textOr("familyInfo.fades", "line") == "halves" ? WeightDecay::kHalving : WeightDecay::kLinear;
  settings.ratingKind = ratingKindOf(fields.textOr("weights", "none"));
}

void decodeLimits(const Fields& fields, Settings& settings) {
  settings.maxConcurrentCalls = static_cast<int>(fields.integerOr("familyInfo.callSlots", 0));
  settings.maxPendingRequests = static_cast<int>(fields.integerOr("limits.maxOpen", 0));
  settings.maxAttempts = static_cast<int>(fields.integerOr("limits.sendCap", 0));
  if (fields.flag("limits.retryAfter"))
    settings.maxRetryAfterMs = fields.numberOr("limits.maxRetryAfterMs", 0);
  settings.connectTimeoutMs = fields.numberOr("limits.connectTimeoutMs", 0);
  settings.connectionIdleMs = fields.numberOr("limits.connIdleMs", 0);
  settings.mayCancel = fields.flag("limits.cancel");
}

void decodeKindsAndZones(const Fields& fields, Settings& settings) {
  for (const bool separate : fields.flagList("familyInfo.kindApart"))
    settings.kindHasSeparateLimits.push_back(separate);
  for (const std::int64_t size : fields.integerList("familyInfo.kindBatch"))
    settings.kindBatchSize.push_back(static_cast<int>(size));
  settings.zoneCosts = fields.numberList("familyInfo.carriage");
  settings.crossZoneCost = fields.numberOr("penalties.crossZone", 0);
}

void decodeGuarantees(const Fields& fields, Settings& settings) {
  settings.listRetryMs = fields.numberOr("guarantees.askWithinMs", 0);
  settings.slowStartShare = fields.numberOr("guarantees.coldShare", 0);
  settings.slowStartMs = fields.numberOr("guarantees.coldMs", 0);
  settings.overloadFactor = fields.numberOr("guarantees.overloadFactor", 0);
  settings.overloadWindowMs = fields.numberOr("guarantees.fallMs", 0);
  settings.orderHoldAfterAmbiguityMs = fields.numberOr("guarantees.settleAfterDoubtMs", 0);
}

}  // namespace

// The first malformed field in this order is the one that is reported.
Settings decodeSettings(const Fields& fields) {
  Settings settings;
  decodeInstance(fields, settings);
  decodeClasses(fields, settings);
  decodeModes(fields, settings);
  decodeLimits(fields, settings);
  decodeKindsAndZones(fields, settings);
  decodeGuarantees(fields, settings);
  return settings;
}

}  // namespace myrtleloft::wire
