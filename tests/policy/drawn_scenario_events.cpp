// The events of a drawn scenario: arrivals, list changes, restarts and invalid events.
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

#include "tests/policy/drawn_scenario.h"

namespace myrtleloft::testing {

void DrawnScenario::addEvents() {
  while (nextArrivalMs_ <= now_) {
    nextArrivalMs_ += random_.exponential(1000 / (loadShare_ * capacity()));
    addRequest(relays_[static_cast<std::size_t>(random_.below(settings_.instanceCount))]);
  }
  if (random_.chance(kTickMs / 6000)) changeList();
  if (random_.chance(kTickMs / 30000))
    restart(relays_[static_cast<std::size_t>(random_.below(settings_.instanceCount))]);
  if (invalidEvents_ && random_.chance(0.1))
    addInvalidEvent(relays_[static_cast<std::size_t>(random_.below(settings_.instanceCount))]);
}

void DrawnScenario::addRequest(Relay& relay) {
  RequestEvent event;
  event.id = "m" + std::to_string(++lastRequest_);
  event.classIndex = random_.below(static_cast<int>(settings_.classes.size()));
  event.destination = drawDestination();
  event.deadlineMs = now_ + settings_.classes[static_cast<std::size_t>(event.classIndex)].maxLifetimeMs;
  if (settings_.classes[static_cast<std::size_t>(event.classIndex)].orderedByKey)
    event.orderKey = "k" + std::to_string(random_.below(4));
  relay.recent.push_back(event.id);
  if (relay.recent.size() > 50) relay.recent.erase(relay.recent.begin());
  if (random_.chance(0.02))
    relay.scheduledEvents.emplace(now_ + random_.between(0, 3000), ClientDisconnectEvent{event.id});
  relay.scheduledEvents.emplace(now_, std::move(event));
}

std::int64_t DrawnScenario::drawDestination() {
  double draw = random_.between(0, capacity());
  std::set<std::size_t> counted;
  for (const ListedEndpoint& listed : listed_) {
    if (!counted.insert(listed.upstream).second) continue;
    draw -= upstreams_[listed.upstream].callsPerSecond;
    if (draw <= 0) return listed.destination;
  }
  return listed_.back().destination;
}

double DrawnScenario::capacity() const {
  double sum = 0;
  std::set<std::size_t> counted;
  for (const ListedEndpoint& listed : listed_)
    if (counted.insert(listed.upstream).second) sum += upstreams_[listed.upstream].callsPerSecond;
  return sum;
}

void DrawnScenario::changeList() {
  std::vector<EndpointInfo> changed;
  if (listed_.size() > 2 && random_.chance(0.5)) {
    const auto at = listed_.begin() + random_.below(static_cast<int>(listed_.size()));
    changed.push_back(
        entryFor(*at, random_.chance(0.5) ? EndpointState::kDraining : EndpointState::kRemoved));
    listed_.erase(at);
  } else {
    const ListedEndpoint sample =
        listed_[static_cast<std::size_t>(random_.below(static_cast<int>(listed_.size())))];
    if (settings_.kindHasSeparateLimits[static_cast<std::size_t>(sample.kind)]) {
      addUpstream();
      upstreams_.back().fault = Upstream::Fault::kNone;
      upstreams_.back().outageStartMs = upstreams_.back().outageEndMs = 1e18;
      addEndpoint(sample.destination, sample.kind);
    } else {
      addEndpoint(sample.destination, sample.kind);
      listed_.back().upstream = everListed_[listed_.back().endpointId].upstream = sample.upstream;
    }
    changed.push_back(entryFor(listed_.back()));
  }
  for (Relay& relay : relays_) {
    const double delayMs = random_.between(0, 500);
    if (random_.chance(0.8))
      notify(relay, {ListUpdateKind::kDelta, changed}, delayMs);
    else
      notify(relay, {ListUpdateKind::kSnapshot, completeList()}, delayMs);
  }
}

void DrawnScenario::restart(Relay& relay) {
  const auto number = static_cast<int>(&relay - relays_.data());
  std::multimap<double, Event> remaining;
  for (auto& [at, event] : relay.scheduledEvents)
    if (!std::holds_alternative<TimerEvent>(event) && !std::holds_alternative<OutcomeEvent>(event))
      remaining.emplace(at, std::move(event));
  relay.scheduledEvents = std::move(remaining);
  relay.failedAt.clear();
  start(relay, number);
  // Precedes all events of its clients since.
  notify(relay, {ListUpdateKind::kCached, completeList()}, -2 * kTickMs);
  for (RequestEvent& event : relay.checker->restart())
    relay.scheduledEvents.emplace(now_ - kTickMs, std::move(event));
}

void DrawnScenario::addInvalidEvent(Relay& relay) {
  const auto schedule = [&](Event event) { relay.scheduledEvents.emplace(now_, std::move(event)); };
  const std::string known =
      relay.recent.empty()
          ? "none"
          : relay.recent[static_cast<std::size_t>(random_.below(static_cast<int>(relay.recent.size())))];
  switch (random_.below(10)) {
    case 0: {  // outcome of an unknown attempt
      OutcomeEvent event;
      event.id = random_.chance(0.5) ? known : "stranger";
      event.attempt = random_.below(3) == 0 ? -7 : 1000 + random_.below(9);
      event.outcome = static_cast<Outcome>(random_.below(8));
      event.retryAfterMs = random_.chance(0.5) ? -5 : 1LL << 60;
      return schedule(event);
    }
    case 1:
      return schedule(ClientDisconnectEvent{"stranger"});
    case 2:
      return schedule(TimerEvent{static_cast<std::uint64_t>(random_.below(1000))});
    case 3:
      return schedule(EndpointListEvent{ListUpdateKind::kError, {}});
    case 4: {  // request with an unknown class or destination, a past deadline, or an invalid effort
      RequestEvent event;
      event.id = "odd" + std::to_string(++lastRequest_);
      event.classIndex = random_.below(3) - 1 + 100 * random_.below(2);
      event.destination = random_.below(2) ? -1 : 1;
      event.deadlineMs = now_ + random_.between(-9000, 9000);
      event.effortMs = random_.chance(0.5) ? -1e9 : 1e9;
      event.orderKey = "k0";
      return schedule(event);
    }
    case 5: {  // request with an id that is already pending
      RequestEvent event;
      event.id = known;
      event.destination = 1;
      event.deadlineMs = now_ + 1000;
      // Scheduled before the request may be completed, as a request from before a restart may be at once.
      if (relay.checker->isPending(known) && relay.startedMs < now_)
        relay.scheduledEvents.emplace(now_ - kTickMs, std::move(event));
      return;
    }
    case 6: {  // endpoint listed twice, with an unknown zone and kind
      EndpointInfo invalid{"odd" + std::to_string(random_.below(5)), -3, -4, 77, EndpointState::kRunning, -1};
      return schedule(EndpointListEvent{ListUpdateKind::kDelta, {invalid, invalid}});
    }
    case 7: {  // removal of an unknown endpoint
      EndpointInfo invalid{
          "never" + std::to_string(random_.below(1000)), 0, 0, 78, EndpointState::kRemoved, 1};
      return schedule(EndpointListEvent{ListUpdateKind::kDelta, {invalid}});
    }
    case 8:
      return schedule(EndpointListEvent{ListUpdateKind::kDelta, {}});
    default:  // a duplicate of an outcome, of which only the first counts
      for (const auto& [at, event] : relay.scheduledEvents)
        if (std::holds_alternative<OutcomeEvent>(event)) {
          relay.scheduledEvents.emplace(at, event);
          return;
        }
  }
}

}  // namespace myrtleloft::testing
