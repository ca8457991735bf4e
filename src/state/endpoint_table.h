// Tables of the known endpoints and destinations.
// Cost: a lookup is logarithmic in the destinations; removing endpoints scans all endpoints, and all requests
// for each endpoint that is removed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "state/latency_table.h"
#include "state/request_table.h"

namespace myrtleloft::policy {

// Invariants: an endpoint is listed exactly once in the traffic of its upstream; endpoints and destinations
// have stable addresses until they are removed, so that calls, requests and upstreams may point to them.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class EndpointTable {
 public:
  // All endpoints by their id.
  std::map<std::string, Endpoint>& endpoints() { return endpoints_; }
  // Number of known endpoints, including those that have left the list but have not been removed yet.
  std::size_t endpointCount() const { return endpoints_.size(); }
  // Returns the destination with that id, adding it if it is not known.
  Destination& destination(std::int64_t id);
  // Removes the endpoints for which `isUnused` returns true from all tables. None of them may have a call in
  // flight.
  void removeEndpoints(RequestTable& requests, LatencyTable& latency,
                       const std::function<bool(const Endpoint&)>& isUnused);
  // Removes the destinations without endpoints and requests whose Retry-After is over.
  void removeUnusedDestinations(double nowMs);

 private:
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::int64_t, Destination> destinations_;
};

}  // namespace myrtleloft::policy
