// Decides which idle connections are reused for calls and which are closed.
// Cost: linear in the number of idle connections that are closed, otherwise constant.
#pragma once

#include <optional>

#include "state/endpoint.h"

namespace myrtleloft::policy {

// Learns the maximum usable idle age of connections from calls that broke on idle connections. The learned
// age grows again with time, so that a temporary fault is not remembered permanently.
// Invariant: the learned age never exceeds Settings::connectionIdleMs.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class ConnectionReuse {
 public:
  // Takes an idle connection for the next call and returns how long it was idle, in ms. Returns std::nullopt
  // if the call opens a new connection.
  std::optional<double> takeIdle(BatchContext& batch, Endpoint& endpoint) const;
  // Records that a finished call left its connection idle. Endpoints with a connection limit count idle
  // connections as well, so all are closed if `connectionTableFullRate`, in [0, 1], shows full tables.
  static void addIdle(BatchContext& batch, Endpoint& endpoint, double connectionTableFullRate);
  // Returns whether the call broke on an idle connection, which is no evidence about the endpoint's health.
  // If the next call to the destination succeeds, the endpoint was healthy and the connection too old: the
  // idle age is then learned for all endpoints.
  bool brokeOnIdleConnection(BatchContext& batch, Endpoint& endpoint, const Call& call, Outcome outcome);

 private:
  double usableAgeMs(const BatchContext& batch) const;

  double learnedAgeMs_ = kNever;  // shortest idle age of a broken connection, times kIdleAgeShare
  double learnedAtMs_ = 0;
};

}  // namespace myrtleloft::policy
