// Ends requests without a delivery: on arrival, above the limit or where no attempt is to be had in time;
// when due; or exhausted. What has been accepted is kept for an attempt as long as one may arrive in time.
// Cost: expiring is linear in what is due, shedding in all requests that wait for each that is shed,
// returning in all requests that wait times the endpoints of their destination.
#pragma once

#include "policy/request_priority.h"
#include "policy/retry_policy.h"
#include "state/request_table.h"

namespace myrtleloft::policy {

// Invariants: a request that it ends is rejected only where its client may send it again, and fails
// otherwise; it is completed in the table with the action.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class LoadShedder {
 public:
  // Both must outlive the shedder.
  LoadShedder(RequestTable& requests, const LatencyTracker& latency)
      : requests_(requests), latency_(latency) {}

  // Ends the request, which must wait, where no further attempt is permitted.
  void giveUpIfExhausted(BatchContext& batch, Request& request);
  // Ends the requests that wait and would be too late by the batch after the next.
  void expireDue(BatchContext& batch);
  // Ends those of the least weight among the requests that came with this batch, until a share of the limit
  // is pending at most.
  void shedLoad(BatchContext& batch);
  // Ends the requests that came with this batch and will not be attempted in their time: all attempts go to
  // requests that lose more.
  void rejectUnattempted(BatchContext& batch);

 private:
  // When to come again, in ms from now.
  double retryAfterMs(const BatchContext& batch, const Destination& destination) const;
  void giveUp(BatchContext& batch, Request& request, double retryAfterMs);
  // Whether it came with this batch: its client has no 202 yet.
  static bool arrivedNow(const BatchContext& batch, const Request& request);
  // How many requests may be attempted before the deadline; kNever: calls are not rationed.
  static double attemptsInTime(BatchContext& batch, const Request& request);

  RequestTable& requests_;
  const LatencyTracker& latency_;
};

}  // namespace myrtleloft::policy
