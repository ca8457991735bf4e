// What the steps of a batch share: settings, time, chance, the actions decided so far and when to wake. No
// step sees the clock or another source of chance, so that a seed and the events determine all actions.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <random>
#include <utility>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft::policy {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

class BatchContext {
 public:
  explicit BatchContext(Settings complete) : settings(std::move(complete)), random_(settings.seed) {
    for (const ClassSettings& each : settings.classes)
      longestLifetimeMs_ = std::max(longestLifetimeMs_, each.maxLifetimeMs);
  }

  const Settings settings;  // with a default for all that was not given

  void begin(double nowMs) {
    ++number_;
    nowMs_ = nowMs;
    wakeAtMs_ = kNever;
    actions_.clear();
  }
  double longestLifetimeMs() const { return longestLifetimeMs_; }
  double nowMs() const { return nowMs_; }
  // Of this batch, counted from 1: two batches may have the same time.
  std::uint64_t number() const { return number_; }
  // Of a kind or a zone, by its number; a negative one has none.
  template <class Value>
  static Value settingOf(const std::vector<Value>& settings, int number, Value otherwise) {
    const auto at = static_cast<std::size_t>(number);
    return at < settings.size() ? settings[at] : otherwise;
  }
  double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double drawExponential() { return std::exponential_distribution<double>(1)(random_); }
  template <class Kind>
  void emit(Kind action) {
    actions_.emplace_back(std::move(action));
  }
  std::vector<Action> takeActions() { return std::exchange(actions_, {}); }
  void wakeNoLaterThan(double atMs) { wakeAtMs_ = std::min(wakeAtMs_, atMs); }
  double wakeAtMs() const { return wakeAtMs_; }

 private:
  std::mt19937_64 random_;
  double longestLifetimeMs_ = 0;
  double nowMs_ = 0;
  std::uint64_t number_ = 0;
  double wakeAtMs_ = kNever;
  std::vector<Action> actions_;
};

}  // namespace myrtleloft::policy
