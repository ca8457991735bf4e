// Tracks calls from their first byte to their outcome: checks each call against the rules just before it is
// sent, keeps track of which requests are in flight, and passes the outcomes to the decision module and the
// journal.
//
// Its only state is OpenRequest::callInFlight, which no other class changes. Single-threaded; O(log requests)
// for each request of a call, plus one journal record for a request that is known not executed or completed.
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
    DurabilityQueue& durabilityQueue;
  };
  explicit CallTracker(const Parts& parts) : parts_(parts) {}

  // Implements CallListener::maySend. Returns false if the call would break a rule for one of its requests.
  bool maySend(const OutgoingCall& call);
  // Implements CallListener::onOutcomes. If the endpoint stated a Retry-After, calls to it that have not been
  // sent are withdrawn.
  void onOutcomes(const std::string& endpoint, const std::vector<CallOutcome>& outcomes,
                  const LoadReport& report);

 private:
  // Returns the rule that the call would break for that request, or std::nullopt if it may be sent.
  std::optional<Violation> violationOf(const OutgoingCall& call, const std::string& id,
                                       const EndpointRecord* endpoint);
  void onOutcome(const std::string& endpoint, CallOutcome outcome, const LoadReport& report);
  // Withdraws calls to `endpoint` and to the endpoints that share its limit: the module may have decided on
  // them before the Retry-After was known.
  void withdrawCallsTo(const std::string& endpoint);

  Parts parts_;
};

}  // namespace myrtleloft
