#include "policy/connection_reuse.h"

#include "state/portable_math.h"

namespace myrtleloft::policy {

std::optional<double> ConnectionReuse::takeIdle(BatchContext& batch, Endpoint& endpoint) const {
  const std::vector<double>& idle = endpoint.idleSinceMs;
  if (!idle.empty() && batch.nowMs() - idle.front() >= usableAgeMs(batch))
    endpoint.closeIdleConnections(batch);
  return endpoint.takeIdleConnection(batch.nowMs());
}

void ConnectionReuse::addIdle(BatchContext& batch, Endpoint& endpoint, double connectionTableFullRate) {
  if (!batch.settings.reusesConnections) return;
  endpoint.idleSinceMs.push_back(batch.nowMs());
  if (connectionTableFullRate > kTableFullThreshold) endpoint.closeIdleConnections(batch);
}

bool ConnectionReuse::brokeOnIdleConnection(BatchContext& batch, Endpoint& endpoint, const Call& call,
                                            Outcome outcome) {
  double& brokenIdleMs = endpoint.upstream->traffic().brokenIdleMs;
  if (outcome != Outcome::kReset || call.idleMs.value_or(-1) <= 0) {
    if (outcome == Outcome::kSuccess && brokenIdleMs < kNever) {
      learnedAgeMs_ = std::min(usableAgeMs(batch), brokenIdleMs * kIdleAgeShare);
      learnedAtMs_ = batch.nowMs();
    }
    brokenIdleMs = kNever;
    return false;
  }
  brokenIdleMs = std::min(brokenIdleMs, *call.idleMs);
  if (!endpoint.idleSinceMs.empty()) endpoint.closeIdleConnections(batch);
  return true;
}

double ConnectionReuse::usableAgeMs(const BatchContext& batch) const {
  const double doublingMs = batch.settings.slowStartMs * kIdleAgeDoublingSpans;
  return std::min(batch.settings.connectionIdleMs,
                  learnedAgeMs_ * portable::exp2((batch.nowMs() - learnedAtMs_) / doublingMs));
}

}  // namespace myrtleloft::policy
