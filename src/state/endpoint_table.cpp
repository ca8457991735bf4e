#include "state/endpoint_table.h"

namespace myrtleloft::policy {

Destination& EndpointTable::destination(std::int64_t id) {
  Destination& destination = destinations_[id];
  destination.id = id;
  return destination;
}

void EndpointTable::removeEndpoints(RequestTable& requests, LatencyTable& latency,
                                    const std::function<bool(const Endpoint&)>& isUnused) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    if (!isUnused(endpoint)) return false;
    std::erase(endpoint.upstream->traffic().endpoints, &endpoint);
    requests.removeTriedEndpoint(endpoint);
    latency.remove(endpoint);
    return true;
  });
}

void EndpointTable::removeUnusedDestinations(double nowMs) {
  std::erase_if(destinations_, [nowMs](const auto& entry) {
    const Destination& destination = entry.second;
    return destination.requests == 0 && destination.endpoints.empty() &&
           nowMs >= destination.sharedUpstream.retryAfterUntilMs();
  });
}

}  // namespace myrtleloft::policy
