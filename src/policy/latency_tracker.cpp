#include "policy/latency_tracker.h"

namespace myrtleloft::policy {

void LatencyTracker::record(Endpoint& endpoint, double tookMs) {
  const double typicalMs = endpoint.typicalLatencyMs;
  set(endpoint, typicalMs <= 0 ? tookMs : typicalMs + (tookMs - typicalMs) * kNewestWeight * 0.5);
}

}  // namespace myrtleloft::policy
