// Handles failed file operations of the journal. Each failure is logged and counted, and starts a pause
// during which no new work is begun, because every retry is a call into a failing file system.
//
//   faults.report({"write", name, EIO});
//   if (faults.pausing()) return false;
//
// Not thread-safe. Cost: O(1) and at most one log line.
#pragma once

#include <cstdint>

#include "journal/errors.h"
#include "log/log.h"
#include "net/clock.h"

namespace myrtleloft {

class DiskFaults {
 public:
  // `pauseMs` is the length of the pause after a failure. `count` is incremented for each failure. `clock`
  // and `count` must outlive this object.
  DiskFaults(const Clock& clock, Log log, double pauseMs, std::uint64_t& count);

  // Counts the failure, starts the pause, and logs `journal.fault` at most once per interval for repeated
  // messages.
  void report(const FileError& error);
  bool pausing() const { return clock_.steadyMs() < pausedUntilMs_; }

 private:
  const Clock& clock_;
  Log log_;
  double pauseMs_;
  std::uint64_t& count_;
  double pausedUntilMs_ = 0;  // on the steady clock
};

}  // namespace myrtleloft
