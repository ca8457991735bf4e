// Ranks the endpoints of a destination that have capacity, and selects one for a request.
//
//     FallbackChain chain = rankEndpoints(batch, latency, destination, suspectCalls);
//     if (Endpoint* endpoint = selectEndpoint(batch, latency, request, chain)) ...
//
// Cost: ranking sorts the endpoints of the destination; selecting is linear in the chain.
// Thread safety: the functions have no state; their arguments belong to one dispatcher and are not shared.
#pragma once

#include <compare>
#include <cstddef>
#include <vector>

#include "policy/latency_tracker.h"
#include "policy/retry_policy.h"

namespace myrtleloft::policy {

// An endpoint with its sort key: the fields are compared in this order, and the smaller is used first.
struct RankedEndpoint {
  bool suspect;
  double load;           // calls in flight as a multiple of the expected concurrency, rounded down
  double cost;           // costOf, plus a small penalty for a rating below the best
  std::size_t distance;  // offset from this relay's start in the list; spreads relays over the endpoints
  Endpoint* endpoint;
  auto operator<=>(const RankedEndpoint&) const = default;  // NOLINT(modernize-use-nullptr): as in DueKey
};
using FallbackChain = std::vector<RankedEndpoint>;

// Cost of a call to the endpoint, 0 or more: its configured cost, the cost of crossing zones, and a penalty
// for recent rejections. Inline because it is evaluated for each endpoint.
inline double costOf(const BatchContext& batch, const Endpoint& endpoint) {
  const bool crossesZones = batch.settings.zone >= 0 && endpoint.zone != batch.settings.zone;
  return 0.1 * endpoint.rejectionRate + endpoint.cost + (crossesZones ? batch.settings.crossZoneCost : 0);
}

// Maximum number of calls in flight to all suspect endpoints together, 1 or more.
double maxSuspectCalls(const BatchContext& batch);

// Returns the open endpoints with capacity for a call now, best first. Schedules a wake-up for the endpoints
// that will have capacity later.
FallbackChain rankEndpoints(BatchContext& batch, const LatencyTracker& latency,
                            const Destination& destination, int suspectCalls);

// Returns the first endpoint of the chain at which the request may be attempted, preferring endpoints that it
// has not tried. Returns nullptr if there is none.
Endpoint* selectEndpoint(const BatchContext& batch, const LatencyTracker& latency, const Request& request,
                         const FallbackChain& chain);

}  // namespace myrtleloft::policy
