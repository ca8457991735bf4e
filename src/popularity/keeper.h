// Selects the cache entries to evict when the cache is over its budget. Entries are idle connections to
// endpoints and learned state of endpoints. Does no I/O; relays with the same context make the same
// decisions.
//
//   EvictionPolicy policy({"n1", tauMs, 256});
//   for (std::size_t i : policy.evictions(nowMs, entries, budget, context)) ...   // indexes in `entries`
//
// The value of an entry is the loss it avoids: the number of calls that would use it, multiplied by the loss
// of one call that meets its destination cold (coldCostOf). Its price is its share of the byte budget or of
// the descriptor budget, whichever is larger. The entry with the lowest ratio of value to price is evicted
// first, subject to these rules:
//   - Pinned entries are never evicted, even if the budget is exceeded: during a Retry-After, a drain, an
//     unconfirmed cold return or a call in flight, and copies this relay has promised to keep.
//   - Few relays may hold idle connections to an endpoint with few connections: as many relays of the region
//   as
//     its part of half of these connections allows, chosen by rendezvous hashing. Other relays close theirs
//     at once.
//   - The last cached copy of a popular destination is evicted after all others. If several relays hold a
//   copy,
//     the first in rendezvous order counts as the holder of the last one, so that not all of them evict
//     theirs at the same time. A destination is popular if it has more than 1 / `slots` of the requests of
//     the region.
//   - Learned state can be requested from another relay. Two relays per destination, chosen by rendezvous
//   hashing,
//     retain it for the region and value it by the region's calls. For other relays, a copy that another
//     relay holds too is only worth the cost of requesting it.
//   - A new entry replaces a cached one only if its value is higher by kReplacementMargin, at most `slots` /
//   4
//     times at once and kReplacementsPerSlot x `slots` times per time constant. Otherwise the new entry is
//     evicted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "popularity/building_counts.h"

namespace myrtleloft {

enum class CacheEntryKind : std::uint8_t { kLearned, kConnection };

// Reasons for which an entry must not be evicted, as bits.
struct PinReason {
  static constexpr std::uint8_t kRetryAfter = 1, kDrain = 2, kColdReturn = 4, kCallInFlight = 8,
                                kPromisedCopy = 16;
};

struct CacheEntry {
  std::int64_t destination = 0;
  CacheEntryKind kind = CacheEntryKind::kConnection;
  std::uint8_t pinReasons = 0;
  bool isNew = false;                // the entry is a candidate that is not in the cache yet
  std::size_t bytes = 0;             // a connection also uses one descriptor, learned state none
  std::size_t connectionsAhead = 0;  // idle connections to the same endpoint that are used before this one
  double typicalLatencyMs = 0;       // typical response time; 0 if unknown
  double coldCost = 1;               // see coldCostOf
  // Connections that the endpoint accepts at once from all relays; 0 if unknown or large.
  std::size_t endpointConnectionLimit = 0;
};

struct CacheBudget {
  std::size_t bytes = 0;        // the setting `warm_kb`
  std::size_t descriptors = 0;  // for idle connections to endpoints
};

// The inputs of a decision, all as of the same time.
struct EvictionContext {
  std::vector<std::string> relays;  // relays of the region that are alive, this one included
  std::size_t regions = 1;          // regions that have relays
  std::function<Popularity(std::int64_t destination)> popularity;
  // Returns the other relays that have an entry of this kind cached.
  std::function<std::vector<std::string>(std::int64_t destination, CacheEntryKind)> holders;
};

struct ColdCostInputs {
  double worth = 1;  // of a typical request to the destination
  double handshakeMs = 0, latencyObjectiveMs = 0;
  double handshakePenalty = 0.02;
  double rejectedCalls = 0;  // average number of calls rejected when starting without learned state
};
// Returns the loss, in units of worth, of one call that meets its destination cold. For a connection this is
// the handshake penalty of the settings plus the share of the latency objective that the handshake takes; for
// learned state it is the number of calls rejected until the rate is found again.
double coldCostOf(CacheEntryKind kind, const ColdCostInputs& inputs);

class EvictionPolicy {
 public:
  static constexpr double kReplacementMargin = 0.25, kReplacementsPerSlot = 2;
  // The share of an endpoint's connections that all relays together may hold idle.
  static constexpr double kIdleShare = 0.5;
  static constexpr std::size_t kLearnedCopies = 2;

  struct Options {
    std::string relayName;
    double tauMs = 0;
    std::size_t slots = 0;  // capacity in idle connections; at least 1
  };
  explicit EvictionPolicy(Options options);

  // Returns the indexes of the entries to evict so that the others fit the budget.
  // O(entries x (log entries + relays)).
  std::vector<std::size_t> evictions(double nowMs, const std::vector<CacheEntry>& entries,
                                     const CacheBudget& budget, const EvictionContext& context);

  // Returns how many relays of a region may hold idle connections to an endpoint with this connection limit.
  static std::size_t allowedHolders(std::size_t endpointConnectionLimit, std::size_t regions);
  // Returns the worth saved per time constant.
  double valueOf(const CacheEntry& entry, const EvictionContext& context) const;
  // Whether the entry is the last cached copy of a popular destination.
  bool isLastPopularCopy(const CacheEntry& entry, const EvictionContext& context) const;
  // Whether this relay may hold the entry at all.
  bool mayRetain(const CacheEntry& entry, const EvictionContext& context) const;
  // Returns how many cached entries may be replaced by new ones now.
  double replacementsLeft(double nowMs) const;

 private:
  Options options_;
  double replacements_, replacementsAtMs_ = 0;
};

}  // namespace myrtleloft
