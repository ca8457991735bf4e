// The clocks that the relay needs, passed in so that no part reads the time by itself.
#pragma once

#include <chrono>
#include <ctime>
#include <fstream>
#include <string>

namespace myrtleloft {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual double steadyMs() const {  // never runs backwards; what the decision module counts in
    return toMs(std::chrono::steady_clock::now().time_since_epoch());
  }
  virtual double wallMs() const {  // survives a restart; what the journal counts in
    return toMs(std::chrono::system_clock::now().time_since_epoch());
  }
  // Since the machine's start, its sleep included. Goes on from one process to the next, and nobody can set
  // it; comparable only within one run of the machine.
  virtual double machineMs() const {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
  }
  // Names that run; empty where the system does not tell.
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
