#include "journal/disk_faults.h"

#include <cstring>
#include <utility>

namespace myrtleloft {

DiskFaults::DiskFaults(const Clock& clock, Log log, double pauseMs, std::uint64_t& count)
    : clock_(clock), log_(std::move(log)), pauseMs_(pauseMs), count_(count) {}

void DiskFaults::report(const FileError& error) {
  ++count_;
  const double now = clock_.steadyMs();
  pausedUntilMs_ = now + pauseMs_;
  log_.writeRateLimited(
      now, LogLevel::kError, "journal.fault", "journal: " + error.message(),
      {{"what", error.operation}, {"file", error.file}, {"error", std::strerror(error.number)}});
}

}  // namespace myrtleloft
