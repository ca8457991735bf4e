// Sends the pending requests that are not in flight, most urgent first, each to the first endpoint of its
// fallback chain that may be used for it.
// Cost: each batch ranks the endpoints of every destination with waiting requests and sorts these requests;
// the endpoints of a destination are ranked again after each call to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/cached_list_hold.h"
#include "policy/connection_reuse.h"
#include "policy/fallback_chain.h"
#include "policy/request_priority.h"
#include "state/call_table.h"
#include "state/request_table.h"

namespace myrtleloft::policy {

// Invariants: at most Settings::maxConcurrentCalls calls are in flight; all requests of a call have the same
// destination and were sent in the same batch; at most one cancelled call is still in flight.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class BatchScheduler {
 public:
  // All arguments must outlive the scheduler.
  BatchScheduler(RequestTable& requests, CallTable& calls, const ConnectionReuse& connections,
                 const LatencyTracker& latency, const CachedListHold& cachedListHold)
      : requests_(requests),
        calls_(calls),
        connections_(connections),
        latency_(latency),
        cachedListHold_(cachedListHold) {}

  // Sends the requests that may be sent now. Cancels one call if concurrency is nearly exhausted.
  void send(BatchContext& batch);

 private:
  // The requests that wait for one destination in this batch, most urgent first, and the endpoints to use.
  struct SendQueue {
    const Destination* destination;
    FallbackChain chain;
    std::vector<QueuedRequest> order;
    std::size_t next = 0;  // index of the next request in `order`
    bool done() const { return next >= order.size(); }
    const QueuedRequest& first() const { return order[next]; }
  };

  int countSuspectCalls(const BatchContext& batch);
  std::vector<SendQueue> collectSendQueues(BatchContext& batch);
  static SendQueue* mostUrgentQueue(std::vector<SendQueue>& sendQueues);
  // Returns true while the requests of the destination are held back to share the next call to its cheapest
  // endpoint, and schedules the wake-up that ends the wait.
  bool waitsToShareCall(BatchContext& batch, const Destination& destination) const;
  // Returns the open endpoint with the lowest cost, nullptr if none is open.
  static const Endpoint* cheapestEndpoint(const BatchContext& batch, const Destination& destination);
  // Cancels the most overdue call if the limit on concurrent calls, or on calls to suspect endpoints, is
  // nearly or fully used while requests wait.
  void cancelOverdueCall(BatchContext& batch, bool capacityNeeded);
  // Returns the call with the highest overdueFactor above 1. Returns nullptr if no call may be cancelled.
  Call* mostOverdueCall(const BatchContext& batch, bool capacityNeeded);
  // Time in flight as a multiple of the time after which the call may be cancelled.
  double overdueFactor(const BatchContext& batch, const Call& call) const;
  // Sends the first request of the queue together with further requests that fit into its call.
  void sendNext(BatchContext& batch, SendQueue& sendQueue, std::int64_t lastCallBefore);
  // Returns the call that the next request to the endpoint joins: the newest call of this batch (its id is
  // above `lastCallBefore`) if it is not full, otherwise a new call.
  Call& callTo(BatchContext& batch, Endpoint& endpoint, std::int64_t lastCallBefore);
  void addToCall(BatchContext& batch, Request& request, Call& call);

  RequestTable& requests_;
  CallTable& calls_;
  const ConnectionReuse& connections_;
  const LatencyTracker& latency_;
  const CachedListHold& cachedListHold_;
  int suspectCalls_ = 0;  // calls in flight to suspect endpoints
};

}  // namespace myrtleloft::policy
