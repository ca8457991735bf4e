#include "copies/takeover.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace myrtleloft {

void Takeover::requestFence(const std::string& replica, ReplicationStep& out) {
  out.sends.push_back(
      {replica, FleetKind::kFence, encode(FenceRequest{ledger_, state_.epoch, progress_[replica].after})});
}

void Takeover::onTick(double nowMs, ReplicationStep& out) {
  if (done_ || superseded_ || nowMs - lastRequestMs_ < kRetryMs) return;
  lastRequestMs_ = nowMs;
  for (const RelayId& replica : state_.ensemble) requestFence(replica.name, out);
}

void Takeover::onFenceResponse(const std::string& from, const FenceResponse& response, double nowMs,
                               ReplicationStep& out) {
  if (done_ || response.epoch != state_.epoch) return;
  // A replica that has lost its state folder no longer has the records that it acknowledged.
  const RelayId replica{from, response.life};
  if (std::find(state_.ensemble.begin(), state_.ensemble.end(), replica) == state_.ensemble.end()) return;
  if (!response.done) {
    superseded_ = true;
    return;
  }
  ReadProgress& progress = progress_[from];
  if (response.after != progress.after) return;
  if (progress.fencedMs == 0) progress.fencedMs = nowMs;
  for (const std::string& bytes : response.records) {
    std::optional<Record> record = decode(bytes);
    if (!record) return;
    if (auto* accepted = std::get_if<AcceptedRecord>(&*record)) {
      progress.after = accepted->pending.id;
      progress.requests.push_back(std::move(accepted->pending));
    }
  }
  if (!response.last) {
    requestFence(from, out);
    return;
  }
  done_ = true;
  fencedMs_ = progress.fencedMs;
  requests_ = std::move(progress.requests);
  progress_.clear();
}

}  // namespace myrtleloft
