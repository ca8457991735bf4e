#include "policy/request_priority.h"

#include "state/portable_math.h"

namespace myrtleloft::policy {

double weightAt(const BatchContext& batch, const Request& request, double atMs) {
  const ClassSettings& settings = *request.settings;
  const double objectiveMs = request.objectiveMs;
  if (atMs > request.deadlineMs) return 0;
  if (atMs <= objectiveMs) return settings.priorityWeight;
  if (batch.settings.weightDecay == WeightDecay::kHalving)
    return settings.priorityWeight *
           std::max(settings.lateWeight, portable::exp2((objectiveMs - atMs) / request.objectiveSpanMs));
  const double lateSpanMs = std::max(1.0, request.deadlineMs - objectiveMs);
  return settings.priorityWeight * (1 - (1 - settings.lateWeight) * (atMs - objectiveMs) / lateSpanMs);
}

std::vector<QueuedRequest> byUrgency(BatchContext& batch, const LatencyTracker& latency,
                                     const Destination& destination) {
  double requestsPerSecond = 0;
  for (const Endpoint* endpoint : destination.endpoints)
    requestsPerSecond += endpoint->open ? endpoint->upstream->currentRate(batch) * endpoint->batchSize : 0;
  // The horizon is at least the time to send the whole queue. If the queue exceeds the rate, recent requests
  // are then preferred to those that have already lost most of their weight.
  const double queueMs = 1000 * static_cast<double>(destination.queue.size()) / requestsPerSecond;
  const double soonMs = batch.nowMs() + latency.meanMs();
  std::vector<QueuedRequest> order;
  for (const auto& [sequence, request] : destination.queue) {
    const double horizonMs = std::max(request->objectiveSpanMs * kLossHorizonShare, queueMs);
    const double loss = weightAt(batch, *request, soonMs) - weightAt(batch, *request, soonMs + horizonMs);
    order.push_back({{-loss, request->objectiveMs}, request});
  }
  std::ranges::stable_sort(order, {}, &QueuedRequest::urgency);
  return order;
}

}  // namespace myrtleloft::policy
