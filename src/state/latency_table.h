// Mean of the typical latencies of all endpoints.
// Cost: constant.
// Thread safety: none.
// Invariant: the sum and the count cover exactly the endpoints whose latency is known.
#pragma once

#include "state/endpoint.h"

namespace myrtleloft::policy {

class LatencyTable {
 public:
  // The mean in ms as of the last call of `set`; 0 before the first call.
  double meanMs() const { return meanMs_; }
  // Sets the typical latency of the endpoint, in ms and above 0.
  void set(Endpoint& endpoint, double typicalMs) {
    if (endpoint.typicalLatencyMs <= 0) ++known_;
    sumMs_ -= endpoint.typicalLatencyMs;
    endpoint.typicalLatencyMs = typicalMs;
    sumMs_ += endpoint.typicalLatencyMs;
    meanMs_ = sumMs_ / known_;
  }
  // Removes an endpoint that is about to be deleted.
  void remove(const Endpoint& endpoint) {
    if (endpoint.typicalLatencyMs > 0) --known_;
    sumMs_ -= endpoint.typicalLatencyMs;
  }

 private:
  double sumMs_ = 0;
  double known_ = 0;
  double meanMs_ = 0;
};

}  // namespace myrtleloft::policy
