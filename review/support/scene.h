// The parts of a case together: one relay, its agent and its clients, on one loop.
//
//   Scene scene("review/1/record.txt");
//   Endpoint endpoint(scene.hub, scene.record, "s-1", 7);
//   scene.agent.setEndpoints({endpoint.entry()});
//   if (!scene.startRelay()) return kCouldNotRun;
//   scene.client.submit(scene.relay().listenAddress(), {...});
//   scene.runFor(2000);
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "lab/hub.h"
#include "review/support/agent.h"
#include "review/support/client.h"
#include "review/support/record.h"
#include "review/support/relay.h"

namespace myrtleloft::review {

class Scene {
 public:
  static constexpr int kReadyWithinMs = 30000;  // the deployment page: clients come after 30 s at the latest

  explicit Scene(const std::string& recordPath)
      : record(recordPath), agent(hub, record), client(hub, record) {}

  // Starts the relay, the first time with these settings (JSON; "" for the default ones), and waits until it
  // is ready. False: it did not get ready.
  bool startRelay(const std::string& settings = "") {
    if (!relay_) {
      RelayOptions options{.agentAddress = agent.address(), .known = agent.wholeList(), .settings = settings};
      relay_ = std::make_unique<Relay>(hub, record, std::move(options));
    }
    relay_->start();
    return runUntil([this] { return relay_->ready(); }, kReadyWithinMs);
  }
  Relay& relay() { return *relay_; }

  // Turns the loop until `done`; false after `limitMs`.
  bool runUntil(const std::function<bool()>& done, double limitMs) {
    const double until = steadyMs() + limitMs;
    while (!done()) {
      if (steadyMs() > until) return false;
      turn();
    }
    return true;
  }
  void runFor(double ms) {
    runUntil([] { return false; }, ms);
  }

  lab::Hub hub;
  Record record;
  Agent agent;
  Client client;
  std::function<void()> eachTurn;  // what a case does besides

 private:
  void turn() {
    hub.turn(1);
    agent.turn();
    client.turn();
    if (eachTurn) eachTurn();
  }

  std::unique_ptr<Relay> relay_;
};

}  // namespace myrtleloft::review
