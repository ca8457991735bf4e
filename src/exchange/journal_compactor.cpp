#include "exchange/journal_compactor.h"

namespace myrtleloft {
namespace {

constexpr double kStepIntervalMs = 2;  // between two steps, unless a batch comes sooner

}  // namespace

void JournalCompactor::step() {
  parts_.loop.cancel(timer_);
  if (!parts_.journal.wantsCompaction()) return;
  const std::uint64_t deletedBefore = parts_.journal.statistics().deletedSegments;
  parts_.journal.compactStep();
  parts_.counters.compactions += parts_.journal.statistics().deletedSegments - deletedBefore;
  if (parts_.journal.wantsCompaction()) timer_ = parts_.loop.after(kStepIntervalMs, [this] { step(); });
}

}  // namespace myrtleloft
