// Calls from their first byte to their outcome: checks each call once more before it leaves, knows which
// requests are in flight, and hands the outcomes on to the decision module and the journal.
//
// Its state is OpenRequest::callInFlight, which nobody else changes. One thread; O(log requests) for each
// request of a call, and a record of the journal for one that is known not executed or completed.
#pragma once

#include <string>
#include <vector>

#include "exchange/durability_queue.h"

namespace myrtleloft {

class CallTracker {
 public:
  struct Parts {
    const Loop& loop;
    const Settings& settings;
    const EndpointTable& endpoints;
    Journal& journal;
    Counters& counters;
    RequestTable& requests;
    const QuotaCharges& quotas;
    BatchScheduler& scheduler;
    RuleGuard& guard;
    const RequestTrace& trace;
    Completions& completions;
    DurabilityQueue& commit;
  };
  explicit CallTracker(const Parts& parts) : parts_(parts) {}

  // As CallListener::maySend: false where one of its requests would break a rule.
  bool maySend(const OutgoingCall& call);
  // As CallListener::onOutcomes. If the endpoint stated a Retry-After, calls to it that have not left are
  // withdrawn.
  void onOutcomes(const std::string& endpoint, const std::vector<CallOutcome>& outcomes,
                  const LoadReport& report);

 private:
  // The rule that the call would break with that request; none: it may leave.
  std::optional<Violation> violationOf(const OutgoingCall& call, const std::string& id,
                                       const EndpointRecord* endpoint);
  void onOutcome(const std::string& endpoint, CallOutcome outcome, const LoadReport& report);
  // For `endpoint` and for those that share its limit, as the module may not have known when it decided.
  void withdrawCallsTo(const std::string& endpoint);

  Parts parts_;
};

}  // namespace myrtleloft
