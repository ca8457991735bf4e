// Replication of accepted requests among relays: this relay's decisions as owner, replica and acceptor. No
// I/O; time and a random seed are passed in.
//
//   Replication replication(setup, stored, recovered, nowMs, step);
//   replication.onMember({"n2", Standing::kAlive, incarnation, "east", 1});
//   replication.onTick(nowMs, step);                           // every few milliseconds
//   bool handled = replication.onMessage("n2", kind, payload, nowMs, step);
//   if (auto put = replication.accept(request, nowMs, step)) ...   // answer 202 at kDurable of put->position
//   auto at = replication.put(ledger, AttemptRecord{...}, true, nowMs, step);
//   if (replication.mayStartCall(ledger, *at, nowMs)) ...      // check just before sending the first byte
//
// After each call, perform `step.stores`, then `step.sends` and `step.events` (step.h). The design is
// described in docs/design/copies.md.
//
// A tick costs O(ledgers + registers); a record costs O(log n) and one message to each replica.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "copies/holder.h"
#include "copies/ledger.h"
#include "copies/placement.h"
#include "copies/proposer.h"
#include "copies/step.h"
#include "copies/takeover.h"
#include "copies/voter.h"
#include "fleet/members.h"

namespace myrtleloft {

struct ReplicationSetup {
  std::string name, building;
  Incarnation self;
  std::vector<std::string> others;  // all other relays of the fleet
  std::size_t replicaCount = 2;
  bool allowFewerReplicas = false;  // setting `when_short`: accept requests with fewer replicas
  std::uint32_t shards = 8;
  // A call may start up to `leaseMs` after its record was sent. A new owner waits for that time plus the
  // clock drift allowance: `clockDriftShare` is the largest relative drift between the clocks of two relays.
  double leaseMs = 2000, clockDriftShare = 0.01;
  double takeoverStepMs = 400;  // delay between the takeover attempts of successive candidates
  std::size_t capacityBytes = 8 << 20;
  double bytesPerMs = 4096;  // rate limit for copying tables to new replicas
  std::uint64_t seed = 1;
  std::function<double(const PendingRequest&)> priorityOf = [](const PendingRequest&) { return 1.0; };
};

struct ReplicationMember {
  std::string name;
  MemberState standing = MemberState::kUnknown;
  Incarnation incarnation;
  std::string building;
  double freeCapacity = 1;
};

class Replication {
 public:
  // `recovered`: the pending requests in the local journal, by ledger.
  Replication(ReplicationSetup setup, const StoredEntries& stored,
              std::map<LedgerId, std::vector<PendingRequest>> recovered, double nowMs, ReplicationStep& out);

  struct RecordPosition {
    LedgerId ledger;
    std::uint64_t position = 0;
  };

  void onMember(ReplicationMember member) { members_[member.name] = std::move(member); }
  void onTick(double nowMs, ReplicationStep& out);
  // Returns false if the message is malformed or of another kind.
  bool onMessage(const std::string& from, FleetKind kind, std::string_view payload, double nowMs,
                 ReplicationStep& out);
  // Returns std::nullopt if there are too few replicas now; the caller must reject the request.
  std::optional<RecordPosition> accept(PendingRequest request, double nowMs, ReplicationStep& out);
  // `flushNow`: send at once instead of with the next tick. Returns std::nullopt if this relay no longer owns
  // the ledger.
  std::optional<std::uint64_t> put(const LedgerId& ledger, const Record& record, bool flushNow, double nowMs,
                                   ReplicationStep& out);
  // Whether the records up to `position` are durable and the lease of the ledger has not expired.
  bool mayStartCall(const LedgerId& ledger, std::uint64_t position, double nowMs) const;
  // Reports that the requests of event kTakenOver are in the local journal and need not be read from a
  // replica after a restart.
  void onRequestsJournaled(const LedgerId& ledger, ReplicationStep& out);
  // Returns nullptr if this relay does not own the ledger.
  const LedgerState* owned(const LedgerId& ledger) const;
  const Acceptor& acceptor() const { return acceptor_; }
  const Replica& replica() const { return replica_; }
  // The number of shards that can accept requests.
  std::size_t openShardCount() const;
  // Whether all ledgers owned here have the configured number of complete replicas and no change is in
  // progress.
  bool settled() const;
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    acceptor_.fingerprint(ar);
    replica_.fingerprint(ar);
    for (const auto& [id, managed] : ledgers_) {
      ar(id, managed.stage, managed.proposedState, managed.reportedPosition);
      managed.proposer.fingerprint(ar);
      if (managed.ledger) managed.ledger->fingerprint(ar);
      if (managed.takeover) managed.takeover->fingerprint(ar);
    }
  }

 private:
  // The stage of a ledger that this relay owns, opens or takes over.
  enum class Stage : std::uint8_t {
    kOpening,          // a new ledger: creating its register
    kReadingRegister,  // a ledger of an earlier start: reading its register
    kResuming,         // still the owner: registering the new incarnation
    kAcquiring,        // another relay's ledger: proposing this relay as owner
    kFencing,          // fencing the replicas and reading the requests
    kOwned,
    kLost,
  };
  struct ManagedLedger {
    explicit ManagedLedger(Proposer initial) : proposer(std::move(initial)) {}
    Stage stage = Stage::kOpening;
    Proposer proposer;
    LedgerState proposedState;
    std::vector<PendingRequest> requests;  // pending requests recovered from the journal
    std::optional<Ledger> ledger;
    std::optional<Takeover> takeover;
    std::uint64_t reportedPosition = 0;  // durable position last reported by an event
  };

  ManagedLedger& beginLedger(const LedgerId& id, Stage stage);
  void propose(ManagedLedger& managed, LedgerState current, LedgerState desired, double nowMs,
               ReplicationStep& out);
  void onDecided(const LedgerId& id, ManagedLedger& managed, double nowMs, ReplicationStep& out);
  void becomeOwner(const LedgerId& id, ManagedLedger& managed, const LedgerState& state,
                   std::vector<PendingRequest> requests);
  // Drops a ledger that another relay owns.
  void abandon(const LedgerId& id, ManagedLedger& managed, ReplicationStep& out);
  void onFenceResponse(const std::string& from, const FenceResponse& response, double nowMs,
                       ReplicationStep& out);
  void reportDurable(const LedgerId& id, ManagedLedger& managed, ReplicationStep& out);
  void tickLedgers(double nowMs, ReplicationStep& out);
  void openShards(double nowMs, ReplicationStep& out);
  void takeOver(double nowMs, ReplicationStep& out);
  bool ownerIsGone(const LedgerState& state) const;
  bool isUsable(const RelayId& replica) const;
  std::vector<RelayId> replicasFor(const LedgerId& id, const Ledger* ledger) const;
  void deliverToSelf(double nowMs, ReplicationStep& out);
  bool handle(const std::string& from, FleetKind kind, std::string_view payload, double nowMs,
              ReplicationStep& out);
  bool isOwnedHere(const LedgerState& state) const {
    return state.owner == setup_.name && state.start.life == setup_.self.life;
  }
  std::uint64_t random();

  ReplicationSetup setup_;
  std::vector<std::string> relays_;  // all relays of the fleet, including this one
  Acceptor acceptor_;
  Replica replica_;
  std::map<std::string, ReplicationMember> members_;
  std::map<LedgerId, ManagedLedger> ledgers_;
  std::vector<std::optional<LedgerId>> shards_;
  std::uint32_t abandonedLedgers_ = 0;
  std::map<LedgerId, double> ownerGoneSinceMs_;
  double copyBudget_ = 0, lastTickMs_ = 0;
};

}  // namespace myrtleloft
