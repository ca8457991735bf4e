// Records of endpoints, destinations and calls in flight. Plain data, kept consistent by its owners.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/upstream.h"

namespace myrtleloft::policy {

// A call in flight: one or more requests sent together to an endpoint.
struct Call {
  std::int64_t id = 0;
  Endpoint* endpoint = nullptr;
  double sentMs = 0;
  std::optional<double> idleMs;  // how long its connection had been idle; std::nullopt for a new connection
  int pending = 0;               // requests without an outcome
  bool recorded = false;         // whether its first outcome has been recorded in the statistics
  bool cancelled = false;
  bool nonIdempotent = false;  // whether any of its requests is non-idempotent
  std::vector<std::string> requestIds;
  int size() const { return static_cast<int>(requestIds.size()); }
};

// An endpoint of the list, with what was learned about it.
struct Endpoint {
  std::string id;
  int zone = 0;
  int kind = 0;
  bool separateLimit = false;  // whether it has an upstream of its own, not the shared one of its destination
  bool open = false;           // whether it is listed as running
  double closedAtMs = 0;       // when it was last closed
  double rating = 0;           // EndpointInfo::rating; 0 if ratings have no meaning
  double cost = 0;             // cost of a request by its zone
  int batchSize = 1;           // maximum number of requests in one call
  Upstream ownUpstream;
  Upstream* upstream = nullptr;
  std::map<std::int64_t, Call*> calls;  // in flight, oldest first
  double typicalLatencyMs = 0;          // 0 if not known
  double lastSuccessMs = -kNever;
  double newestAnsweredSentMs = -kNever;  // latest time at which a call that succeeded was sent
  double rejectionRate = 0;               // moving average of the share of its calls that are rejected
  int connectionLimit = std::numeric_limits<int>::max();  // learned from refused connections
  std::vector<double> idleSinceMs;                        // for each idle connection, oldest first
  // Takes the most recently used idle connection and returns how long it was idle, in ms. Returns
  // std::nullopt if there is none.
  std::optional<double> takeIdleConnection(double nowMs) {
    if (idleSinceMs.empty()) return std::nullopt;
    const double idleMs = nowMs - idleSinceMs.back();
    idleSinceMs.pop_back();
    return idleMs;
  }
  // Emits the action that closes all idle connections.
  void closeIdleConnections(BatchContext& batch) {
    batch.emit(CloseIdleConnectionsAction{id});
    idleSinceMs.clear();
  }
  // Returns the newest call in flight, nullptr if there is none.
  Call* newestCall() const { return calls.empty() ? nullptr : calls.rbegin()->second; }
  void setOpen(bool isOpen, double nowMs) {
    if (open && !isOpen) closedAtMs = nowMs;
    open = isOpen;
  }
};

// A destination with the upstream shared by its endpoints that have no separate limit.
struct Destination : DestinationTraffic {
  std::int64_t id = 0;
  Upstream sharedUpstream;
  std::size_t requests = 0;  // number of its requests in the request table
};

}  // namespace myrtleloft::policy
