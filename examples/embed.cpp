// Minimal use of the decision module: one destination with one endpoint, one request, one batch.
#include <iostream>

#include "myrtleloft/dispatcher.h"

int main() {
  using namespace myrtleloft;

  Settings settings;
  settings.seed = 42;
  settings.maxConcurrentCalls = 8;
  settings.maxPendingRequests = 100;
  ClassSettings orders;
  orders.latencyObjectiveMs = 2000;
  orders.maxLifetimeMs = 20000;
  orders.idempotency = Idempotency::kIdempotent;
  settings.classes = {orders};
  Dispatcher dispatcher(settings);

  EndpointListEvent list;
  list.kind = ListUpdateKind::kSnapshot;
  list.entries.push_back({.endpoint = "10.0.0.1:5000", .destination = 7});
  RequestEvent request;
  request.id = "order-1";
  request.deadlineMs = 20000;
  request.destination = 7;

  bool sent = false;
  for (const Action& action : dispatcher.onBatch(0, {list, request})) {
    if (const auto* send = std::get_if<SendAction>(&action)) {
      std::cout << "send " << send->id << " to " << send->endpoint << " within " << send->timeoutMs
                << " ms\n";
      sent = true;
    }
  }
  return sent ? 0 : 1;
}
