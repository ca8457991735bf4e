// Ends requests without a delivery. An arriving request is rejected if too many are pending or if no attempt
// can be expected before its deadline. A request that has been accepted waits for an attempt until its
// deadline is too near, or until no further attempt is permitted.
// Cost: expireDue is linear in the requests that are due; shedLoad scans the waiting requests and sorts those
// that just arrived; rejectUnattempted sorts the requests of each rate-limited destination, and is linear in
// these requests times the endpoints of the destination.
#pragma once

#include "policy/request_priority.h"
#include "policy/retry_policy.h"
#include "state/request_table.h"

namespace myrtleloft::policy {

// Invariants: a request is rejected only if its client may safely send it again, and fails otherwise; it is
// completed in the request table together with the action.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class LoadShedder {
 public:
  // Both arguments must outlive the shedder.
  LoadShedder(RequestTable& requests, const LatencyTracker& latency)
      : requests_(requests), latency_(latency) {}

  // Ends the request, which must not be in flight, if no further attempt is permitted.
  void giveUpIfExhausted(BatchContext& batch, Request& request);
  // Ends the waiting requests that could no longer be sent in time in the batch after the next.
  void expireDue(BatchContext& batch);
  // Ends requests that arrived in this batch, lowest weight first, until at most kShedThresholdShare of
  // Settings::maxPendingRequests are pending.
  void shedLoad(BatchContext& batch);
  // Ends the requests that arrived in this batch and cannot expect an attempt before their deadline, because
  // more urgent requests use all the attempts that the rate limits allow until then.
  void rejectUnattempted(BatchContext& batch);

 private:
  // Retry-After for requests of the destination, in ms from now.
  double retryAfterMs(const BatchContext& batch, const Destination& destination) const;
  // Rejects the request if its client may safely send it again, fails it otherwise, and completes it.
  void giveUp(BatchContext& batch, Request& request, double retryAfterMs);
  // Whether the request arrived in this batch, so that its client has not been answered 202 yet.
  static bool arrivedNow(const BatchContext& batch, const Request& request);
  // How many requests the rate limits let through before the deadline of `request`; kNever if an endpoint's
  // calls are not rationed.
  static double attemptsInTime(BatchContext& batch, const Request& request);

  RequestTable& requests_;
  const LatencyTracker& latency_;
};

}  // namespace myrtleloft::policy
