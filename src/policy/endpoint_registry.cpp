#include "policy/endpoint_registry.h"

#include "state/portable_math.h"

namespace myrtleloft::policy {

void EndpointRegistry::apply(const BatchContext& batch, const EndpointListEvent& event) {
  if (event.kind != ListUpdateKind::kDelta)
    for (auto& [id, endpoint] : endpoints()) endpoint.setOpen(false, batch.nowMs());
  for (const EndpointInfo& info : event.entries) {
    const auto [at, isNew] = endpoints().try_emplace(info.endpoint);
    Endpoint& endpoint = at->second;
    if (isNew) add(batch, endpoint, info);
    endpoint.zone = info.zone;
    endpoint.cost = endpoint.separateLimit ? batch.settingOr(batch.settings.zoneCosts, info.zone, 0.0) : 0;
    endpoint.rating = batch.settings.ratingKind == RatingKind::kNone ? 0 : info.rating;
    endpoint.upstream->setListedRate(endpoint.rating);
    endpoint.setOpen(info.state == EndpointState::kRunning, batch.nowMs());
  }
}

void EndpointRegistry::removeUnused(const BatchContext& batch, RequestTable& requests,
                                    LatencyTable& latency) {
  const double nowMs = batch.nowMs();
  lastRemovalMs_ = nowMs;
  requests.removeUnusedOrderedQueues(nowMs);
  const double memoryMs = kFailureMemorySpans * batch.settings.slowStartMs;
  removeEndpoints(requests, latency, [=](const Endpoint& endpoint) {
    return !endpoint.open && endpoint.calls.empty() && nowMs - endpoint.closedAtMs > memoryMs &&
           nowMs >= endpoint.upstream->retryAfterUntilMs();
  });
  removeUnusedDestinations(nowMs);
}

void EndpointRegistry::grantProbeForArrival(BatchContext& batch, const Destination& destination) {
  Upstream* failed = nullptr;
  for (const Endpoint* endpoint : destination.endpoints) {
    // A probe granted during an announced outage would wait for its end and be sent together with the probes
    // of all other relays.
    if (!endpoint->open || endpoint->upstream->outageAnnounced(batch.nowMs())) continue;
    if (!endpoint->upstream->arrivalsMayProbe(batch)) return;
    if (!endpoint->upstream->slowStarted() || !failed) failed = endpoint->upstream;
  }
  if (!failed) return;
  const double spanMs = batch.settings.slowStartMs;
  const double arrivalRate = decayedPerSecond(batch, destination.arrivals, spanMs) / failed->upstreamCount();
  const double arrivals = arrivalRate * kFailureMemorySpans * spanMs / 1000;
  failed->setFreeProbe(batch.drawUniform() < kFreeProbeShare / std::max(1e-9, portable::expm1(arrivals)));
}

void EndpointRegistry::add(const BatchContext& batch, Endpoint& endpoint, const EndpointInfo& info) {
  Destination& owner = destination(info.destination);
  endpoint.id = info.endpoint;
  endpoint.kind = info.kind;
  const int kind = std::max(0, info.kind);
  endpoint.separateLimit = batch.settingOr(batch.settings.kindHasSeparateLimits, kind, false);
  endpoint.batchSize = std::max(1, batch.settingOr(batch.settings.kindBatchSize, kind, 1));
  endpoint.upstream = endpoint.separateLimit ? &endpoint.ownUpstream : &owner.sharedUpstream;
  endpoint.upstream->attach(owner, endpoint.separateLimit, batch.nowMs());
  owner.arrivals.start(batch.nowMs());
  owner.endpoints.push_back(&endpoint);
}

}  // namespace myrtleloft::policy
