// Chooses the replicas of a ledger and the order in which relays try to take it over. Uses rendezvous hashing
// (Thaler, Ravishankar, 1996) with xxHash: relays with the same view make the same choice, and few ledgers
// move when a relay joins or leaves. No state, no I/O.
//
// O(n log n) for n relays.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "copies/names.h"

namespace myrtleloft {

// A relay that may become a replica.
struct Candidate {
  RelayId relay;
  std::string building;     // empty if unknown
  double freeCapacity = 1;  // free space for copies, in any unit common to all candidates
};

// The shard of a request, in [0, shardCount).
std::uint32_t shardOf(std::string_view requestId, std::uint32_t shardCount);

// Returns up to `replicaCount` candidates: first one from each other building, then further ones from other
// buildings, and finally ones from the owner's building. Within each step the choice is weighted by free
// capacity. Candidates without free capacity are excluded.
std::vector<RelayId> chooseReplicas(const LedgerId& ledger, std::string_view ownBuilding,
                                    std::vector<Candidate> candidates, std::size_t replicaCount);

// The order in which live relays try to take the ledger over: its replicas before others.
std::vector<std::string> takeoverOrder(const LedgerId& ledger, const std::vector<RelayId>& ensemble,
                                       std::vector<RelayId> living);

}  // namespace myrtleloft
