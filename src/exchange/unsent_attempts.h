// Reports attempts that the decision module decided on and that were never sent. The module has reserved a
// call slot for each, which stays occupied until an outcome is reported.
//
// Stateless. Single-threaded; O(log requests), plus one journal record for an attempt that was recorded.
#pragma once

#include <string>

#include "exchange/batch_scheduler.h"
#include "exchange/request_table.h"
#include "journal/journal.h"

namespace myrtleloft {

class UnsentAttempts {
 public:
  struct Parts {
    Journal& journal;
    RequestTable& requests;
    const QuotaCharges& quotas;
    BatchScheduler& scheduler;
  };
  explicit UnsentAttempts(const Parts& parts) : parts_(parts) {}

  // Reports an attempt that the journal has recorded: records it as not executed, and refunds its call. The
  // request may have been completed meanwhile.
  void reportRecorded(const std::string& id, const std::string& endpoint);
  // Reports an attempt that the journal has not recorded; it only counts towards the request's attempts.
  void reportUnrecorded(const std::string& id, const std::string& endpoint);

 private:
  void push(const std::string& id, const std::string& endpoint, int attempt, bool isCompleted);

  Parts parts_;
};

}  // namespace myrtleloft
