#include "tests/copies_world.h"

#include <algorithm>

namespace myrtleloft {

SimulatedFleet::SimulatedFleet(Plan plan, std::uint32_t seed) : plan_(plan), random_(seed) {
  for (std::size_t i = 0; i < plan.relays; ++i) names_.push_back("n" + std::to_string(i));
  for (const std::string& name : names_) {
    ReplicationSetup setup;
    setup.name = setup.building = name;
    for (const std::string& other : names_)
      if (other != name) setup.others.push_back(other);
    setup.replicaCount = plan.replicaCount;
    setup.shards = 2;
    setup.leaseMs = 500;
    setup.takeoverStepMs = 150;
    const double rate = 1 + (static_cast<double>(randomBelow(100)) - 50) / 50 * setup.clockDriftShare / 2;
    relays_[name] = std::make_unique<SimulatedRelay>(
        std::move(setup), rate,
        SimulatedRelay::World{
            [this](const std::string& from, OutgoingMessage message) { send(from, std::move(message)); },
            [this](const std::string& at, double inMs, std::function<void()> what) {
              schedule(at, inMs, std::move(what));
            },
            [this] { return static_cast<std::uint32_t>(random_()); }, &checker_});
  }
}

void SimulatedFleet::schedule(const std::string& relay, double inMs, std::function<void()> what) {
  events_.push({nowMs() + inMs, number_++, relay, std::move(what)});
}

void SimulatedFleet::send(const std::string& from, OutgoingMessage send) {
  if (isCut(from, send.to) || randomBelow(100) < 2) return;
  const int times = randomBelow(100) < 3 ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    // Messages of a link arrive in order, except for some with a random delay.
    double inMs = randomBelow(50) == 0 ? randomBelow(600) : -1.0;
    if (inMs < 0) {
      double& last = lastDeliveryMs_[{from, send.to}];
      last = std::max(last, nowMs() + 1 + randomBelow(12));
      inMs = last - nowMs();
    }
    schedule(send.to, inMs,
             [this, from, send] { relays_[send.to]->deliver(nowMs(), from, send.kind, send.payload); });
  }
}

void SimulatedFleet::tick(const std::string& relay) {
  SimulatedRelay& simulatedRelay = *relays_[relay];
  simulatedRelay.tick(nowMs());
  schedule(relay, 15 + randomBelow(10), [this, relay] { tick(relay); });
}

void SimulatedFleet::fault() {
  if (nowMs() > plan_.faultsMs) return;
  schedule("", 100 + randomBelow(900), [this] { fault(); });
  const std::string one = names_[randomBelow(names_.size())], two = names_[randomBelow(names_.size())];
  SimulatedRelay& simulatedRelay = *relays_[one];
  const double durationMs = 100 + randomBelow(2000);
  switch (randomBelow(6)) {
    case 0:
      linkCutUntil_[{one, two}] = linkCutUntil_[{two, one}] = nowMs() + durationMs;
      break;
    case 1:
      linkCutUntil_[{one, two}] = nowMs() + durationMs;
      break;
    case 2:
      stalledUntil_[one] = nowMs() + durationMs;
      break;
    case 3:
      for (const std::string& other : names_)
        linkCutUntil_[{one, other}] = linkCutUntil_[{other, one}] = nowMs() + durationMs;
      break;
    default: {
      bool fleetHealthy = true;
      for (const auto& [name, relay] : relays_) fleetHealthy = fleetHealthy && relay->settled();
      if (!simulatedRelay.up()) break;
      const bool losesStateFolder = fleetHealthy && randomBelow(4) != 0;
      lostFolderCount_ += losesStateFolder ? 1 : 0;
      if (!losesStateFolder && randomBelow(2) == 0)
        simulatedRelay.crashAfterWrites(randomBelow(6));
      else
        simulatedRelay.crash(losesStateFolder);
      break;
    }
  }
}

void SimulatedFleet::run() {
  for (const std::string& name : names_) {
    relays_[name]->start(0);
    schedule(name, randomBelow(20), [this, name] { tick(name); });
  }
  std::function<void()> heartbeat = [&] {
    for (const std::string& from : names_) {
      if (!relays_[from]->up() || nowMs() < stalledUntil_[from]) continue;
      for (const std::string& to : names_) {
        if (to == from || isCut(from, to)) continue;
        const Incarnation self = relays_[from]->incarnation();
        schedule(to, 1 + randomBelow(10),
                 [this, from, to, self] { relays_[to]->onHeartbeat(nowMs(), from, self); });
      }
    }
    schedule("", 60, heartbeat);
  };
  std::function<void()> restart = [&] {
    for (const std::string& name : names_)
      if (!relays_[name]->up() && (nowMs() > plan_.faultsMs || randomBelow(12) == 0))
        relays_[name]->start(nowMs());
    schedule("", 100, restart);
  };
  std::function<void()> client = [&] {
    if (nowMs() > plan_.faultsMs) return;
    const std::string id = (randomBelow(2) ? "o" : "r") + std::to_string(requests_++);
    const std::string to = names_[randomBelow(names_.size())];
    schedule(to, 0, [this, to, id] { relays_[to]->request(nowMs(), id); });
    schedule("", 5 + randomBelow(60), client);
  };
  schedule("", 0, heartbeat);
  schedule("", 50, restart);
  schedule("", 300, client);
  schedule("", 1500, [this] { fault(); });
  while (checker_.violations.empty() && events_.top().atMs < plan_.faultsMs + plan_.quietMs) {
    Event event = events_.top();
    events_.pop();
    checker_.nowMs = event.atMs;
    if (nowMs() > plan_.faultsMs) {
      linkCutUntil_.clear();
      stalledUntil_.clear();
    }
    if (const auto stall = stalledUntil_.find(event.relay);
        stall != stalledUntil_.end() && nowMs() < stall->second) {
      event.atMs = stall->second;  // stalled events keep their order
      events_.push(std::move(event));
      continue;
    }
    event.what();
  }
  if (checker_.violations.empty()) checker_.checkAllAnswered();
}

}  // namespace myrtleloft
