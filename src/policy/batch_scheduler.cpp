#include "policy/batch_scheduler.h"

namespace myrtleloft::policy {

void BatchScheduler::send(BatchContext& batch) {
  suspectCalls_ = countSuspectCalls(batch);
  std::vector<SendQueue> sendQueues = collectSendQueues(batch);
  if (!requests_.due().empty()) cancelOverdueCall(batch, !sendQueues.empty());
  const std::int64_t lastCallBefore = calls_.lastId();
  while (calls_.inFlight() < batch.settings.maxConcurrentCalls) {
    SendQueue* mostUrgent = mostUrgentQueue(sendQueues);
    if (!mostUrgent) break;
    sendNext(batch, *mostUrgent, lastCallBefore);
  }
}

int BatchScheduler::countSuspectCalls(const BatchContext& batch) {
  int count = 0;
  for (const auto& [id, call] : calls_.calls()) count += latency_.suspect(batch, *call.endpoint) ? 1 : 0;
  return count;
}

std::vector<BatchScheduler::SendQueue> BatchScheduler::collectSendQueues(BatchContext& batch) {
  std::vector<SendQueue> sendQueues;
  for (const auto& [id, destination] : requests_.waiting()) {
    if (waitsToShareCall(batch, *destination)) continue;
    SendQueue sendQueue{destination, rankEndpoints(batch, latency_, *destination, suspectCalls_), {}};
    if (sendQueue.chain.empty()) continue;
    sendQueue.order = byUrgency(batch, latency_, *destination);
    std::erase_if(sendQueue.order, [&](const QueuedRequest& queued) {
      return !queued.request->isNextOfOrderKey(batch.nowMs()) ||
             cachedListHold_.holds(batch, *queued.request);
    });
    if (!sendQueue.order.empty()) sendQueues.push_back(std::move(sendQueue));
  }
  return sendQueues;
}

BatchScheduler::SendQueue* BatchScheduler::mostUrgentQueue(std::vector<SendQueue>& sendQueues) {
  SendQueue* mostUrgent = nullptr;
  for (SendQueue& sendQueue : sendQueues)
    if (!sendQueue.done() && (!mostUrgent || sendQueue.first().urgency < mostUrgent->first().urgency))
      mostUrgent = &sendQueue;
  return mostUrgent;
}

bool BatchScheduler::waitsToShareCall(BatchContext& batch, const Destination& destination) const {
  const Endpoint* cheapest = cheapestEndpoint(batch, destination);
  const double listedShare = cheapest ? cheapest->rating * kRatingShare / batch.settings.instanceCount : 0;
  if (listedShare <= 0 || cheapest->batchSize == 1 || latency_.suspect(batch, *cheapest) ||
      cheapest->upstream->bounded(batch))
    return false;
  const DecayedRate& sent = cheapest->upstream->sent();
  const Request& oldest = *destination.queue.begin()->second;
  const double untilMs = std::min(sent.lastEventMs() + 1000 / listedShare,
                                  oldest.objectiveMs - oldest.objectiveSpanMs * (1 - kBatchWaitShare));
  if (!sent.started() || batch.nowMs() >= untilMs || batch.nowMs() < cheapest->upstream->blockedUntilMs() ||
      destination.queue.size() >= static_cast<std::size_t>(cheapest->batchSize))
    return false;
  batch.wakeNoLaterThan(untilMs);
  return true;
}

const Endpoint* BatchScheduler::cheapestEndpoint(const BatchContext& batch, const Destination& destination) {
  const Endpoint* cheapest = nullptr;
  for (const Endpoint* endpoint : destination.endpoints)
    if (endpoint->open && (!cheapest || costOf(batch, *endpoint) < costOf(batch, *cheapest)))
      cheapest = endpoint;
  return cheapest;
}

void BatchScheduler::cancelOverdueCall(BatchContext& batch, bool capacityNeeded) {
  const double busyCalls = batch.settings.maxConcurrentCalls * kBusyConcurrencyShare;
  const bool busy = capacityNeeded && calls_.inFlight() >= busyCalls;
  if (!batch.settings.mayCancel || (!busy && suspectCalls_ < maxSuspectCalls(batch))) return;
  Call* call = mostOverdueCall(batch, capacityNeeded);
  if (!call) return;
  call->cancelled = true;
  for (const std::string& id : call->requestIds) {
    const Request* request = requests_.find(id);
    if (request && request->call == call->id) batch.emit(CancelAction{id, request->attempts - 1});
  }
}

Call* BatchScheduler::mostOverdueCall(const BatchContext& batch, bool capacityNeeded) {
  Call* mostOverdue = nullptr;
  double largestFactor = 1;
  for (auto& [id, call] : calls_.calls()) {
    if (call.cancelled) return nullptr;  // one cancellation at a time: its capacity is free in the next batch
    const bool lastResort = capacityNeeded && calls_.inFlight() >= batch.settings.maxConcurrentCalls;
    if (call.nonIdempotent && !lastResort) continue;  // cancelling it would make its requests fail
    const double factor = overdueFactor(batch, call);
    if (factor > largestFactor) {
      largestFactor = factor;
      mostOverdue = &call;
    }
  }
  return mostOverdue;
}

double BatchScheduler::overdueFactor(const BatchContext& batch, const Call& call) const {
  const bool overtaken = call.endpoint->newestAnsweredSentMs > call.sentMs;
  const double latencyFactor = overtaken ? kOvertakenLatencyFactor : kCancelLatencyFactor;
  const double cancelAfterMs =
      latencyFactor * (call.nonIdempotent ? 2 : 1) * latency_.typicalMs(*call.endpoint);
  return (batch.nowMs() - call.sentMs) / cancelAfterMs;
}

void BatchScheduler::sendNext(BatchContext& batch, SendQueue& sendQueue, std::int64_t lastCallBefore) {
  Request& request = *sendQueue.order[sendQueue.next++].request;
  Endpoint* endpoint = selectEndpoint(batch, latency_, request, sendQueue.chain);
  if (!endpoint) return;
  Call& call = callTo(batch, *endpoint, lastCallBefore);
  const int sizeBefore = call.size();
  addToCall(batch, request, call);
  while (call.size() < endpoint->batchSize && !sendQueue.done() &&
         selectEndpoint(batch, latency_, *sendQueue.first().request, sendQueue.chain) == endpoint)
    addToCall(batch, *sendQueue.order[sendQueue.next++].request, call);
  endpoint->upstream->spend(batch, sizeBefore, call.size());
  sendQueue.chain = rankEndpoints(batch, latency_, *sendQueue.destination, suspectCalls_);
  if (sendQueue.chain.empty()) sendQueue.next = sendQueue.order.size();
}

Call& BatchScheduler::callTo(BatchContext& batch, Endpoint& endpoint, std::int64_t lastCallBefore) {
  Call* newest = endpoint.newestCall();
  if (newest && newest->id > lastCallBefore && newest->size() < endpoint.batchSize) return *newest;
  Call& call = calls_.begin(batch.nowMs(), endpoint, connections_.takeIdle(batch, endpoint));
  if (latency_.suspect(batch, endpoint)) ++suspectCalls_;
  endpoint.upstream->recordSend(batch);
  return call;
}

void BatchScheduler::addToCall(BatchContext& batch, Request& request, Call& call) {
  requests_.dequeue(request);
  calls_.join(request, call);
  call.nonIdempotent = call.nonIdempotent || !safeToRetry(request);
  const double timeoutMs = attemptTimeoutMs(batch, request, latency_.typicalMs(*call.endpoint));
  batch.emit(SendAction{request.id, call.endpoint->id, timeoutMs});
}

}  // namespace myrtleloft::policy
