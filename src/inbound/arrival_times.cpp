#include "inbound/arrival_times.h"

#include <algorithm>

namespace myrtleloft {
namespace {

// PROTOCOL, "Clients to relays": a client waits so long for its answer. What came earlier has no client any
// more, so no bound needs to be earlier.
constexpr double kClientPatienceMs = 400;

}  // namespace

void ArrivalTimes::beforeRead(const Look& look) {
  emptyMs_ = std::max(emptyMs_, look.quietAtMs);
  firstMs_ = std::clamp(emptyMs_, look.nowMs - kClientPatienceMs, look.nowMs);
  lastMs_ = look.ageMs ? std::clamp(look.nowMs - *look.ageMs, std::min(emptyMs_, look.nowMs), look.nowMs)
                       : firstMs_;
  firstMs_ = std::min(firstMs_, lastMs_);
  readMs_ = look.nowMs;
}

void ArrivalTimes::afterRead(bool drained) {
  drained_ = drained;
  if (drained) emptyMs_ = std::max(emptyMs_, readMs_);
}

}  // namespace myrtleloft
