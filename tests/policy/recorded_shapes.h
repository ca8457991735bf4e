// The shapes of the recorded days: the kind of fleet that a relay belongs to, and its settings.
#pragma once

#include <array>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft::testing {

constexpr double kTickMs = 5;

struct Shape {
  const char* name;
  int relayCount;
  std::vector<bool> separateLimits;
  std::vector<int> batchSizes;
  RatingKind ratingKind;
  // The last: whether settings of zones, costs, timeouts and slow start are given.
  bool orderedByKey, sendsLoadReports, watchesEndpointList, mayCancel, hasSlowStartSettings;
};

inline Settings settingsOf(const Shape& shape, std::uint64_t seed) {
  Settings settings;
  settings.seed = seed;
  settings.instanceCount = shape.relayCount;
  settings.instanceIndex = static_cast<int>(seed) % shape.relayCount;
  settings.batchIntervalMs = kTickMs;
  settings.maxConcurrentCalls = 9;
  settings.maxPendingRequests = 60;
  settings.maxRetryAfterMs = 3000;
  settings.kindHasSeparateLimits = shape.separateLimits;
  settings.kindBatchSize = shape.batchSizes;
  settings.ratingKind = shape.ratingKind;
  settings.watchEndpointList = shape.watchesEndpointList;
  settings.mayCancel = shape.mayCancel;
  settings.orderHoldAfterAmbiguityMs = 400;
  if (shape.hasSlowStartSettings) {
    settings.zone = 0;
    settings.zoneCosts = {0, 0.03};
    settings.crossZoneCost = 0.02;
    settings.weightDecay = WeightDecay::kHalving;
    settings.maxAttempts = 8;
    settings.connectTimeoutMs = 1500;
    settings.connectionIdleMs = 10000;
    settings.slowStartShare = 0.14;
    settings.slowStartMs = 8000;
    settings.overloadFactor = 2.5;
    settings.overloadWindowMs = 2000;
  }
  constexpr std::array<Idempotency, 3> kIdempotencies = {
      Idempotency::kIdempotent, Idempotency::kIdempotentWithKey, Idempotency::kNonIdempotent};
  for (int i = 0; i < 6; ++i) {
    ClassSettings classSettings;
    classSettings.idempotency = kIdempotencies[static_cast<std::size_t>(i % 3)];
    classSettings.deduplicationScope = i == 4 ? DeduplicationScope::kZone : DeduplicationScope::kDestination;
    classSettings.latencyObjectiveMs = 2000;
    classSettings.objectiveStretch = 0.5;
    classSettings.maxLifetimeMs = 16000 + 2000 * i;
    classSettings.priorityWeight = 1 + i;
    classSettings.lateWeight = 0.4;
    classSettings.idempotencyWindowMs = 6000;
    classSettings.orderedByKey = shape.orderedByKey && i < 3;
    if (i == 5) classSettings.allowedZones = {0};
    settings.classes.push_back(classSettings);
  }
  return settings;
}

}  // namespace myrtleloft::testing
