// Completes requests. The client (before its 202) or the platform (after it) is told only what the next
// process would know from the journal as well. Each completion is therefore recorded first; if the disk
// fails, the answer or notification is delayed until it can be recorded.
//
//   completions.giveUp(id, FinalStatus::kReturned, retryAfterMs);   // by the decision module
//   completions.close(id);   // delivered, or its notification is confirmed
//
// Invariants: a request in `unrecordedStatuses_` has a final status, and its notification has not been sent.
// A request in `pendingRejections_` is given up and keeps its client's callback, unless the client has
// disconnected. Single-threaded; each call costs O(log requests) and one journal record.
#pragma once

#include <string>
#include <vector>

#include "counters/counters.h"
#include "exchange/completed_requests.h"
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
    CompletedRequests& completed;
    const QuotaCharges& quotas;
    RuleGuard& guard;
    const RequestTrace& trace;
    JournaledSends& sends;
    JournalCompactor& compactor;
  };
  explicit Completions(const Parts& parts) : parts_(parts) {}

  // The decision module gives the request up. The client is told if it still waits for its 202, otherwise the
  // platform is notified. A request that may have been executed is never returned; it is completed as failed.
  void giveUp(const std::string& id, FinalStatus status, double retryAfterMs);
  // Records the final status of an accepted request and notifies the platform. While the status cannot be
  // recorded, the notification waits, at the latest until the deadline: after a restart the next process
  // would not know the status, and would send a request that the platform takes for completed. After the
  // deadline the next process sends no more calls, but notifies a second time. A status that is notified
  // without a record must therefore be the one that the next process will derive from the journal: a request
  // that was not executed is notified as failed if the journal has an attempt of it that counts as ambiguous.
  void recordFinalStatus(OpenRequest& request, FinalStatus status, double retryAfterMs);
  // Ends a request whose client has no 202 yet: the client gets `answer` once no later process can find the
  // request pending in the journal. Until then the request stays open and unanswered. `request` may be erased
  // by this call.
  void rejectOnceRecorded(OpenRequest& request, FinalStatus status, const Answer& answer);
  // The platform has confirmed the notification of that request: counts it if it was late, and closes the
  // request.
  void onConfirmed(const std::string& id);
  // Records that nothing is left to do for an open request, erases it, and remembers how it ended if it was
  // accepted or may have been executed. `id` must not refer into the request.
  void close(const std::string& id);
  // For the end of the process: clients whose rejection is not recorded yet are answered 202, because the
  // next process will find their requests pending. Clients whose rejection has been recorded are rejected.
  void answerPendingRejections();

 private:
  struct PendingRejection {
    RequestHandle request;
    Answer answer;
  };

  void remember(const OpenRequest& request);
  void retryFinalStatuses();
  void retryRejections();

  Parts parts_;
  std::vector<RequestHandle> unrecordedStatuses_;
  Loop::Timer statusTimer_ = Loop::kNoTimer;
  std::vector<PendingRejection> pendingRejections_;
  Loop::Timer rejectTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
