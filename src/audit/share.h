// Limits the consistency check to a share of one core: computes how many steps may run now from the measured
// cost of earlier steps. Unused time is not saved up beyond one slice.
//
//   CoreShare share;
//   std::size_t steps = share.steps(nowMs);
//   steps = checker.play(nowMs, steps, out);
//   share.recordSpent(steps, clock.nowMs() - nowMs);
#pragma once

#include <algorithm>
#include <cstddef>

namespace myrtleloft {

class CoreShare {
 public:
  static constexpr double kShare = 0.02;  // maximum share of one core, used only while steps are left
  static constexpr double kSliceMs = 1;   // maximum time that the check adds to one event loop callback

  std::size_t steps(double nowMs) {
    creditMs_ = std::min(kSliceMs, creditMs_ + std::max(0.0, nowMs - lastMs_) * kShare);
    lastMs_ = nowMs;
    if (creditMs_ <= 0) return 0;
    // A single step that takes longer than a slice still runs; the excess is deducted from later slices.
    return std::max<std::size_t>(creditMs_ >= kSliceMs ? 1 : 0,
                                 static_cast<std::size_t>(creditMs_ / stepMs_));
  }
  // Records the time spent. Time beyond the slice is deducted from later slices.
  void recordSpent(std::size_t steps, double spentMs) {
    creditMs_ -= spentMs;
    if (steps > 0)
      stepMs_ += (std::max(spentMs / static_cast<double>(steps), kMinStepMs) - stepMs_) * kSmoothingFactor;
  }

 private:
  static constexpr double kSmoothingFactor = 0.2, kMinStepMs = 0.001;
  double creditMs_ = 0, lastMs_ = 0, stepMs_ = 0.05;
};

}  // namespace myrtleloft
