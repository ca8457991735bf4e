// Schedules the polls of the endpoint list.
// Cost: constant.
#pragma once

#include "policy/constants.h"
#include "state/batch_context.h"

namespace myrtleloft::policy {

// Invariant: at most one poll is scheduled, and none (kNever) while one is in progress or if the list is not
// watched.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class EndpointListWatch {
 public:
  // With `watches`, the first poll is due at once; otherwise none is ever due.
  explicit EndpointListWatch(bool watches) : pollAtMs_(watches ? 0 : kNever) {}

  // When the next poll is due, in ms; kNever if none is scheduled.
  double pollAtMs() const { return pollAtMs_; }
  // Records a successful poll, which resets the backoff.
  void recordAnswer() { failures_ = 0; }
  // Records a failed poll and schedules another after an exponential backoff with jitter, which keeps relays
  // from polling at the same time.
  void recordFailure(BatchContext& batch);
  // Emits a WatchEndpointListAction if a poll is due.
  void pollIfDue(BatchContext& batch);

 private:
  int failures_ = 0;  // consecutive
  double pollAtMs_;
};

}  // namespace myrtleloft::policy
