// The copies of other relays' ledgers that this relay stores. No I/O.
//
//   Replica replica(life, capacityBytes, stored);
//   CopyAck ack = replica.onCopy(copy, step);             // send it after `step.stores` are durable
//   FenceResponse response = replica.onFence(fence, step);
//
// An owner sends a ledger's records in a stream. A new stream starts a new table beside the existing one,
// which is kept until the new one is complete, so that acknowledged records can be read at any time. Once a
// ledger is fenced at an epoch, records of lower epochs are rejected permanently.
//
// The records of all ledgers are limited to `capacityBytes`. New requests beyond it are rejected with kFull;
// nothing stored is evicted. Records that update stored requests are always accepted. A copy request costs
// O(records * log n), a fence request O(kMessageBytes).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "copies/contents.h"
#include "copies/messages.h"
#include "copies/step.h"

namespace myrtleloft {

class Replica {
 public:
  Replica(std::uint64_t life, std::size_t capacityBytes, const StoredEntries& stored);

  CopyAck onCopy(const CopyRequest& copy, ReplicationStep& out);
  FenceResponse onFence(const FenceRequest& fence, ReplicationStep& out);
  std::size_t bytes() const;
  std::size_t ledgers() const { return ledgers_.size(); }
  // Returns the ledger in which another relay has a pending request with this idempotency key and tenant, so
  // that a client's retry need not be accepted twice, or std::nullopt if there is none. Scans all stored
  // requests: use it only for requests that are marked as retries.
  std::optional<LedgerId> findLedgerOf(const std::string& key, int tenant) const;
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    for (const auto& [id, ledgerCopy] : ledgers_) {
      ar(id, ledgerCopy.fenced);
      for (const auto* copyTable : {&ledgerCopy.complete, &ledgerCopy.incoming}) {
        ar(copyTable->has_value());
        if (!*copyTable) continue;
        ar((*copyTable)->epoch, (*copyTable)->stream, (*copyTable)->sequence);
        for (const auto& [request, pendingRequest] : (*copyTable)->pendingTable.requests())
          ar(request, pendingRequest.attempts, pendingRequest.status);
      }
    }
  }

 private:
  struct Table {
    std::uint64_t epoch = 0, stream = 0, sequence = 0;
    PendingTable pendingTable;
  };
  struct LedgerCopy {
    std::uint64_t fenced = 0;
    std::optional<Table> complete, incoming;
  };

  static std::string keyOf(const LedgerId& id, const Table& table);
  void storeLedger(const LedgerId& id, const LedgerCopy& ledgerCopy, ReplicationStep& out) const;
  void eraseTable(const LedgerId& id, const Table& table, ReplicationStep& out) const;
  bool fits(const Table& table, const CopyRequest& copy) const;
  void applyRecords(const LedgerId& id, Table& table, const CopyRequest& copy, ReplicationStep& out) const;

  std::uint64_t life_;
  std::size_t capacityBytes_;
  std::map<LedgerId, LedgerCopy> ledgers_;
};

}  // namespace myrtleloft
