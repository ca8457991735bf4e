// How many steps may be played now, so that the audit stays within its share of the core: by what steps were
// measured to cost, whatever the machine. What is not used is not saved up beyond one slice.
//
//   CoreShare share;
//   std::size_t steps = share.steps(nowMs);
//   steps = audit.play(nowMs, steps, out);
//   share.took(steps, clock.nowMs() - nowMs);
#pragma once

#include <algorithm>
#include <cstddef>

namespace myrtleloft {

class CoreShare {
 public:
  static constexpr double kShare = 0.02;  // of one core, at most, and only while there is something to play
  static constexpr double kSliceMs = 1;   // a handler of the loop takes no longer for it

  std::size_t steps(double nowMs) {
    creditMs_ = std::min(kSliceMs, creditMs_ + std::max(0.0, nowMs - lastMs_) * kShare);
    lastMs_ = nowMs;
    if (creditMs_ <= 0) return 0;
    // One step that takes longer than a slice is played all the same, and owed.
    return std::max<std::size_t>(creditMs_ >= kSliceMs ? 1 : 0,
                                 static_cast<std::size_t>(creditMs_ / stepMs_));
  }
  // A slice may have taken longer than it should: what it took is owed.
  void took(std::size_t steps, double spentMs) {
    creditMs_ -= spentMs;
    if (steps > 0)
      stepMs_ += (std::max(spentMs / static_cast<double>(steps), kLeastStepMs) - stepMs_) * kNewest;
  }

 private:
  static constexpr double kNewest = 0.2, kLeastStepMs = 0.001;
  double creditMs_ = 0, lastMs_ = 0, stepMs_ = 0.05;
};

}  // namespace myrtleloft
