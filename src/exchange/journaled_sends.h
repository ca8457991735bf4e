// Turns the decision module's sends into calls, and records the attempt of each request in the journal before
// its call's first byte: after a restart it must be known that the call may have been executed.
//
//   for (PlannedCall& call : sends.record(actions, scheduler.batchMs())) ...   // to leave once durable
//
// An attempt that the journal cannot record is put off, and keeps its call slot until it can be recorded, its
// request is completed, its timeout has passed or, at the next look, the module has cancelled it. Reported at
// once, the module would try again in each batch and use up the request's attempts within a moment of a fault
// of the disk; reported after its timeout, the request would have its final status late.
//
// One thread; O(sends) plus a record of the journal for each.
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

// Sends of one batch that travel as one call.
struct PlannedCall {
  std::string endpoint;
  std::size_t bytes = 0;  // of its body, at most
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

  // The calls of one batch, decided at `decidedMs` on the loop's clock; their attempts are recorded. They
  // keep the order of `sends`, and hold as many requests as the kind of the endpoint and kBodyLimit allow.
  std::vector<PlannedCall> record(const std::vector<const SendAction*>& sends, double decidedMs);
  // The module cancels a send. false: none of that request is put off. It is reported with the others: at
  // once, the next attempt would soon be cancelled too.
  bool cancel(const std::string& id);
  // The request is completed, so that its send that is put off, if any, frees its call slot.
  void drop(const std::string& id);

 private:
  // A send whose attempt the journal could not record.
  struct UnrecordedSend {
    std::string id;
    std::string endpoint;
    int zone = 0;
    double untilMs = 0;
  };

  std::size_t batchSizeOf(int kind) const;
  void plan(const SendAction& send, std::vector<PlannedCall>& calls);
  // Takes the requests out of the call whose attempts cannot be recorded.
  void recordAttempts(PlannedCall& call, double decidedMs);
  void putOff(UnrecordedSend send);
  void retryRecords();
  std::vector<UnrecordedSend>::iterator findPutOff(const std::string& id);

  Parts parts_;
  std::vector<UnrecordedSend> putOff_;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
