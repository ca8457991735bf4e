#include "policy/load_shedder.h"

namespace myrtleloft::policy {

void LoadShedder::giveUpIfExhausted(BatchContext& batch, Request& request) {
  if (exhausted(batch, request)) giveUp(batch, request, retryAfterMs(batch, *request.destination));
}

void LoadShedder::expireDue(BatchContext& batch) {
  const double untilMs = batch.nowMs() + 2 * batch.settings.batchIntervalMs;
  while (!requests_.due().empty() && requests_.due().begin()->first.sendByMs <= untilMs) {
    Request& request = *requests_.due().begin()->second;
    giveUp(batch, request, retryAfterMs(batch, *request.destination));
  }
}

void LoadShedder::shedLoad(BatchContext& batch) {
  if (batch.settings.maxPendingRequests <= 0) return;
  const int limit = std::max(1, static_cast<int>(batch.settings.maxPendingRequests * kShedThresholdShare));
  if (requests_.pendingCount() <= limit) return;
  std::vector<Request*> arrived;
  for (const auto& [key, request] : requests_.due())
    if (arrivedNow(batch, *request)) arrived.push_back(request);
  std::ranges::stable_sort(
      arrived, {}, [&batch](const Request* request) { return weightAt(batch, *request, batch.nowMs()); });
  for (Request* lightest : arrived) {
    if (requests_.pendingCount() <= limit) return;
    giveUp(batch, *lightest, batch.settings.maxRetryAfterMs);
  }
}

void LoadShedder::rejectUnattempted(BatchContext& batch) {
  std::vector<Request*> unattemptable;
  const auto rare = [](const Endpoint* endpoint) { return endpoint->upstream->callsAreRare(); };
  for (const auto& [id, destination] : requests_.waiting()) {
    if (std::ranges::none_of(destination->endpoints, rare)) continue;
    double ahead = 0;
    for (const QueuedRequest& queued : byUrgency(batch, latency_, *destination)) {
      const double attempts = attemptsInTime(batch, *queued.request);
      if (arrivedNow(batch, *queued.request) && mayReject(*queued.request) && attempts < ahead + 1)
        unattemptable.push_back(queued.request);
      else
        ++ahead;
    }
  }
  for (Request* request : unattemptable) giveUp(batch, *request, batch.settings.maxRetryAfterMs);
}

bool LoadShedder::arrivedNow(const BatchContext& batch, const Request& request) {
  return request.arrivalBatch == batch.number();
}

double LoadShedder::retryAfterMs(const BatchContext& batch, const Destination& destination) const {
  double retryAtMs = batch.nowMs() + batch.settings.overloadWindowMs;
  for (const Endpoint* endpoint : destination.endpoints)
    if (endpoint->open && !latency_.suspect(batch, *endpoint))
      retryAtMs = std::min(retryAtMs, endpoint->upstream->blockedUntilMs());
  return std::max(retryAtMs - batch.nowMs(), latency_.meanOrDefaultMs());
}

void LoadShedder::giveUp(BatchContext& batch, Request& request, double retryAfterMs) {
  if (mayReject(request)) {
    batch.emit(RejectAction{request.id, std::min(retryAfterMs, batch.settings.maxRetryAfterMs)});
  } else {
    batch.emit(FailAction{request.id});
  }
  requests_.complete(request);
}

double LoadShedder::attemptsInTime(BatchContext& batch, const Request& request) {
  const double leftMs = request.deadlineMs - batch.nowMs();
  double attempts = 0;
  for (const Endpoint* endpoint : request.destination->endpoints) {
    if (!endpoint->open || !mayAttempt(batch, request, *endpoint)) continue;
    Upstream& upstream = *endpoint->upstream;
    if (upstream.callsAreRationed(batch))
      attempts += upstream.currentRate(batch) * endpoint->batchSize * leftMs / 1000;
    else
      attempts = kNever;
  }
  return attempts;
}

}  // namespace myrtleloft::policy
