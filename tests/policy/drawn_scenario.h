// A randomly drawn scenario: a few relays, each with its own decision module, with outages of several kinds,
// changes of the endpoint list, clients that disconnect, restarts and invalid events. An InvariantChecker
// checks each relay; the overload rule for recovering upstreams is checked here, across all relays. A seed
// determines the scenario, and is part of the description of a violation.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "myrtleloft/dispatcher.h"
#include "tests/policy/invariant_checker.h"

namespace myrtleloft::testing {

constexpr double kTickMs = 5, kLastArrivalMs = 60000, kEndMs = kLastArrivalMs + 35000;

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double between(double low, double high) { return low + (high - low) * unit(); }
  int below(int n) { return static_cast<int>(unit() * n); }
  bool chance(double probability) { return unit() < probability; }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }

 private:
  // Computed from the engine's bits, since the distributions of standard libraries differ.
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }
  std::mt19937_64 engine_;
};

// The unit to which a capacity limit applies: one endpoint, or all endpoints of a destination.
struct Upstream {
  enum class Fault { kNone, kDown, kSilent, kShut, kFailing };
  double callsPerSecond = 0;  // its full capacity
  double latencyMs = 150;
  bool statesRetryAfter = false;  // whether rejections state when there is capacity again
  Fault fault = Fault::kNone;
  double outageStartMs = 1e18, outageEndMs = 1e18;
  bool inOutage(double nowMs) const { return nowMs >= outageStartMs && nowMs < outageEndMs; }
  int second = -1, callsInSecond = 0;
  struct Arrival {
    double atMs = 0;
    bool sawFailure = false;
  };
  std::deque<Arrival> window;  // calls in the last overload window since the end of the outage
};

struct ListedEndpoint {
  std::string endpointId;
  std::int64_t destination = 0;
  int zone = 0, kind = 0;
  std::size_t upstream = 0;
};

class DrawnScenario {
 public:
  DrawnScenario(std::uint64_t seed, bool invalidEvents);

  // Returns a description of the first violation of a rule, or an empty text.
  std::string run();

  std::size_t completions = 0, sends = 0, rejections = 0, repeatedAttempts = 0, coldArrivals = 0;

 private:
  struct Relay {
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<InvariantChecker> checker;
    std::multimap<double, Event> scheduledEvents;
    std::map<std::size_t, double> failedAt;  // by upstream: time of the first failure seen
    std::vector<std::string> recent;
    double startedMs = 0;
  };

  void build();
  void addEndpoint(std::int64_t destination, int kind);
  void addUpstream();
  EndpointInfo entryFor(const ListedEndpoint& listed, EndpointState state = EndpointState::kRunning) const {
    return {listed.endpointId,  listed.zone, listed.kind,
            listed.destination, state,       upstreams_[listed.upstream].callsPerSecond};
  }
  std::vector<EndpointInfo> completeList() const;
  void start(Relay& relay, int number);
  void notify(Relay& relay, EndpointListEvent event, double delayMs) {
    relay.scheduledEvents.emplace(now_ + delayMs, std::move(event));
  }

  // ---- events of the scenario ----
  void addEvents();
  void addRequest(Relay& relay);
  // Draws a destination with a probability proportional to its capacity.
  std::int64_t drawDestination();
  double capacity() const;
  // Drains or removes an endpoint, or adds one. Each relay gets the change at a time of its own.
  void changeList();
  // Ends the relay's process and starts another with the pending requests. Calls in flight get no outcome.
  void restart(Relay& relay);
  void addInvalidEvent(Relay& relay);

  // ---- one batch of one relay ----
  void runBatch(std::size_t i);
  // Sends the requests in as many calls as the batch size requires; all requests of a call get the same
  // outcome.
  void call(Relay& relay, const ListedEndpoint& endpoint,
            const std::vector<std::pair<SendAction, int>>& items);
  struct DrawnOutcome {
    Outcome outcome;
    double latencyMs;
    std::int64_t retryAfterMs;
  };
  DrawnOutcome drawOutcome(Upstream& upstream);
  // Checks the overload rule for a call to a recovering upstream: in any window of overloadWindowMs it gets
  // at most overloadFactor times its current capacity, unless less than two thirds of the calls are from
  // relays that had seen a failure. lab/cold_budget.h has the tolerance for random variation.
  void recordArrival(Upstream& upstream, bool sawFailure);

  std::uint64_t seed_;
  Random random_;
  bool invalidEvents_;
  Settings settings_;
  double now_ = 0, nextArrivalMs_ = 100, loadShare_ = 0;
  int lastEndpoint_ = 0, lastRequest_ = 0;
  std::uint64_t starts_ = 0;
  std::vector<Upstream> upstreams_;
  std::vector<ListedEndpoint> listed_;                // currently on the list
  std::map<std::string, ListedEndpoint> everListed_;  // by endpoint id
  std::vector<Relay> relays_;
  std::string violation_;
};

}  // namespace myrtleloft::testing
