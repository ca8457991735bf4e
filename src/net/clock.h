// The two clocks that the relay needs, passed in so that no part reads the time by itself.
#pragma once

#include <chrono>

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

 private:
  template <typename Duration>
  static double toMs(Duration d) {
    return std::chrono::duration<double, std::milli>(d).count();
  }
};

}  // namespace myrtleloft
