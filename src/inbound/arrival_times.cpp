#include "inbound/arrival_times.h"

#include <algorithm>

namespace myrtleloft {
namespace {

// How long a client waits for its answer, according to the protocol. A request that arrived earlier has no
// client any more, so no bound needs to be earlier.
constexpr double kClientPatienceMs = 400;

}  // namespace

void ArrivalTimes::beforeRead(const Observation& observed) {
  emptyAtMs_ = std::max(emptyAtMs_, observed.quietAtMs);
  firstBytesMs_ = std::clamp(emptyAtMs_, observed.nowMs - kClientPatienceMs, observed.nowMs);
  lastByteMs_ = observed.ageMs ? std::clamp(observed.nowMs - *observed.ageMs,
                                            std::min(emptyAtMs_, observed.nowMs), observed.nowMs)
                               : firstBytesMs_;
  firstBytesMs_ = std::min(firstBytesMs_, lastByteMs_);
  readStartMs_ = observed.nowMs;
}

void ArrivalTimes::afterRead(bool drained) {
  drained_ = drained;
  if (drained) emptyAtMs_ = std::max(emptyAtMs_, readStartMs_);
}

}  // namespace myrtleloft
