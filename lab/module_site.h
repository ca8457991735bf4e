// A small site as the decision module and the membership see it, without a relay around them: three classes,
// one for each repeat rule, two zones, two kinds.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "discovery/endpoint_directory.h"
#include "journal/disk_budget.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft::lab {

// A share of the disk without a journal: counted, and bounded where the test says so.
struct CountedShare : DiskBudget {
  bool reserve(std::size_t bytes) override {
    if (used + bytes > most) return false;
    used += bytes;
    return true;
  }
  void release(std::size_t bytes) override { used -= bytes; }
  std::size_t used = 0, most = static_cast<std::size_t>(-1);
};

inline const IndexNames kNames{{"norte", "sur"}, {"large", "other"}};
inline const std::vector<EndpointDirectory::Class> kThreeClasses = {
    {"status-update", Idempotency::kIdempotent},
    {"caption-order", Idempotency::kIdempotentWithKey},
    {"billing-charge", Idempotency::kNonIdempotent}};
inline constexpr std::array<double, 3> kWorth = {1, 2, 5};

inline Settings moduleSettings(std::uint64_t seed) {
  Settings s;
  s.seed = seed;
  s.batchIntervalMs = 5;
  s.maxConcurrentCalls = 64;
  s.maxPendingRequests = 4000;
  s.maxAttempts = 12;
  s.maxRetryAfterMs = 3000;
  s.slowStartMs = 11000;
  s.slowStartShare = 0.14;
  s.kindHasSeparateLimits = {true, true};
  s.kindBatchSize = {1, 1};
  for (std::size_t i = 0; i < kThreeClasses.size(); ++i) {
    ClassSettings cls;
    cls.idempotency = kThreeClasses[i].idempotency;
    cls.priorityWeight = kWorth[i];
    cls.lateWeight = 0.5;
    cls.latencyObjectiveMs = 2000;
    cls.maxLifetimeMs = 16000;
    cls.idempotencyWindowMs = 5000;
    s.classes.push_back(cls);
  }
  return s;
}

}  // namespace myrtleloft::lab
