// Rate of events per second, with exponential decay of older events. Cost: constant. Thread safety: none.
#pragma once

#include <algorithm>

#include "state/portable_math.h"

namespace myrtleloft::policy {

class DecayedRate {
 public:
  // Whether the observation period has begun.
  bool started() const { return observedSinceMs_ >= 0; }
  // Time of the last event or restart in ms; 0 before the first.
  double lastEventMs() const { return lastEventMs_; }
  // Begins the observation period, unless it has begun; time without events counts from then on.
  void start(double nowMs) {
    if (!started()) observedSinceMs_ = nowMs;
  }
  // Discards all events and begins a new observation period.
  void restart(double nowMs) {
    sum_ = 0;
    lastEventMs_ = nowMs;
    observedSinceMs_ = nowMs;
  }
  // Adds `count` events at `nowMs`.
  void add(double nowMs, double timeConstantMs, double count = 1) {
    start(nowMs);
    sum_ = sum_ * portable::exp(-(nowMs - lastEventMs_) / timeConstantMs) + count;
    lastEventMs_ = nowMs;
  }
  // Returns the rate, averaged over at least `minimumSpanMs`; 0 before the observation period begins.
  double perSecond(double nowMs, double timeConstantMs, double minimumSpanMs) const {
    if (!started()) return 0;
    const double observedMs = std::max(nowMs - observedSinceMs_, minimumSpanMs);
    return sum_ * portable::exp(-(nowMs - lastEventMs_) / timeConstantMs) /
           (timeConstantMs * (1 - portable::exp(-observedMs / timeConstantMs))) * 1000;
  }

 private:
  double sum_ = 0;
  double lastEventMs_ = 0;
  double observedSinceMs_ = -1;  // -1 before `start`
};

}  // namespace myrtleloft::policy
