// The clocks of the relay. They are injected, so that tests can replace them.
#pragma once

#include <chrono>
#include <ctime>
#include <fstream>
#include <string>

namespace myrtleloft {

class Clock {
 public:
  virtual ~Clock() = default;
  // Milliseconds on a monotonic clock, used by the event loop and the decision module.
  virtual double steadyMs() const { return toMs(std::chrono::steady_clock::now().time_since_epoch()); }
  // Milliseconds since the Unix epoch; comparable across restarts, used by the journal.
  virtual double wallMs() const { return toMs(std::chrono::system_clock::now().time_since_epoch()); }
  // Milliseconds since the machine was booted, including time in suspend. The clock cannot be set, and its
  // values are comparable between processes, but only until the next boot.
  virtual double machineMs() const {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
  }
  // Returns the boot id of the machine, or an empty string if the system does not provide one.
  virtual std::string machineRun() const {
    std::string run;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> run;
    return run;
  }

 private:
  template <typename Duration>
  static double toMs(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  }
};

}  // namespace myrtleloft
