// How requests complete. The client that still waits, or else the platform, learns only what the next process
// would know too: so each completion is recorded first, and waits for the disk where it cannot be.
//
//   completions.giveUp(id, FinalStatus::kReturned, retryAfterMs);   // the decision module's
//   completions.close(id);   // delivered, or its notification confirmed
//
// Invariants: a request in `unnotified_` has its final status and no notification yet; one in `unrejected_`
// is over and keeps its client's callback, or the client has gone. One thread; O(log requests) and a record
// of the journal each.
#pragma once

#include <string>
#include <vector>

#include "counters/counters.h"
#include "exchange/journal_compactor.h"
#include "exchange/journaled_sends.h"
#include "exchange/rule_guard.h"
#include "log/request_trace.h"
#include "notices/notification_sender.h"

namespace myrtleloft {

class Completions {
 public:
  struct Parts {
    Loop& loop;
    Journal& journal;
    NotificationSender& notifications;
    Counters& counters;
    RequestTable& requests;
    const QuotaCharges& quotas;
    RuleGuard& guard;
    const RequestTrace& trace;
    JournaledSends& sends;
    JournalCompactor& compactor;
  };
  explicit Completions(const Parts& parts) : parts_(parts) {}

  // The decision module gives the request up. The client hears so if it still waits, else the platform. No
  // request that may have been executed is returned: it fails.
  void giveUp(const std::string& id, FinalStatus status, double retryAfterMs);
  // Records an accepted request's final status and notifies the platform. Where it cannot be recorded, the
  // notification waits until it can be, or until the deadline: the next process would know neither, and send
  // what the platform takes for over. After the deadline it sends nothing, and notifies a second time: so
  // what is said without a record says no more than that process will, by the records that there are. A
  // request that never ran fails then, where the disk has an attempt of it that may have been executed.
  void recordFinalStatus(OpenRequest& request, FinalStatus status, double retryAfterMs);
  // A request whose client has no 202 yet is over: the client gets `answer` once no process will find the
  // request pending. Until then it stays open, unanswered. It may be gone afterwards.
  void rejectOnceRecorded(OpenRequest& request, FinalStatus status, const Answer& answer);
  // The platform has confirmed the notification of that request: counts how late it was, and closes it.
  void onConfirmed(const std::string& id);
  // Nothing is left to do for an open request: records that and forgets it. `id` must not be a part of it.
  void close(const std::string& id);
  // The process ends: clients whose rejection still waits for its record get a 202, as the next process will
  // find their requests pending; those whose rejection has been recorded meanwhile are rejected.
  void answerPendingRejections();

 private:
  struct PendingRejection {
    RequestHandle request;
    Answer answer;
  };

  void retryFinalStatuses();
  void retryRejections();

  Parts parts_;
  std::vector<RequestHandle> unnotified_;
  Loop::Timer notifyTimer_ = Loop::kNoTimer;
  std::vector<PendingRejection> unrejected_;
  Loop::Timer rejectTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
