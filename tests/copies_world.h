// A simulated fleet under virtual time. Relays crash with and without loss of their state folder, stall, and
// lose links in one or both directions; messages are delayed, lost, duplicated and reordered; clocks drift. A
// run is determined by its seed.
//
//   SimulatedFleet world({3, 2}, seed);
//   world.run();
//   world.checker().violations         // violated invariants; empty if none
//
// A state folder is lost only while the fleet is healthy: every relay is up with an active acceptor, and
// every ledger is on all its replicas.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/copies_site.h"

namespace myrtleloft {

class SimulatedFleet {
 public:
  struct Plan {
    std::size_t relays = 3, replicaCount = 2;
    double faultsMs = 9000, quietMs = 7000;
  };
  SimulatedFleet(Plan plan, std::uint32_t seed);

  void run();
  const ReplicationChecker& checker() const { return checker_; }
  int lostFolderCount() const { return lostFolderCount_; }

 private:
  struct Event {
    double atMs;
    std::uint64_t number;
    std::string relay;  // deferred while this relay stalls; empty for events of the simulation
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::pair(atMs, number) > std::pair(other.atMs, other.number);
    }
  };

  void schedule(const std::string& relay, double inMs, std::function<void()> what);
  void send(const std::string& from, OutgoingMessage send);
  void tick(const std::string& relay);
  void fault();
  bool isCut(const std::string& from, const std::string& to) const {
    return linkCutUntil_.contains({from, to}) && nowMs() < linkCutUntil_.at({from, to});
  }
  double nowMs() const { return checker_.nowMs; }
  std::uint32_t randomBelow(std::uint32_t bound) { return static_cast<std::uint32_t>(random_()) % bound; }

  Plan plan_;
  std::mt19937 random_;
  ReplicationChecker checker_;
  std::vector<std::string> names_;
  std::map<std::string, std::unique_ptr<SimulatedRelay>> relays_;
  std::priority_queue<Event> events_;
  std::uint64_t number_ = 0;
  std::map<std::string, double> stalledUntil_;
  std::map<std::pair<std::string, std::string>, double> linkCutUntil_;
  std::map<std::pair<std::string, std::string>, double>
      lastDeliveryMs_;  // delivery time of the link's last message
  int requests_ = 0, lostFolderCount_ = 0;
};

}  // namespace myrtleloft
