// A ledger at its owner: the pending requests, the replication streams to its replicas, the durable position
// and the lease for starting calls. No I/O; time is passed in. The caller runs the configuration register
// (copies.h).
//
//   Ledger ledger(id, state, requests, leaseMs);
//   const std::uint64_t at = ledger.put(record);          // ... ledger.flush(nowMs, step)
//   if (ledger.durablePosition() >= at) ...               // stored by the whole ensemble
//   if (ledger.mayStartCall(at, nowMs)) ...               // check immediately before sending the first byte
//   if (auto next = ledger.nextChange(nowMs)) ... ledger.applyDecision(*next)   // once the register decides
//
// A record is durable when every replica of the ensemble has acknowledged it. While a proposed ensemble
// change is undecided, all replicas of both ensembles must acknowledge. A fenced replica rejects records of
// the former owner, so every replica that acknowledged a record was not yet fenced. A new owner fences a
// replica before it reads from it and therefore reads all durable records. It then waits for more than
// `leaseMs` before it acts; the former owner starts a call only if less than `leaseMs` has passed since it
// first sent the latest message that all replicas have acknowledged.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "copies/contents.h"
#include "copies/messages.h"
#include "copies/step.h"
#include "copies/stream.h"

namespace myrtleloft {

class Ledger {
 public:
  Ledger(LedgerId id, LedgerState state, std::vector<PendingRequest> requests, double leaseMs);

  const LedgerId& id() const { return id_; }
  const LedgerState& state() const { return state_; }
  const PendingTable& pendingTable() const { return pendingTable_; }
  // Appends a record. Returns its position.
  std::uint64_t put(const Record& record);
  // Sends the records that were put since the last flush.
  void flush(double nowMs, ReplicationStep& out);
  // Returns 0 while the initial requests are not durable. They count as position 1.
  std::uint64_t durablePosition() const { return durablePosition_; }
  // Whether `position` is durable and the lease has not expired.
  bool mayStartCall(std::uint64_t position, double nowMs) const;
  // Sets the ensemble that `nextChange` should propose.
  void setDesiredEnsemble(std::vector<RelayId> ensemble) { desired_ = std::move(ensemble); }
  // Returns the state to propose to the register, or std::nullopt if no change is needed or possible now.
  // Until `applyDecision`, both ensembles must acknowledge. Each desired replica must have acknowledged
  // within the lease time: after a stall of this process, a replica may have lost its folder since its last
  // acknowledgment.
  std::optional<LedgerState> nextChange(double nowMs);
  void applyDecision(const LedgerState& state);
  void onCopyAck(const std::string& from, const CopyAck& ack);
  // `priorityOf`: requests with higher values are copied to a new replica first. `budget`: bytes of the table
  // that may be copied now; reduced by the bytes sent.
  void onTick(double nowMs, const std::function<double(const PendingRequest&)>& priorityOf,
              std::size_t& budget, ReplicationStep& out);
  // Whether the replica last reported that it has no free capacity.
  bool isFull(const RelayId& replica) const;
  // The number of replicas that have a complete table.
  std::size_t completeReplicas() const;
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    ar(state_, desired_, proposed_.has_value(), lastPosition_, durablePosition_, unsent_.size());
    for (const auto& [name, stream] : streams_) stream.fingerprint(ar);
    for (const auto& [request, pendingRequest] : pendingTable_.requests())
      ar(request, pendingRequest.attempts, pendingRequest.status);
  }

 private:
  template <typename Predicate>
  bool allReplicas(Predicate predicate) const;
  bool isTracked(const RelayId& replica) const;
  void updateDurablePosition();

  LedgerId id_;
  LedgerState state_;
  PendingTable pendingTable_;
  double leaseMs_;
  std::vector<RelayId> desired_;
  std::optional<LedgerState> proposed_;  // proposed to the register and not yet decided
  std::map<RelayId, Stream> streams_;
  std::uint64_t lastStreamNumber_ = 0;
  std::uint64_t lastPosition_ = 1, durablePosition_ = 0;
  std::vector<std::string> unsent_;  // encoded records that were put and not sent
};

}  // namespace myrtleloft
