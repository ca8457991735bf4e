// Holds requests back after a start until discovery confirms the cached endpoint list: while no process of
// this relay ran, an address in that list may have been given to an endpoint of another destination. Cost:
// constant.
#pragma once

#include "state/batch_context.h"
#include "state/request.h"

namespace myrtleloft::policy {

// Invariant: holds nothing before a cached list, after an answer of discovery, or once the wait is over. The
// wait is bounded, so that requests are also sent while discovery is unavailable.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class CachedListHold {
 public:
  // `maxWaitMs` is Settings::listConfirmationMs; with 0 or less, nothing is held.
  explicit CachedListHold(double maxWaitMs) : maxWaitMs_(maxWaitMs) {}

  // The list of an earlier process has arrived.
  void recordCachedList(const BatchContext& batch);
  // Discovery has answered, so the list is no longer that of an earlier process.
  void recordAnswer() { untilMs_ = -kNever; }
  // Sets how long a new request may be held. On the first one, asks for a poll of discovery.
  void admit(BatchContext& batch, Request& request);
  // Whether discovery has yet to confirm the cached list. If so, schedules the batch in which the wait is
  // over.
  bool isWaiting(BatchContext& batch) const;
  // Whether the request may not be sent in this batch. If so, schedules the batch in which it may be.
  bool holds(BatchContext& batch, const Request& request) const;

 private:
  double maxWaitMs_;
  double untilMs_ = -kNever;
  bool pollRequested_ = false;
};

}  // namespace myrtleloft::policy
