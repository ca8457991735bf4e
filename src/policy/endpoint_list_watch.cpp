#include "policy/endpoint_list_watch.h"

namespace myrtleloft::policy {

void EndpointListWatch::recordFailure(BatchContext& batch) {
  const double share = std::min(0.5, 0.05 * std::pow(2, failures_++));
  pollAtMs_ = batch.nowMs() + batch.settings.listRetryMs * (0.5 + batch.drawUniform() / 2) * share;
}

void EndpointListWatch::pollIfDue(BatchContext& batch) {
  if (batch.nowMs() < pollAtMs_) return;
  batch.emit(WatchEndpointListAction{true});
  pollAtMs_ = kNever;
}

}  // namespace myrtleloft::policy
