// What may only be done once the journal is as safe as its level asks: answering 202, and calls. It waits
// here, batch by batch and in order, until a sync has covered its records; at the level `process` for no time
// at all.
//
//   commit.stageAccepted(request.handle());
//   commit.stageCall(std::move(call));
//   commit.closeBatch();        // its records end at the journal's position of now
//   journal.sync();
//   commit.releaseDurable();    // here, and again when a sync is done
//
// A call whose time is up while it waits is reported as not sent, however long the sync takes.
//
// Invariant: the positions of `waiting_` do not decrease, and what is staged has not been closed. One thread;
// each costs O(what waits).
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

  // Of the batch that is being carried out.
  void stageAccepted(RequestHandle request) { staged_.accepted.push_back(std::move(request)); }
  void stageCall(PlannedCall call) { staged_.calls.push_back(std::move(call)); }
  void closeBatch();
  // Answers the clients and makes the calls whose records are durable.
  void releaseDurable();
  // A sync hangs: more batches wait for it than a second brings.
  bool isFull() const { return waiting_.size() >= kMaxWaitingBatches; }

  // The decision module cancels a call, or its request is closed. false: none with that request waits here.
  bool cancelCall(const std::string& id);
  // Calls that have not left, here and in `outbound`, to the endpoints for which `affected` holds, are
  // reported as not sent.
  void withdrawCalls(const EndpointPredicate& affected);
  // No sync will cover what waits for one: its clients are rejected, its calls reported as not sent.
  void rejectWaiting();

 private:
  // Batches are at least some milliseconds apart: these are more than a second's.
  static constexpr std::size_t kMaxWaitingBatches = 256;

  struct Batch {
    std::uint64_t position = 0;  // of the journal, behind its last record
    std::vector<RequestHandle> accepted;
    std::vector<PlannedCall> calls;
  };

  void answerAccepted(const RequestHandle& handle);
  void rejectAccepted(const RequestHandle& handle);
  void makeCall(PlannedCall& call);
  using ItemPredicate = std::function<bool(const PlannedCall& call, const CallItem& item)>;
  // Takes these out of the calls that wait and reports them as not sent; how many there were.
  std::size_t reportUnsent(const ItemPredicate& affected);
  // Looks again when the time of a call that waits is up.
  void armExpiry();
  void expireCalls();
  // By when the last byte of a call with it must have left, on the loop's clock in ms, so that the endpoint
  // still knows the key of an attempt that may have been executed; infinite: nothing binds it.
  double sendDeadlineMs(const OpenRequest& request) const;

  Parts parts_;
  Batch staged_;
  std::deque<Batch> waiting_;
  Loop::Timer expiryTimer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
