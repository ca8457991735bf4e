#include "journal/journal_clock.h"

#include <string>

#include "journal/segment.h"

namespace myrtleloft {

std::optional<double> shiftMs(const ClockAnchor& recorded, const ClockAnchor& now) {
  if (recorded.machineRun == 0 || recorded.machineRun != now.machineRun) return std::nullopt;
  return (now.recordedMs - now.machineMs) - (recorded.recordedMs - recorded.machineMs);
}

JournalClock::JournalClock(const Clock& clock) : clock_(clock) {
  const std::string run = clock.machineRun();
  start_ = {run.empty() ? 0 : fingerprint(run), clock.machineMs(), clock.wallMs()};
}

}  // namespace myrtleloft
