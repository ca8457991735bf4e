// Shared by the tests of the decision module: settings, endpoints, and a dispatcher whose actions are
// recorded.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

inline ClassSettings classOf(Idempotency idempotency,
                             DeduplicationScope scope = DeduplicationScope::kDestination) {
  ClassSettings settings;
  settings.latencyObjectiveMs = 2000;
  settings.maxLifetimeMs = 20000;
  settings.lateWeight = 0.3;
  settings.idempotencyWindowMs = 8000;
  settings.idempotency = idempotency;
  settings.deduplicationScope = scope;
  return settings;
}

inline Settings plainSettings(Idempotency idempotency = Idempotency::kIdempotent,
                              bool separateLimits = true) {
  Settings settings;
  settings.seed = 1;
  settings.instanceCount = 1;
  settings.zone = 0;
  settings.batchIntervalMs = 5;
  settings.classes = {classOf(idempotency)};
  settings.maxConcurrentCalls = 20;
  settings.maxPendingRequests = 200;
  settings.maxAttempts = 6;
  settings.maxRetryAfterMs = 3000;
  settings.connectTimeoutMs = 1000;
  settings.kindHasSeparateLimits = {separateLimits};
  settings.kindBatchSize = {1};
  settings.listRetryMs = 10000;
  settings.slowStartShare = 0.2;
  settings.slowStartMs = 10000;
  settings.overloadFactor = 2;
  settings.overloadWindowMs = 2000;
  return settings;
}

inline EndpointInfo entry(const std::string& endpoint, std::int64_t destination = 1, int zone = 0,
                          EndpointState state = EndpointState::kRunning) {
  return {endpoint, zone, 0, destination, state, 1};
}

// Runs batches on one dispatcher and records its actions.
struct DispatcherFixture {
  explicit DispatcherFixture(const Settings& settings) : dispatcher(settings) {}
  // Runs a batch at `nowMs` and returns its actions.
  std::vector<Action> at(double nowMs, std::vector<Event> events = {}) {
    now = nowMs;
    auto actions = dispatcher.onBatch(nowMs, events);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<SendAction>(&action)) {
        sends.push_back(*send);
        attempts[send->id]++;
        inFlight.push_back(send->id);
      }
      if (const auto* reject = std::get_if<RejectAction>(&action)) rejected.push_back(reject->id);
      if (const auto* fail = std::get_if<FailAction>(&action)) failed.push_back(fail->id);
    }
    return actions;
  }
  // A request that arrives at the time of the last batch, with a deadline 20 s later.
  Event request(const std::string& id, std::int64_t destination = 1, int classIndex = 0,
                const std::string& orderKey = "") {
    RequestEvent event;
    event.id = id;
    event.classIndex = classIndex;
    event.destination = destination;
    event.deadlineMs = now + 20000;
    event.orderKey = orderKey;
    return event;
  }
  // The outcome of the newest attempt of the request.
  Event outcome(const std::string& id, Outcome result, std::int64_t retryAfterMs = 0) {
    OutcomeEvent event;
    event.id = id;
    event.attempt = attempts[id] - 1;
    event.outcome = result;
    event.retryAfterMs = retryAfterMs;
    event.completed = result == Outcome::kSuccess;
    for (const auto& send : sends)
      if (send.id == id) event.endpoint = send.endpoint;
    return event;
  }
  // Runs batches without events, `stepMs` apart, up to `untilMs`.
  void advanceTo(double untilMs, double stepMs = 50) {
    for (double nowMs = now + stepMs; nowMs <= untilMs; nowMs += stepMs) at(nowMs);
  }
  // Number of attempts of the request.
  int sendsOf(const std::string& id) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [&](const auto& send) { return send.id == id; }));
  }
  Dispatcher dispatcher;
  double now = 0;  // time of the last batch, in ms
  std::vector<SendAction> sends;
  std::map<std::string, int> attempts;
  std::vector<std::string> rejected, failed;
  std::vector<std::string> inFlight;  // requests sent; a test that adds their outcomes clears it
};

inline std::string numbered(int i) { return std::string("m").append(std::to_string(i)); }

inline EndpointListEvent snapshot(std::vector<EndpointInfo> entries) {
  return {ListUpdateKind::kSnapshot, std::move(entries)};
}

// Settings by which an endpoint in zone 1 costs more than one in zone 0.
inline Settings settingsWithZoneCosts(int batchSize) {
  Settings settings = plainSettings();
  settings.kindBatchSize = {batchSize};
  settings.zoneCosts = {0, 0.06};
  settings.ratingKind = RatingKind::kNominal;
  return settings;
}
// Endpoint "a" in zone 0 and endpoint "b" in zone 1.
inline std::vector<EndpointInfo> cheapAndExpensive(double rating) {
  std::vector<EndpointInfo> entries = {entry("a", 1, 0), entry("b", 1, 1)};
  entries[0].rating = entries[1].rating = rating;
  return entries;
}

}  // namespace myrtleloft
