// Table of all requests: by id, by the time until which they may be sent, by destination and by ordering key.
// Cost: logarithmic in the requests; removals of endpoints or ordering keys scan all requests or all keys.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "state/request.h"

namespace myrtleloft::policy {

// Sort key: the time until which a request may be sent, then the order of acceptance.
struct DueKey {
  double sendByMs;
  std::uint64_t sequence;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy takes the 0 inside a defaulted <=> for a null pointer
  auto operator<=>(const DueKey&) const = default;
};

// Invariants: a request either waits (it is in the queue of its destination and in due()) or has a call in
// flight; a completed request stays in the table until its call has ended; Request::sendByMs changes only
// while the request does not wait.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class RequestTable {
 public:
  // Adds a request without a destination, which does not wait yet. Returns nullptr if its id is known.
  Request* add(const RequestEvent& event, const ClassSettings& settings, double nowMs);
  // Returns the request with that id, nullptr if there is none.
  Request* find(const std::string& id);
  // Sets the destination of the request; called once, before the request is enqueued.
  void setDestination(Request& request, Destination& destination);
  // Makes the request wait to be sent.
  void enqueue(Request& request);
  // Removes the request from the waiting ones, because it is sent or completed.
  void dequeue(Request& request);
  // Marks the request as having its final status. It is erased at once if it has no call in flight; otherwise
  // the outcome of that call must be followed by another call of this function.
  void complete(Request& request);
  // Removes the endpoint from Request::tried of all requests.
  void removeTriedEndpoint(const Endpoint& endpoint);
  // Removes the ordering keys that have no requests and are not paused.
  void removeUnusedOrderedQueues(double nowMs);

  // The waiting requests, by the time until which they may be sent.
  const std::map<DueKey, Request*>& due() const { return due_; }
  // The destinations with waiting requests, by id.
  const std::map<std::int64_t, Destination*>& waiting() const { return waiting_; }
  // Number of requests without a final status, including those in flight.
  int pendingCount() const { return pending_; }

 private:
  void erase(const Request& request);

  std::map<std::string, Request> requests_;
  std::map<std::string, OrderedQueue> orderedQueues_;
  std::map<std::int64_t, Destination*> waiting_;
  std::map<DueKey, Request*> due_;
  int pending_ = 0;  // number of requests not completed
  std::uint64_t lastSequence_ = 0;
};

}  // namespace myrtleloft::policy
