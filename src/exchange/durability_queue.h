// Holds back 202 answers and calls until their journal records are durable, batch by batch and in order. At
// the durability level `group` a batch waits for the sync that covers its records; at the level `process` it
// is released at once.
//
//   queue.stageAccepted(request.handle());
//   queue.stageCall(std::move(call));
//   queue.closeBatch();        // the batch's records end at the journal's current position
//   journal.sync();
//   queue.releaseDurable();    // now, and again after each sync
//
// A waiting call whose time runs out is reported as not sent, even if the sync takes longer.
//
// Invariants: the positions of the batches in `waiting_` do not decrease; `staged_` is the batch that has not
// been closed. Single-threaded; each operation costs O(waiting calls).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "discovery/endpoint_table.h"
#include "exchange/completions.h"

namespace myrtleloft {

class DurabilityQueue {
 public:
  struct Parts {
    Loop& loop;
    const Settings& settings;
    const EndpointTable& endpoints;
    Journal& journal;
    UpstreamClient& outbound;
    Counters& counters;
    RequestTable& requests;
    const QuotaCharges& quotas;
    const RequestTrace& trace;
    BatchScheduler& scheduler;
    UnsentAttempts& unsent;
    Completions& completions;
  };
  using EndpointPredicate = std::function<bool(const std::string& endpoint)>;

  explicit DurabilityQueue(const Parts& parts) : parts_(parts) {}
  ~DurabilityQueue() { parts_.loop.cancel(expiryTimer_); }
  DurabilityQueue(const DurabilityQueue&) = delete;
  DurabilityQueue& operator=(const DurabilityQueue&) = delete;

  // Add to the current batch, until `closeBatch` queues it.
  void stageAccepted(RequestHandle request) { staged_.accepted.push_back(std::move(request)); }
  void stageCall(PlannedCall call) { staged_.calls.push_back(std::move(call)); }
  void closeBatch();
  // Answers the clients and makes the calls whose records are durable.
  void releaseDurable();
  // Whether so many batches wait that a sync must be hanging.
  bool isFull() const { return waiting_.size() >= kMaxWaitingBatches; }

  // Reports the waiting calls with that request as not sent, because the decision module has cancelled it or
  // the request is closed. Returns false if no such call waits here.
  bool cancelCall(const std::string& id);
  // Reports calls that have not been sent, here and in `outbound`, as not sent if `affected` holds for their
  // endpoint.
  void withdrawCalls(const EndpointPredicate& affected);
  // For when no sync will cover the waiting batches: rejects their clients and reports their calls as not
  // sent.
  void rejectWaiting();

 private:
  // Batches are at least some milliseconds apart, so this many take more than a second.
  static constexpr std::size_t kMaxWaitingBatches = 256;

  struct Batch {
    std::uint64_t position = 0;  // in the journal, after the batch's last record
    std::vector<RequestHandle> accepted;
    std::vector<PlannedCall> calls;
  };

  void answerAccepted(const RequestHandle& handle);
  void rejectAccepted(const RequestHandle& handle);
  void makeCall(PlannedCall& call);
  using ItemPredicate = std::function<bool(const PlannedCall& call, const CallItem& item)>;
  // Removes the affected items from the waiting calls and reports them as not sent. Returns their number.
  std::size_t reportUnsent(const ItemPredicate& affected);
  // Sets the timer for the next waiting call whose time runs out.
  void scheduleExpiry();
  void expireCalls();
  // Returns the loop's time in milliseconds by which the last byte of a call with that request must be sent,
  // so that the endpoint still remembers the key of an attempt that may have been executed. Infinite if the
  // request is not such a retry.
  double sendDeadlineMs(const OpenRequest& request) const;

  Parts parts_;
  Batch staged_;
  std::deque<Batch> waiting_;
  Loop::Timer expiryTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
