// Checks that the decision module of one relay keeps all rules for its actions: it observes the events and
// actions of each batch, and records the first violation. It is independent of how decisions are made.
//
//   InvariantChecker checker(settings);
//   checker.begin(nowMs);                        // starts a batch
//   checker.observe(event);                      // each event, before it is passed to the module
//   checker.observe(action);                     // each action, in order
//   checker.finish();                            // checks what must hold between batches
//   if (!checker.violation.empty()) ...          // names the rule, the request and the time
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft::testing {

constexpr int kMaxAttempts = 12;
constexpr int kMaxAmbiguousAttempts = 3;  // attempts of one request that may have been executed
constexpr double kDrainMs = 2000, kAnswerSlackMs = 20;

class InvariantChecker {
 public:
  explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

  std::string violation;
  std::size_t completions = 0, sends = 0, rejections = 0, repeatedAttempts = 0;

  void begin(double nowMs);

  void observe(const Event& event) {
    std::visit([this](const auto& each) { on(each); }, event);
  }
  void observe(const Action& action) {
    std::visit([this](const auto& each) { on(each); }, action);
  }

  void finish();

  // The process has ended, and attempts in flight may have been executed. Returns the pending requests, which
  // the next process must get.
  std::vector<RequestEvent> restart();
  bool isPending(const std::string& id) const {
    const auto at = requests_.find(id);
    return at != requests_.end() && !at->second.completed;
  }
  bool allCompleted() const {
    return std::all_of(requests_.begin(), requests_.end(),
                       [](const auto& entry) { return entry.second.completed; });
  }
  std::size_t callsInFlight() const { return calls_.size(); }
  int attemptsOf(const std::string& id) const { return requests_.at(id).attempts; }

 private:
  struct TrackedRequest {
    int classIndex = 0;
    std::int64_t destination = 0;
    std::string orderKey, endpointId;
    double deadlineMs = 0, sentMs = 0;
    int attempts = 0, attemptInFlight = -1, call = -1, zone = 0;
    std::vector<AmbiguousAttempt> ambiguousAttempts;
    bool completed = false;
  };
  struct KnownEndpoint {
    std::int64_t destination = 0;
    int zone = 0, kind = 0;
    double closedAtMs = -1;  // when it was listed as draining or removed; -1 if neither
  };
  struct OrderedQueue {
    std::deque<std::string> ids;
    double pausedUntilMs = -1e18;
  };

  void reportViolation(const std::string& rule, const std::string& id);
  ClassSettings classOf(const TrackedRequest& request) const {
    const bool known =
        request.classIndex >= 0 && static_cast<std::size_t>(request.classIndex) < settings_.classes.size();
    return known ? settings_.classes[static_cast<std::size_t>(request.classIndex)] : ClassSettings();
  }
  bool separateLimits(int kind) const {
    return kind >= 0 && static_cast<std::size_t>(kind) < settings_.kindHasSeparateLimits.size() &&
           settings_.kindHasSeparateLimits[static_cast<std::size_t>(kind)];
  }
  std::string upstreamOf(const std::string& endpointId) const {
    const KnownEndpoint& known = endpoints_.at(endpointId);
    return separateLimits(known.kind) ? "endpoint " + endpointId
                                      : "destination " + std::to_string(known.destination);
  }
  void recordAmbiguous(TrackedRequest& request) {
    request.ambiguousAttempts.push_back({request.zone, request.sentMs});
  }
  // Whether no further attempt is permitted, whatever events follow.
  bool exhausted(const TrackedRequest& request) const;

  void on(const RequestEvent& event);
  void on(const OutcomeEvent& event);
  void on(const EndpointListEvent& event);
  void on(const ClientDisconnectEvent& event);
  void on(const TimerEvent&) {}

  void complete(const std::string& id, TrackedRequest& request);
  void removeFromOrderedQueue(const std::string& id, const TrackedRequest& request);

  void on(const SendAction& action);
  void on(const RejectAction& action);
  void on(const FailAction& action);
  template <typename Check>
  void recordFinalAnswer(const std::string& id, const Check& check) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.completed) return reportViolation("second answer", id);
    if (at->second.attemptInFlight >= 0) reportViolation("answer while an attempt is in flight", id);
    check(at->second, classOf(at->second));
    complete(id, at->second);
    removeFromOrderedQueue(id, at->second);
  }
  void on(const CancelAction& action);
  void on(const TimerAction& action);
  template <typename Other>
  void on(const Other&) {}

  Settings settings_;
  double now_ = 0;
  std::map<std::string, TrackedRequest> requests_;
  std::map<std::string, KnownEndpoint> endpoints_;
  std::map<std::string, double> retryAfterUntilMs_;
  std::vector<std::pair<std::string, double>> newRetryAfterUntilMs_;
  std::map<std::string, std::pair<int, int>> callsInBatch_;
  std::map<int, int> calls_;  // by call in flight: number of its requests without an outcome
  std::map<std::string, OrderedQueue> orderedQueues_;
  int lastCall_ = 0;
};

}  // namespace myrtleloft::testing
