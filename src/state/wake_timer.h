// The single timer of a dispatcher.
// Cost: constant.
// Thread safety: none.
// Invariant: the newest token belongs to the timer armed for armedForMs_.
#pragma once

#include "state/batch_context.h"

namespace myrtleloft::policy {

class WakeTimer {
 public:
  // Called at the start of a batch: a timer that is due is no longer armed.
  void begin(double nowMs) {
    if (nowMs >= armedForMs_) armedForMs_ = kNever;
  }
  // Records that the timer has expired. It is identified by its token, not by the time, because a delay that
  // the caller rounds down makes it expire slightly early.
  void recordExpiry(std::uint64_t token) {
    if (token == lastToken_) armedForMs_ = kNever;
  }
  // Arms the timer for `atMs`, unless it is already armed for an earlier time.
  void arm(BatchContext& batch, double atMs) {
    if (atMs == kNever || atMs >= armedForMs_) return;
    armedForMs_ = std::max(atMs, batch.nowMs() + std::max(1.0, batch.settings.batchIntervalMs));
    batch.emit(TimerAction{armedForMs_ - batch.nowMs(), ++lastToken_});
  }

 private:
  double armedForMs_ = kNever;
  std::uint64_t lastToken_ = 0;
};

}  // namespace myrtleloft::policy
