// What the tests of the decision module share: settings, endpoints, and a dispatcher whose actions are noted.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

inline ClassSettings classOf(Idempotency repeat,
                             DeduplicationScope group = DeduplicationScope::kDestination) {
  ClassSettings c;
  c.latencyObjectiveMs = 2000;
  c.maxLifetimeMs = 20000;
  c.lateWeight = 0.3;
  c.idempotencyWindowMs = 8000;
  c.idempotency = repeat;
  c.deduplicationScope = group;
  return c;
}

inline Settings plainSettings(Idempotency repeat = Idempotency::kIdempotent, bool apart = true) {
  Settings s;
  s.seed = 1;
  s.instanceCount = 1;
  s.zone = 0;
  s.batchIntervalMs = 5;
  s.classes = {classOf(repeat)};
  s.maxConcurrentCalls = 20;
  s.maxPendingRequests = 200;
  s.maxAttempts = 6;
  s.maxRetryAfterMs = 3000;
  s.connectTimeoutMs = 1000;
  s.kindHasSeparateLimits = {apart};
  s.kindBatchSize = {1};
  s.listRetryMs = 10000;
  s.slowStartShare = 0.2;
  s.slowStartMs = 10000;
  s.overloadFactor = 2;
  s.overloadWindowMs = 2000;
  return s;
}

inline EndpointInfo entry(const std::string& target, std::int64_t dest = 1, int zone = 0,
                          EndpointState state = EndpointState::kRunning) {
  return {target, zone, 0, dest, state, 1};
}

// Plays batches against one dispatcher and keeps what it did.
struct DispatcherFixture {
  explicit DispatcherFixture(const Settings& s) : d(s) {}
  std::vector<Action> at(double t, std::vector<Event> events = {}) {
    now = t;
    auto actions = d.onBatch(t, events);
    for (const auto& a : actions) {
      if (const auto* s = std::get_if<SendAction>(&a)) {
        sends.push_back(*s);
        attempts[s->id]++;
        inFlight.push_back(s->id);
      }
      if (const auto* r = std::get_if<RejectAction>(&a)) refused.push_back(r->id);
      if (const auto* f = std::get_if<FailAction>(&a)) failed.push_back(f->id);
    }
    return actions;
  }
  Event message(const std::string& id, std::int64_t dest = 1, int cls = 0, const std::string& key = "") {
    RequestEvent m;
    m.id = id;
    m.classIndex = cls;
    m.destination = dest;
    m.deadlineMs = now + 20000;
    m.orderKey = key;
    return m;
  }
  Event outcome(const std::string& id, Outcome o, std::int64_t detail = 0) {
    OutcomeEvent e;
    e.id = id;
    e.attempt = attempts[id] - 1;
    e.outcome = o;
    e.retryAfterMs = detail;
    e.completed = o == Outcome::kSuccess;
    for (const auto& s : sends)
      if (s.id == id) e.endpoint = s.endpoint;
    return e;
  }
  // Lets time pass in steps until `until`, answering nothing.
  void pass(double until, double step = 50) {
    for (double t = now + step; t <= until; t += step) at(t);
  }
  int sendsOf(const std::string& id) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [&](const auto& s) { return s.id == id; }));
  }
  Dispatcher d;
  double now = 0;
  std::vector<SendAction> sends;
  std::map<std::string, int> attempts;
  std::vector<std::string> refused, failed;
  std::vector<std::string> inFlight;  // sent; whoever answers the calls empties it
};

inline std::string numbered(int i) { return std::string("m").append(std::to_string(i)); }

inline EndpointListEvent snapshot(std::vector<EndpointInfo> entries) {
  return {ListUpdateKind::kSnapshot, std::move(entries)};
}

inline Settings priced(int batch) {
  Settings s = plainSettings();
  s.kindBatchSize = {batch};
  s.zoneCosts = {0, 0.06};
  s.ratingKind = RatingKind::kNominal;
  return s;
}
inline std::vector<EndpointInfo> leadAndDear(double leadPerS) {
  std::vector<EndpointInfo> entries = {entry("a", 1, 0), entry("b", 1, 1)};
  entries[0].rating = entries[1].rating = leadPerS;
  return entries;
}

}  // namespace myrtleloft
