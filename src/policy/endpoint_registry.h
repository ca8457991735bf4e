// Keeps the known endpoints and destinations up to date with the endpoint list.
// Cost: an update is linear in the entries of the list; a complete list is linear in all endpoints as well.
#pragma once

#include "policy/latency_tracker.h"
#include "state/endpoint_table.h"

namespace myrtleloft::policy {

// Invariants: every endpoint has an upstream; an endpoint that has left the list is closed, and is removed
// only when no call is in flight to it, its Retry-After is over and its failures are too old to matter.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class EndpointRegistry : public EndpointTable {
 public:
  // Applies a complete list or a delta: adds, updates, opens and closes endpoints.
  void apply(const BatchContext& batch, const EndpointListEvent& event);
  // Removes unused endpoints, destinations and ordering keys from all tables.
  void removeUnused(const BatchContext& batch, RequestTable& requests, LatencyTable& latency);
  // Called for each arriving request. If all open endpoints of the destination have a pending failure, grants
  // one of them, with a probability that falls with the arrival rate, a probe without a token.
  static void grantProbeForArrival(BatchContext& batch, const Destination& destination);
  // When removeUnused last ran, in ms; 0 if never.
  double lastRemovalMs() const { return lastRemovalMs_; }

 private:
  void add(const BatchContext& batch, Endpoint& endpoint, const EndpointInfo& info);

  double lastRemovalMs_ = 0;
};

}  // namespace myrtleloft::policy
