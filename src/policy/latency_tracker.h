// Tracks the typical latency of each endpoint and the mean of all, and detects unresponsive endpoints by it.
// Cost: constant, without allocation.
#pragma once

#include "state/latency_table.h"

namespace myrtleloft::policy {

// Invariant: a typical latency is an exponentially weighted moving average of the latencies of the endpoint's
// successful calls, 0 before the first.
// Thread safety: none; the dispatcher that owns it uses it from one thread at a time.
class LatencyTracker : public LatencyTable {
 public:
  // Mean of the typical latencies of all endpoints in ms; kDefaultLatencyMs while no latency is known.
  double meanOrDefaultMs() const { return meanMs() > 0 ? meanMs() : kDefaultLatencyMs; }
  // Typical latency of the endpoint in ms, above 0; the mean of all endpoints while its own is not known.
  double typicalMs(const Endpoint& endpoint) const {
    return endpoint.typicalLatencyMs > 0 ? endpoint.typicalLatencyMs : meanOrDefaultMs();
  }
  // Records that a call to the endpoint succeeded after `tookMs`, 0 or more.
  void record(Endpoint& endpoint, double tookMs);
  // Whether, for more than kUnresponsiveLatencyFactor typical latencies, a call to the endpoint has been in
  // flight and none has succeeded.
  bool unresponsive(const BatchContext& batch, const Endpoint& endpoint) const;
  // Whether calls to the endpoint are likely to fail: it is unresponsive, or ejected without a success since.
  bool suspect(const BatchContext& batch, const Endpoint& endpoint) const;
};

// The functions from here to the end are inline because they are evaluated for each endpoint at each ranking.
inline bool LatencyTracker::unresponsive(const BatchContext& batch, const Endpoint& endpoint) const {
  if (endpoint.calls.empty()) return false;
  const double sinceMs = std::max(endpoint.calls.begin()->second->sentMs, endpoint.lastSuccessMs);
  return batch.nowMs() - sinceMs > kUnresponsiveLatencyFactor * typicalMs(endpoint);
}

inline bool LatencyTracker::suspect(const BatchContext& batch, const Endpoint& endpoint) const {
  return unresponsive(batch, endpoint) || endpoint.upstream->awaitsRecovery();
}

}  // namespace myrtleloft::policy
