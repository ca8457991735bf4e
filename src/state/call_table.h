// Table of the calls in flight, by call id.
//
//     Call& call = calls.begin(batch.nowMs(), endpoint, idleMs);
//     calls.join(request, call);                                // for each request in the call
//     const auto [before, finished] = calls.recordOutcome(request.call);
//
// Cost: logarithmic in the number of calls in flight.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "state/request.h"

namespace myrtleloft::policy {

// Invariants: once a request has joined it, a call in the table has at least one request without an outcome;
// it is also listed in Endpoint::calls, and counted as in flight by the endpoint's upstream.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class CallTable {
 public:
  struct RecordedOutcome {
    Call call;      // as it was before this outcome
    bool finished;  // whether this was the last outcome, so that the call has left the table
  };

  // All calls in flight, oldest first. Calls are added and removed only by the functions below.
  std::map<std::int64_t, Call>& calls() { return calls_; }
  // Number of calls in flight.
  int inFlight() const { return static_cast<int>(calls_.size()); }
  // Id of the newest call ever started, 0 before the first.
  std::int64_t lastId() const { return lastId_; }

  // Adds a call without requests. `idleMs` is how long its connection was idle, std::nullopt for a new
  // connection.
  Call& begin(double nowMs, Endpoint& endpoint, std::optional<double> idleMs);
  // Adds a request to the call and counts an attempt of the request.
  void join(Request& request, Call& call);
  // Records that one request of the call, which must be in the table, has its outcome. The last outcome
  // removes the call.
  RecordedOutcome recordOutcome(std::int64_t id);

 private:
  std::map<std::int64_t, Call> calls_;
  std::int64_t lastId_ = 0;
};

}  // namespace myrtleloft::policy
