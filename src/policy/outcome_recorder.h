// Updates the statistics of a call's endpoint, of its upstream and of the fleet from the outcome of the call.
// Cost: constant, plus linear in the idle connections that are closed.
#pragma once

#include <map>

#include "policy/connection_reuse.h"
#include "policy/latency_tracker.h"

namespace myrtleloft::policy {

// Invariants: rates are in [0, 1]; the background rates do not include calls to ejected upstreams.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class OutcomeRecorder {
 public:
  // Both arguments must outlive the recorder.
  OutcomeRecorder(ConnectionReuse& connections, LatencyTracker& latency)
      : connections_(connections), latency_(latency) {}

  // Share, in [0, 1], of calls to endpoints of the kind whose connection was refused, or which were the first
  // on a connection and rejected without Retry-After. Both indicate a full connection table.
  double connectionTableFullRate(int kind) { return connectionTableFullRate_[kind]; }
  // Records the first outcome of a call; called once for each call. `call` is its state before the outcome.
  void record(BatchContext& batch, const Call& call, Outcome outcome);

 private:
  // Updates the moving averages over all upstreams and over endpoint kinds.
  void updateRates(const BatchContext& batch, const Call& call, Outcome outcome);
  void recordSuccess(const BatchContext& batch, const Call& call);

  ConnectionReuse& connections_;
  LatencyTracker& latency_;
  double backgroundFailureRate_ = 0;               // of calls to upstreams that are not ejected
  double backgroundRejectionRate_ = 0;             // of calls to upstreams that are not ejected
  std::map<int, double> connectionRefusalRate_;    // by endpoint kind
  std::map<int, double> connectionTableFullRate_;  // by endpoint kind
};

}  // namespace myrtleloft::policy
