// Identifiers of replicated ledgers and the state in their configuration registers. No I/O.
//
// A ledger is the log of one shard of the requests that one incarnation of a relay accepted. It keeps its
// identifier when another relay takes it over.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/message.h"

namespace myrtleloft {

struct LedgerId {
  std::string creator;             // the relay that opened the ledger
  Incarnation creatorIncarnation;  // that relay's incarnation at the time
  std::uint32_t slot = 0;          // sequence number among that incarnation's ledgers

  friend bool operator==(const LedgerId&, const LedgerId&) = default;
  friend bool operator<(const LedgerId& a, const LedgerId& b) {
    return std::tie(a.creator, a.creatorIncarnation.life, a.creatorIncarnation.start, a.slot) <
           std::tie(b.creator, b.creatorIncarnation.life, b.creatorIncarnation.start, b.slot);
  }
};

// A relay together with the random id of its state folder. A relay that lost its folder has another RelayId.
struct RelayId {
  std::string name;
  std::uint64_t life = 0;  // random id of the state folder, see Incarnation
  friend auto operator<=>(const RelayId&, const RelayId&) = default;
};

// The value of a ledger's configuration register.
struct LedgerState {
  std::uint64_t epoch = 0;  // incremented by each change; 0 if the register was never written
  std::string owner;        // the relay responsible for the ledger's pending requests
  Incarnation start;        // the owner's incarnation
  // Each of these replicas stores all durable records. If empty, only the owner's folder has them.
  std::vector<RelayId> ensemble;
  bool open = true;  // false once the ledger is permanently closed and has no pending requests
  friend bool operator==(const LedgerState&, const LedgerState&) = default;
};

// A CASPaxos ballot. The random nonce makes the ballots of different proposers distinct.
struct Ballot {
  std::uint64_t round = 0;  // 0 for no ballot
  std::uint64_t nonce = 0;
  friend auto operator<=>(const Ballot&, const Ballot&) = default;
};

// The generation of the state folder from which an acceptor responds. Of two generations of a relay that were
// ever active the later one compares greater (voter.h).
struct FolderGeneration {
  std::uint64_t ordinal = 0;  // 0 if unknown
  std::uint64_t life = 0;
  friend auto operator<=>(const FolderGeneration&, const FolderGeneration&) = default;
};

// The latest folder generation that is known of a relay.
struct KnownGeneration {
  std::string name;
  FolderGeneration generation;
  friend auto operator<=>(const KnownGeneration&, const KnownGeneration&) = default;
};

}  // namespace myrtleloft
