// Groups the decision module's send actions into calls, and records each request's attempt in the journal
// before the first byte of its call: after a restart it must be known that the call may have been executed.
//
//   for (PlannedCall& call : sends.record(actions, scheduler.batchMs())) ...   // sent once durable
//
// An attempt that the journal cannot record is deferred. It keeps its call slot until it can be recorded, its
// request is completed, its timeout has passed, or the module has cancelled it, which takes effect at the
// next retry of the record. If it were reported as not sent at once, the module would try again in each batch
// and use up the request's attempts during a short disk fault. If it were reported only after its timeout,
// the request would get its final status too late.
//
// Single-threaded; O(sends), plus one journal record for each.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "counters/counters.h"
#include "discovery/endpoint_table.h"
#include "exchange/unsent_attempts.h"
#include "log/request_trace.h"
#include "net/loop.h"
#include "outbound/upstream_client.h"

namespace myrtleloft {

// Send actions of one batch that go out as one call.
struct PlannedCall {
  std::string endpoint;
  std::size_t bytes = 0;  // upper bound of the size of its body
  std::vector<CallItem> items;
};

class JournaledSends {
 public:
  struct Parts {
    Loop& loop;
    const Settings& settings;
    const EndpointTable& endpoints;
    Journal& journal;
    Counters& counters;
    RequestTable& requests;
    const QuotaCharges& quotas;
    const RequestTrace& trace;
    UnsentAttempts& unsent;
  };
  explicit JournaledSends(const Parts& parts) : parts_(parts) {}

  // Records the attempts of one batch, decided at `decidedMs` on the loop's clock, and returns its calls. The
  // calls keep the order of `sends`, and carry as many requests as the endpoint's kind and kBodyLimit allow.
  std::vector<PlannedCall> record(const std::vector<const SendAction*>& sends, double decidedMs);
  // Cancels the deferred send of that request, for the decision module. Returns false if there is none. It is
  // reported as not sent at the next retry of the records; reported at once, it would make the module decide
  // on another attempt that cannot be recorded either.
  bool cancel(const std::string& id);
  // Drops the deferred send of a completed request, if there is one, which frees its call slot.
  void drop(const std::string& id);

 private:
  // A send whose attempt the journal could not record.
  struct UnrecordedSend {
    std::string id;
    std::string endpoint;
    int zone = 0;
    double expiresMs = 0;  // on the loop's clock
  };

  std::size_t batchSizeOf(int kind) const;
  void plan(const SendAction& send, std::vector<PlannedCall>& calls);
  // Records the attempts of the call's requests; those that cannot be recorded are deferred and removed from
  // it.
  void recordAttempts(PlannedCall& call, double decidedMs);
  void defer(UnrecordedSend send);
  void retryRecords();
  std::vector<UnrecordedSend>::iterator findDeferred(const std::string& id);

  Parts parts_;
  std::vector<UnrecordedSend> deferred_;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
