// A start with the requests that an earlier process left pending: each finds its place in the table and in
// the journal, and goes to the decision module, to the platform's notifications, or fails because the
// settings of now do not allow to send it.
//
// No state. One thread; O(requests * log requests), and a record of the journal for each that fails.
#pragma once

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
    const QuotaCharges& quotas;
    BatchScheduler& scheduler;
    RuleGuard& guard;
    Completions& completions;
  };
  explicit RequestRecovery(const Parts& parts) : parts_(parts) {}

  // Empties `found`. The module gets its requests with the scheduler's next batch, after the endpoint list
  // that must stand there already.
  void recover(PendingTable& found);

 private:
  void recover(RecoveredRequest found, const WallClock& wall, double nowMs);

  Parts parts_;
};

}  // namespace myrtleloft
