// Admission control: decides whether a new request is admitted or rejected. An admitted request goes to the
// decision module with the next batch. Unless the module gives it up in that batch, it is recorded in the
// journal, and its client is answered 202 once the record is durable.
//
//   admission.onRequest(std::move(request), callback);                     // called by the HTTP server
//   for (const RequestHandle& request : admission.takeNewRequests()) ...   // after the batch was decided
//     if (admission.recordAccepted(request)) durabilityQueue.stageAccepted(request);
//
// A request is rejected while the relay drains or is full, while too many batches wait for a sync, if no
// endpoint list has named its destination, if the endpoint list is too old for its class, or if a quota is
// used up. Each rejection is counted and logged. Single-threaded; O(log requests), plus one journal record in
// `recordAccepted`.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_directory.h"
#include "exchange/completed_requests.h"
#include "exchange/durability_queue.h"
#include "exchange/reject_reason.h"

namespace myrtleloft {

class Admission {
 public:
  struct Parts {
    const Loop& loop;
    const Settings& settings;
    EndpointDirectory& directory;
    Journal& journal;
    Counters& counters;
    RequestTable& requests;
    const CompletedRequests& completed;
    const QuotaCharges& quotas;
    BatchScheduler& scheduler;
    const RequestTrace& trace;
    const DurabilityQueue& durabilityQueue;
  };
  explicit Admission(const Parts& parts) : parts_(parts) {}

  // Implements RequestSink::onRequest; the request's time runs from its arrival. A repetition of a request
  // that is accepted, or was completed before its deadline, gets the same answer. A different request under
  // the same id is answered as malformed, as is a request with much more time left than its class allows.
  void onRequest(IncomingRequest request, RequestSink::AnswerCallback callback);
  // Returns the requests admitted since the last batch, in order of arrival, and clears the list. Some of
  // them may have been closed meanwhile.
  std::vector<RequestHandle> takeNewRequests() { return std::exchange(newRequests_, {}); }
  // Records a request that the module has not given up in its first batch. Returns false if the request is no
  // longer open, or if the journal cannot record it: it would not survive a restart, so it is rejected.
  bool recordAccepted(const RequestHandle& handle);
  // Rejects the requests admitted since the last batch, because the relay drains.
  void rejectNewRequests();

 private:
  struct Rejection {
    RejectReason reason;
    double retryAfterMs;
  };

  static bool isSame(const OpenRequest& known, const IncomingRequest& request);
  // Returns the reason for which the request is rejected, and counts it; std::nullopt if there is none.
  std::optional<Rejection> findRejection(const IncomingRequest& request) const;
  void reject(const std::string& id, const RequestSink::AnswerCallback& callback, RejectReason reason,
              const Answer& answer) const;
  void open(IncomingRequest request, RequestSink::AnswerCallback callback, double timeLeftMs,
            const QuotaCharge& charge);

  void recordAttemptByAnotherRelay(OpenRequest& request, RequestEvent& event) const;

  Parts parts_;
  std::vector<RequestHandle> newRequests_;
};

}  // namespace myrtleloft
