// Takes over the requests that an earlier process left pending: adds each to the request table, attaches it
// to the journal, and then passes it to the decision module, notifies the platform of its final status again,
// or completes it as failed because the current settings do not allow it to be sent.
//
// No state. Single-threaded; O(requests * log requests), plus one journal record for each request that fails.
#pragma once

#include <deque>

#include "discovery/endpoint_directory.h"
#include "exchange/completions.h"
#include "exchange/recovered.h"

namespace myrtleloft {

class RequestRecovery {
 public:
  struct Parts {
    const Loop& loop;
    const Settings& settings;
    const EndpointDirectory& directory;
    Journal& journal;
    NotificationSender& notifications;
    Counters& counters;
    RequestTable& requests;
    CompletedRequests& completed;
    const QuotaCharges& quotas;
    BatchScheduler& scheduler;
    RuleGuard& guard;
    Completions& completions;
  };
  explicit RequestRecovery(const Parts& parts) : parts_(parts) {}

  // Takes over all requests and leaves `pendingRequests` empty. The decision module gets them with the
  // scheduler's next batch, to which the endpoint list must have been added before.
  void recover(PendingTable& pendingRequests);
  // Remembers those completed requests whose class does not allow a second execution. Whether they were
  // delivered is not recorded, so a repetition is answered as failed.
  void rememberCompleted(const std::deque<PendingRequest>& completedRequests);

 private:
  void recover(RecoveredRequest recoveredRequest, const WallClock& wall, double nowMs);

  Parts parts_;
};

}  // namespace myrtleloft
