// One relay of a simulated fleet: its replication, state folder and journal, and the request handling around
// them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "copies/copies.h"
#include "tests/copies_referee.h"

namespace myrtleloft {

class SimulatedRelay {
 public:
  struct World {
    std::function<void(const std::string& from, OutgoingMessage send)> send;
    std::function<void(const std::string& at, double inMs, std::function<void()>)> schedule;
    std::function<std::uint32_t()> random;
    ReplicationChecker* checker = nullptr;
  };

  SimulatedRelay(ReplicationSetup setup, double rate, World world)
      : setup_(std::move(setup)), rate_(rate), offsetMs_(world.random() % 100000), world_(std::move(world)) {}

  const std::string& name() const { return setup_.name; }
  bool up() const { return replication_.has_value(); }
  const Replication& replication() const { return *replication_; }
  Incarnation incarnation() const { return setup_.self; }
  void start(double realMs);
  void crash(bool losesStateFolder);
  // The next execution of a step stops after this number of stores, as if the process had been killed.
  void crashAfterWrites(std::size_t stores) { writesUntilCrash_ = stores; }
  void tick(double realMs);
  void deliver(double realMs, const std::string& from, FleetKind kind, const std::string& payload);
  void onHeartbeat(double realMs, const std::string& from, Incarnation incarnation);
  void request(double realMs, const std::string& id);
  bool settled() const;

 private:
  enum class Phase { kReplicating, kPending, kAttempting, kSending, kInFlight };
  struct Item {
    LedgerId ledger;
    Phase phase = Phase::kReplicating;
    std::uint64_t position = 0;
    double fromMs = 0;
    PendingRequest pendingRequest;
  };
  static bool nonIdempotent(const std::string& id) { return id.front() == 'o'; }
  double clock(double realMs) const { return offsetMs_ + realMs * rate_; }
  void execute(double realMs, ReplicationStep& step);
  void onEvent(double realMs, ReplicationEvent& event);
  void advance(double realMs, const std::string& id);
  void firstByte(double realMs, const std::string& id);
  void onOutcome(double realMs, const std::string& id, bool ok);
  void finish(double realMs, const std::string& id);
  std::uint64_t record(double realMs, Item& item, const Record& record, bool flushNow);

  ReplicationSetup setup_;
  double rate_, offsetMs_;
  World world_;
  StoredEntries folder_;
  std::map<LedgerId, PendingTable> journal_;
  std::optional<Replication> replication_;
  std::map<std::string, Item> requests_;
  std::map<LedgerId, std::vector<std::pair<std::uint64_t, std::string>>> pendingCompletions_;
  struct LastHeartbeat {
    double atMs = -1e9;
    Incarnation incarnation;
  };
  std::map<std::string, LastHeartbeat> lastHeartbeats_;
  std::optional<std::size_t> writesUntilCrash_;
};

}  // namespace myrtleloft
