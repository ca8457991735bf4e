#include "policy/fallback_chain.h"

namespace myrtleloft::policy {
namespace {

// Whether a call to the endpoint may start now. If the rate limit permits it only later, schedules a wake-up.
bool hasCapacity(BatchContext& batch, const LatencyTracker& latency, const Endpoint& endpoint,
                 int suspectCalls) {
  if (!endpoint.open) return false;
  Upstream& upstream = *endpoint.upstream;
  const double availableMs = upstream.availableAtMs(batch);
  if (availableMs > batch.nowMs()) batch.wakeNoLaterThan(availableMs);
  const double mostCalls = batch.settings.maxConcurrentCalls * kUpstreamConcurrencyShare;
  if (availableMs > batch.nowMs() || upstream.callsInFlight() >= std::max(1, static_cast<int>(mostCalls)) ||
      static_cast<int>(endpoint.calls.size()) >= endpoint.connectionLimit)
    return false;
  if (!latency.suspect(batch, endpoint)) return true;
  // A suspect endpoint gets one call at a time. If it is unresponsive, a second call is allowed once the
  // first has been in flight for some time, as that one may be lost.
  const double unresponsiveAfterMs = kUnresponsiveLatencyFactor * latency.typicalMs(endpoint);
  if (!endpoint.calls.empty() && batch.nowMs() - endpoint.newestCall()->sentMs < unresponsiveAfterMs)
    return false;
  return (!upstream.ejected() ||
          upstream.callsInFlight() < (latency.unresponsive(batch, endpoint) ? 2 : 1)) &&
         suspectCalls < maxSuspectCalls(batch);
}

// Calls in flight to the endpoint, as a multiple (rounded down) of the number up to which cost alone decides.
double loadOf(const BatchContext& batch, const LatencyTracker& latency, const Endpoint& endpoint) {
  double expectedCalls = 1;
  if (endpoint.separateLimit) {
    const double share = kConcurrencyFactor * endpoint.rating / batch.settings.instanceCount;
    expectedCalls = std::max(kMinConcurrency, share * latency.typicalMs(endpoint) / 1000);
  }
  return std::floor(static_cast<double>(endpoint.calls.size()) / expectedCalls);
}

}  // namespace

double maxSuspectCalls(const BatchContext& batch) {
  return std::max(1.0, batch.settings.maxConcurrentCalls * kSuspectConcurrencyShare);
}

FallbackChain rankEndpoints(BatchContext& batch, const LatencyTracker& latency,
                            const Destination& destination, int suspectCalls) {
  double bestRating = 0;
  for (const Endpoint* endpoint : destination.endpoints) bestRating = std::max(bestRating, endpoint->rating);
  FallbackChain chain;
  const std::size_t count = destination.endpoints.size();
  const auto instance = static_cast<std::size_t>(batch.settings.instanceIndex);
  for (std::size_t i = 0; i < count; ++i) {
    Endpoint* endpoint = destination.endpoints[i];
    if (!hasCapacity(batch, latency, *endpoint, suspectCalls)) continue;
    double belowBest = 0;
    if (endpoint->separateLimit && bestRating > 0) belowBest = 0.02 * (1 - endpoint->rating / bestRating);
    const double load = loadOf(batch, latency, *endpoint);
    chain.push_back({latency.suspect(batch, *endpoint), load, costOf(batch, *endpoint) + belowBest,
                     (i + count - instance % count) % count, endpoint});
  }
  std::sort(chain.begin(), chain.end());
  return chain;
}

Endpoint* selectEndpoint(const BatchContext& batch, const LatencyTracker& latency, const Request& request,
                         const FallbackChain& chain) {
  Endpoint* triedBefore = nullptr;
  for (const RankedEndpoint& ranked : chain) {
    Endpoint* endpoint = ranked.endpoint;
    if (!mayAttempt(batch, request, *endpoint)) continue;
    // A failure would end a request that is not safe to retry. While there is time, it waits until the
    // endpoint has proven healthy.
    if (!safeToRetry(request) && (latency.suspect(batch, *endpoint) || endpoint->upstream->unproven()) &&
        request.deadlineMs - batch.nowMs() > 2 * kUnresponsiveLatencyFactor * latency.typicalMs(*endpoint))
      continue;
    if (!request.triedAt(endpoint)) return endpoint;
    if (!triedBefore) triedBefore = endpoint;
  }
  return triedBefore;
}

}  // namespace myrtleloft::policy
