// Actions that the replication code requests from its caller. Every part of this module appends to them.
//
// The caller must make all `stores` as durable as the journal's durability level requires before it transmits
// any of `sends` or acts on any of `events`. It performs the stores in order, so a crash leaves a prefix.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "copies/names.h"
#include "fleet/message.h"
#include "journal/records.h"

namespace myrtleloft {

using StoredEntries = std::map<std::string, std::string>;

struct StoreWrite {
  std::string key;
  std::string bytes;  // empty to delete the key
};

struct OutgoingMessage {
  std::string to;
  FleetKind kind = FleetKind::kVoteAsk;
  std::string payload;
};

enum class ReplicationEventKind : std::uint8_t {
  kOwned,      // the register has decided that this relay owns the ledger in `state`
  kDurable,    // the ensemble stores all records up to `position`
  kLost,       // another relay owns the ledger: drop its requests without notification or call
  kTakenOver,  // `requests` are pending here; no call or notification before `fromMs`
};

struct ReplicationEvent {
  ReplicationEventKind kind = ReplicationEventKind::kOwned;
  LedgerId ledger;
  LedgerState state;
  std::uint64_t position = 0;
  double fromMs = 0;
  std::vector<PendingRequest> requests;
};

struct ReplicationStep {
  std::vector<StoreWrite> stores;
  std::vector<OutgoingMessage> sends;
  std::vector<ReplicationEvent> events;
};

}  // namespace myrtleloft
