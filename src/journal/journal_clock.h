// The clock for the times in records. It starts at the wall clock's time when the process starts and advances
// with the machine's monotonic clock, so that changes of the wall clock do not affect the intervals between
// records. Each segment begins with an anchor, one moment read on both clocks. With it, a later process that
// runs before the next boot of the machine can tell how long ago something happened, even if the wall clock
// was changed in the meantime.
//
//   JournalClock clock(systemClock);
//   record(clock.nowMs()); ... clock.anchor() ...                               // in this process
//   if (const auto shift = shiftMs(recorded, clock.anchor())) time += *shift;   // in a later process
//
// After a reboot the wall clock is the only common clock; see exchange/recovered.h for the rules that apply
// then. All times are in milliseconds. Cost: O(1).
#pragma once

#include <cstdint>
#include <optional>

#include "net/clock.h"

namespace myrtleloft {

// One moment as read on the machine's clock and on the journal's clock.
struct ClockAnchor {
  std::uint64_t machineRun = 0;  // hash that identifies the boot of the machine; 0 if unknown
  double machineMs = 0;
  double recordedMs = 0;  // the same moment as a time in the process's records
};

// Returns the offset to add to a time recorded by the process of `recorded` to get the time on the clock of
// the process of `now`. Returns std::nullopt if the two were not in the same boot of the machine.
std::optional<double> shiftMs(const ClockAnchor& recorded, const ClockAnchor& now);

class JournalClock {
 public:
  // `clock` must outlive this object.
  explicit JournalClock(const Clock& clock);
  double nowMs() const { return start_.recordedMs + clock_.machineMs() - start_.machineMs; }
  // The anchor taken when this object was created, at the start of the process.
  const ClockAnchor& anchor() const { return start_; }

 private:
  const Clock& clock_;
  ClockAnchor start_;
};

}  // namespace myrtleloft
