// Clients of a fleet, as PROTOCOL has them: each hands its message to a relay, gives up after so long without
// an answer, comes again under a fresh id after a fail-fast (X-Retried: 1, when it was told to) or when the
// relay died or was silent (X-Retried: again), while its time lasts.
//
//   FleetClients clients(witness, [&](const std::string& relay) { return addressOf(relay); });
//   clients.hand({.cls = "billing-charge", .destination = 7, .timeMs = 6000}, "n1");
//   hub.run([&] { clients.turn(); return clients.idle(); }, 20000);
//
// One thread; must outlive the hub's last turn.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/fleet_endpoint.h"

namespace myrtleloft::lab {

class FleetClients {
 public:
  struct Letter {
    std::string cls;
    int destination = 0;
    double timeMs = 0;  // from its first handing in
    std::string body = "hello";
    double untilMs = 0;  // the witness' clock; set by `hand`
    std::string key = {}, retried = {};
    int tries = 0;
  };
  using AddressOf = std::function<std::string(const std::string& relay)>;  // "": it is away
  // Comes again at the relay behind that one in `relays`, which is there.
  FleetClients(FleetWitness& witness, std::vector<std::string> relays, AddressOf addressOf)
      : witness_(witness), relays_(std::move(relays)), addressOf_(std::move(addressOf)) {}

  void hand(Letter letter, const std::string& relay);
  void turn();
  // Nobody waits for an answer or means to come again.
  bool idle() const { return waiting_.empty() && again_.empty(); }

  double patienceMs = 400;
  // Of ten requests, how many go on a connection that rests since an earlier answer, where there is one.
  int reusedOfTen = 0;

 private:
  static constexpr int kMostTries = 4;
  struct Waiting {
    Letter letter;
    std::string id, relay;
    double sinceMs = 0;
    bool reused = false;  // its connection had carried others
  };
  struct Again {
    double atMs = 0;
    Letter letter;
    std::string relay;
  };
  // Whether it can be asked: it has an address, or a connection to it rests that is open.
  bool reachable(const std::string& relay);
  // On a resting connection to that relay, or a new one.
  Hub::Id connectionTo(const std::string& relay, bool fresh, bool& reused);
  void write(Letter letter, const std::string& id, const std::string& relay, bool fresh);
  void onAnswer(Hub::Id from, const Message& m);
  void onClosed(Hub::Id from);
  void over(Hub::Id from, Saw saw, const std::string& retried, double afterMs);

  FleetWitness& witness_;
  std::vector<std::string> relays_;
  AddressOf addressOf_;
  std::map<Hub::Id, Waiting> waiting_;
  std::map<std::string, std::vector<Hub::Id>> resting_;  // by relay
  std::vector<Again> again_;
  int next_ = 0;
  bool closes_ = false;  // the answer that is being taken ends its connection
};

}  // namespace myrtleloft::lab
