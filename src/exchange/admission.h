// Whether a new request comes in. What is admitted goes to the decision module with the next batch; unless
// that gives it up at once, it is recorded in the journal, and accepted when the record is durable.
//
//   admission.onRequest(std::move(request), answer);        // from the client side
//   for (const RequestHandle& request : admission.takeNew()) ...   // in the batch that decided on them
//     if (admission.recordAccepted(request)) commit.stageAccepted(request);
//
// Requests are rejected while the relay drains or is full, for destinations that nobody named, for an
// endpoint list that is too old, and for quotas; each of them is counted and logged. One thread; O(log
// requests), and a record of the journal in `recordAccepted`.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_directory.h"
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
    const QuotaCharges& quotas;
    BatchScheduler& scheduler;
    const RequestTrace& trace;
    const DurabilityQueue& commit;
  };
  explicit Admission(const Parts& parts) : parts_(parts) {}

  // As RequestSink::onRequest; the request's time runs from its arrival. The same request again is accepted;
  // another one under its id is malformed, as is one with much more time than its class allows.
  void onRequest(IncomingRequest request, RequestSink::AnswerCallback answer);
  // What came in since the last batch, in its order; some of it may be gone again.
  std::vector<RequestHandle> takeNew() { return std::exchange(new_, {}); }
  // Records a request that the module has not given up in the batch it came with. false: it is gone; what
  // cannot be recorded would not outlast the process, and is rejected.
  bool recordAccepted(const RequestHandle& handle);
  // The relay drains: what came in since the last batch is rejected.
  void rejectNew();

 private:
  struct Rejection {
    RejectReason reason;
    double retryAfterMs;
  };

  static bool isSame(const OpenRequest& known, const IncomingRequest& request);
  // Why nothing like the request is admitted now; counts it.
  std::optional<Rejection> findRejection(const IncomingRequest& request) const;
  void reject(const std::string& id, const RequestSink::AnswerCallback& answer, RejectReason reason,
              const Answer& text) const;
  void open(IncomingRequest request, RequestSink::AnswerCallback answer, double timeLeftMs,
            const QuotaCharge& charge);

  Parts parts_;
  std::vector<RequestHandle> new_;
};

}  // namespace myrtleloft
