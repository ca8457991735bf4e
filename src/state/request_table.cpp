#include "state/request_table.h"

namespace myrtleloft::policy {

Request* RequestTable::add(const RequestEvent& event, const ClassSettings& settings, double nowMs) {
  const auto [at, isNew] = requests_.try_emplace(event.id);
  if (!isNew) return nullptr;
  Request& request = at->second;
  request.id = event.id;
  request.sequence = ++lastSequence_;
  request.settings = &settings;
  request.deadlineMs = event.deadlineMs;
  request.sendByMs = event.deadlineMs;
  request.attempts = event.attempts;
  request.objectiveSpanMs =
      std::max(1.0, settings.latencyObjectiveMs + settings.objectiveStretch * event.effortMs);
  const double startMs = settings.maxLifetimeMs > 0 ? event.deadlineMs - settings.maxLifetimeMs : nowMs;
  request.objectiveMs = std::min(startMs + request.objectiveSpanMs, request.deadlineMs);
  if (settings.orderedByKey && !event.orderKey.empty()) {
    request.orderedQueue = &orderedQueues_[event.orderKey];
    request.orderedQueue->sequence.push_back(request.sequence);
  }
  ++pending_;
  return &request;
}

Request* RequestTable::find(const std::string& id) {
  const auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

void RequestTable::setDestination(Request& request, Destination& destination) {
  request.destination = &destination;
  ++destination.requests;
}

void RequestTable::enqueue(Request& request) {
  request.destination->queue[request.sequence] = &request;
  waiting_[request.destination->id] = request.destination;
  due_[{request.sendByMs, request.sequence}] = &request;
}

void RequestTable::dequeue(Request& request) {
  request.destination->queue.erase(request.sequence);
  if (request.destination->queue.empty()) waiting_.erase(request.destination->id);
  due_.erase({request.sendByMs, request.sequence});
}

void RequestTable::complete(Request& request) {
  dequeue(request);
  if (!request.completed) --pending_;
  request.completed = true;
  if (request.call < 0) erase(request);
}

void RequestTable::removeTriedEndpoint(const Endpoint& endpoint) {
  for (auto& [id, request] : requests_) std::erase(request.tried, &endpoint);
}

void RequestTable::removeUnusedOrderedQueues(double nowMs) {
  std::erase_if(orderedQueues_, [nowMs](const auto& entry) {
    return entry.second.sequence.empty() && entry.second.pausedUntilMs <= nowMs;
  });
}

void RequestTable::erase(const Request& request) {
  if (request.orderedQueue) std::erase(request.orderedQueue->sequence, request.sequence);
  --request.destination->requests;
  requests_.erase(requests_.find(request.id));
}

}  // namespace myrtleloft::policy
