// Set-up of a drawn scenario, the batches of its relays, and the outcomes of their calls.
#include "tests/policy/drawn_scenario.h"

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

#include "lab/cold_budget.h"

namespace myrtleloft::testing {

DrawnScenario::DrawnScenario(std::uint64_t seed, bool invalidEvents)
    : seed_(seed), random_(seed), invalidEvents_(invalidEvents) {
  settings_.instanceCount = 1 + random_.below(3);
  settings_.zone = random_.below(2);
  settings_.batchIntervalMs = kTickMs;
  settings_.maxConcurrentCalls = 3 + random_.below(12);
  settings_.maxPendingRequests = 20 + random_.below(100);
  settings_.maxAttempts = random_.chance(0.5) ? 12 : 3 + random_.below(9);
  settings_.maxRetryAfterMs = 3000;
  settings_.connectTimeoutMs = 1500;
  settings_.connectionIdleMs = 10000;
  settings_.mayCancel = random_.chance(0.7);
  settings_.kindHasSeparateLimits = {true, random_.chance(0.5)};
  settings_.kindBatchSize = {random_.chance(0.5) ? 10 : 1, 1};
  settings_.zoneCosts = {0, 0.03};
  settings_.slowStartShare = 0.14;
  settings_.slowStartMs = 11000;
  settings_.overloadFactor = 2.5;
  settings_.overloadWindowMs = 2000;
  settings_.orderHoldAfterAmbiguityMs = 400;
  settings_.weightDecay = WeightDecay::kHalving;
  settings_.ratingKind = random_.chance(0.6) ? RatingKind::kRough : RatingKind::kNone;
  const auto add = [&](Idempotency idempotency, DeduplicationScope scope, double limitMs, double spanMs,
                       double weight) {
    ClassSettings classSettings;
    classSettings.idempotency = idempotency;
    classSettings.deduplicationScope = scope;
    classSettings.latencyObjectiveMs = 2000;
    classSettings.maxLifetimeMs = limitMs;
    classSettings.idempotencyWindowMs = spanMs;
    classSettings.priorityWeight = weight;
    classSettings.lateWeight = 0.5;
    settings_.classes.push_back(classSettings);
  };
  add(Idempotency::kIdempotent, DeduplicationScope::kDestination, 16000, 5000, 1);
  add(Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 28000, 15000, 2);
  add(Idempotency::kIdempotentWithKey, DeduplicationScope::kZone, 20000, 4000, 2);
  add(Idempotency::kNonIdempotent, DeduplicationScope::kDestination, 28000, 5000, 5);
  add(Idempotency::kIdempotent, DeduplicationScope::kDestination, 16000, 5000, 1);
  settings_.classes.back().orderedByKey = true;
  build();
}

std::string DrawnScenario::run() {
  for (now_ = 0; now_ < kEndMs && violation_.empty(); now_ += kTickMs) {
    if (now_ < kLastArrivalMs) addEvents();
    for (std::size_t i = 0; i < relays_.size() && violation_.empty(); ++i) runBatch(i);
  }
  if (violation_.empty())
    for (const Relay& relay : relays_)
      if (!relay.checker->allCompleted()) violation_ = "a request was never completed";
  return violation_.empty() ? "" : "seed " + std::to_string(seed_) + ": " + violation_;
}

void DrawnScenario::build() {
  const int destinations = 2 + random_.below(3);
  for (int destination = 1; destination <= destinations; ++destination) {
    const int kind = random_.below(2);
    const bool separateLimits = settings_.kindHasSeparateLimits[static_cast<std::size_t>(kind)];
    const int endpoints = 1 + random_.below(3);
    for (int number = 0; number < endpoints; ++number) {
      if (number == 0 || separateLimits) addUpstream();
      addEndpoint(destination, kind);
    }
  }
  loadShare_ = random_.between(0.3, 0.75);
  for (int i = 0; i < settings_.instanceCount; ++i) {
    Relay& relay = relays_.emplace_back();
    start(relay, i);
    notify(relay, {ListUpdateKind::kCached, completeList()}, 0);
  }
}

void DrawnScenario::addEndpoint(std::int64_t destination, int kind) {
  ListedEndpoint listed;
  listed.endpointId = "e" + std::to_string(++lastEndpoint_);
  listed.destination = destination;
  listed.zone = random_.below(2);
  listed.kind = kind;
  listed.upstream = upstreams_.size() - 1;
  listed_.push_back(listed);
  everListed_[listed.endpointId] = listed;
}

void DrawnScenario::addUpstream() {
  Upstream& upstream = upstreams_.emplace_back();
  upstream.callsPerSecond = random_.between(2.5, 9);
  upstream.latencyMs = random_.between(60, 260);
  upstream.statesRetryAfter = random_.chance(0.5);
  if (random_.chance(0.6)) {
    constexpr Upstream::Fault kAll[] = {Upstream::Fault::kDown, Upstream::Fault::kSilent,
                                        Upstream::Fault::kShut, Upstream::Fault::kFailing};
    upstream.fault = kAll[random_.below(4)];
    upstream.outageStartMs = random_.between(12000, 25000);
    upstream.outageEndMs = upstream.outageStartMs + random_.between(6000, 14000);
  }
}

std::vector<EndpointInfo> DrawnScenario::completeList() const {
  std::vector<EndpointInfo> all;
  for (const ListedEndpoint& listed : listed_) all.push_back(entryFor(listed));
  return all;
}

void DrawnScenario::start(Relay& relay, int number) {
  Settings settings = settings_;
  settings.instanceIndex = number;
  settings.seed = seed_ * 1000 + static_cast<std::uint64_t>(number) + 100 * ++starts_;
  relay.startedMs = now_;
  relay.dispatcher = std::make_unique<Dispatcher>(settings);
  if (!relay.checker) relay.checker = std::make_unique<InvariantChecker>(settings);
}

void DrawnScenario::runBatch(std::size_t i) {
  Relay& relay = relays_[i];
  std::vector<Event> events;
  while (!relay.scheduledEvents.empty() && relay.scheduledEvents.begin()->first <= now_) {
    events.push_back(std::move(relay.scheduledEvents.begin()->second));
    relay.scheduledEvents.erase(relay.scheduledEvents.begin());
  }
  if (events.empty()) return;
  relay.checker->begin(now_);
  for (const Event& event : events) relay.checker->observe(event);
  std::vector<std::pair<SendAction, int>> sent;
  for (const Action& action : relay.dispatcher->onBatch(now_, events)) {
    relay.checker->observe(action);
    if (!relay.checker->violation.empty()) break;
    if (const auto* timer = std::get_if<TimerAction>(&action))
      relay.scheduledEvents.emplace(now_ + std::max(kTickMs, std::ceil(timer->delayMs / kTickMs) * kTickMs),
                                    TimerEvent{timer->token});
    if (const auto* send = std::get_if<SendAction>(&action))
      sent.emplace_back(*send, relay.checker->attemptsOf(send->id) - 1);
  }
  relay.checker->finish();
  if (!relay.checker->violation.empty()) {
    violation_ = "relay " + std::to_string(i) + ": " + relay.checker->violation;
    return;
  }
  std::map<std::string, std::vector<std::pair<SendAction, int>>> byEndpoint;
  for (auto& sendAndAttempt : sent)
    byEndpoint[sendAndAttempt.first.endpoint].push_back(std::move(sendAndAttempt));
  for (const auto& [endpointId, items] : byEndpoint) call(relay, everListed_.at(endpointId), items);
  completions += std::exchange(relay.checker->completions, 0);
  sends += std::exchange(relay.checker->sends, 0);
  rejections += std::exchange(relay.checker->rejections, 0);
  repeatedAttempts += std::exchange(relay.checker->repeatedAttempts, 0);
}

void DrawnScenario::call(Relay& relay, const ListedEndpoint& endpoint,
                         const std::vector<std::pair<SendAction, int>>& items) {
  const auto batch =
      static_cast<std::size_t>(settings_.kindBatchSize[static_cast<std::size_t>(endpoint.kind)]);
  for (std::size_t first = 0; first < items.size(); first += batch) {
    const std::size_t last = std::min(items.size(), first + batch);
    Upstream& upstream = upstreams_[endpoint.upstream];
    const auto sawFailure = relay.failedAt.find(endpoint.upstream);
    recordArrival(upstream, sawFailure != relay.failedAt.end() && sawFailure->second < now_);
    const auto [outcome, latencyMs, retryAfterMs] = drawOutcome(upstream);
    for (std::size_t i = first; i < last; ++i) {
      const auto& [send, attempt] = items[i];
      OutcomeEvent event;
      event.id = send.id;
      event.attempt = attempt;
      event.endpoint = send.endpoint;
      event.outcome = outcome;
      event.retryAfterMs = retryAfterMs;
      if (send.timeoutMs < latencyMs) event.outcome = Outcome::kTimeout, event.retryAfterMs = 0;
      event.completed = event.outcome == Outcome::kSuccess;
      const double atMs = std::floor((now_ + std::min(send.timeoutMs, latencyMs)) / kTickMs + 1) * kTickMs;
      relay.scheduledEvents.emplace(atMs, event);
      if (!upstream.inOutage(now_) || event.completed) continue;
      double& firstMs = relay.failedAt.try_emplace(endpoint.upstream, atMs).first->second;
      firstMs = std::min(firstMs, atMs);
    }
  }
}

DrawnScenario::DrawnOutcome DrawnScenario::drawOutcome(Upstream& upstream) {
  const double callLatencyMs = random_.between(0.5, 1.5) * upstream.latencyMs;
  if (upstream.inOutage(now_)) {
    switch (upstream.fault) {
      case Upstream::Fault::kDown:
        return {Outcome::kConnectFailed, random_.chance(0.5) ? 20.0 : 1500.0, 0};
      case Upstream::Fault::kSilent:
        return {Outcome::kTimeout, 1e9, 0};
      case Upstream::Fault::kShut:
        return {Outcome::kRejected, 30, upstream.statesRetryAfter ? 300 + random_.below(700) : 0};
      case Upstream::Fault::kFailing:
        if (random_.chance(0.85)) return {Outcome::kFailure, callLatencyMs, 0};
        break;
      case Upstream::Fault::kNone:
        break;
    }
  }
  const int second = static_cast<int>(now_ / 1000);
  if (second != upstream.second) upstream.second = second, upstream.callsInSecond = 0;
  if (++upstream.callsInSecond > std::max(1.0, upstream.callsPerSecond))
    return {Outcome::kRejected, 30,
            upstream.statesRetryAfter ? (second + 1) * 1000 - static_cast<int>(now_) : 0};
  if (random_.chance(0.004)) return {Outcome::kReset, callLatencyMs, 0};
  if (random_.chance(0.004)) return {Outcome::kFailure, callLatencyMs, 0};
  return {Outcome::kSuccess, callLatencyMs, 0};
}

void DrawnScenario::recordArrival(Upstream& upstream, bool sawFailure) {
  if (now_ < upstream.outageEndMs || now_ > upstream.outageEndMs + settings_.slowStartMs) return;
  ++coldArrivals;
  upstream.window.push_back({now_, sawFailure});
  while (upstream.window.front().atMs <= now_ - settings_.overloadWindowMs) upstream.window.pop_front();
  const double windowStartMs = std::max(upstream.outageEndMs, now_ - settings_.overloadWindowMs);
  double expectedCalls = 0;
  for (double atMs = windowStartMs; atMs < windowStartMs + settings_.overloadWindowMs; atMs += 50)
    expectedCalls +=
        upstream.callsPerSecond * 0.05 * settings_.overloadFactor *
        std::min(1.0, settings_.slowStartShare + (1 - settings_.slowStartShare) *
                                                     (atMs - upstream.outageEndMs) / settings_.slowStartMs);
  const auto all = static_cast<double>(upstream.window.size());
  const auto bySawFailure =
      static_cast<double>(std::count_if(upstream.window.begin(), upstream.window.end(),
                                        [](const auto& arrival) { return arrival.sawFailure; }));
  if (all > lab::coldBudget(expectedCalls) && 3 * bySawFailure >= 2 * all)
    violation_ = "a cold return is overrun: " + std::to_string(upstream.window.size()) + " calls in " +
                 std::to_string(settings_.overloadWindowMs) + " ms up to " + std::to_string(now_) + ", " +
                 std::to_string(expectedCalls) + " are taken";
}

}  // namespace myrtleloft::testing
