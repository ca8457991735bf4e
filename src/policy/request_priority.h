// The weight of a request over time, and the order in which the requests of a destination are sent.
// Cost: weightAt is constant; byUrgency sorts all requests that wait for the destination.
// Thread safety: the functions have no state; the requests belong to one dispatcher and are not shared.
#pragma once

#include <compare>
#include <vector>

#include "policy/latency_tracker.h"
#include "state/request.h"

namespace myrtleloft::policy {

// Sort key of a waiting request: the more weight it loses by waiting, the earlier it is sent; ties are broken
// by the earlier latency objective.
struct Urgency {
  double negativeLoss;  // minus the weight lost by waiting, so that a larger loss sorts first
  double objectiveMs;
  auto operator<=>(const Urgency&) const = default;  // NOLINT(modernize-use-nullptr): as in DueKey
};

// A waiting request with its urgency in this batch.
struct QueuedRequest {
  Urgency urgency;
  Request* request;
};

// Weight of a delivery at `atMs`: the full priority weight within the latency objective, decaying to the late
// weight after it, and 0 past the deadline.
double weightAt(const BatchContext& batch, const Request& request, double atMs);

// Returns the requests that wait for the destination, most urgent first; equally urgent requests are in the
// order in which they were accepted.
std::vector<QueuedRequest> byUrgency(BatchContext& batch, const LatencyTracker& latency,
                                     const Destination& destination);

}  // namespace myrtleloft::policy
