// The context that the steps of a batch share: settings, time, random numbers, the actions decided so far and
// the next wake-up. No step reads a clock or uses another source of randomness, so the seed and the events
// determine all actions.
// Cost: constant.
// Thread safety: none; each dispatcher has its own.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>
#include <utility>
#include <vector>

#include "myrtleloft/dispatcher.h"
#include "state/portable_math.h"

namespace myrtleloft::policy {

// A time that is never reached, also used for a rate without a limit.
inline constexpr double kNever = std::numeric_limits<double>::infinity();

class BatchContext {
 public:
  explicit BatchContext(Settings complete) : settings(std::move(complete)), random_(settings.seed) {
    for (const ClassSettings& each : settings.classes)
      longestLifetimeMs_ = std::max(longestLifetimeMs_, each.maxLifetimeMs);
  }

  const Settings settings;  // with defaults for values that were not given

  // Starts a batch at `nowMs`, without actions or a wake-up.
  void begin(double nowMs) {
    ++number_;
    nowMs_ = nowMs;
    wakeAtMs_ = kNever;
    actions_.clear();
  }
  // The longest ClassSettings::maxLifetimeMs.
  double longestLifetimeMs() const { return longestLifetimeMs_; }
  double nowMs() const { return nowMs_; }
  // Number of this batch, counted from 1. Identifies the batch, as several batches may have the same time.
  std::uint64_t number() const { return number_; }
  // Returns the setting of the kind or zone with that number, `fallback` if the list has none for it (as for
  // any negative number).
  template <class Value>
  static Value settingOr(const std::vector<Value>& settings, int number, Value fallback) {
    const auto at = static_cast<std::size_t>(number);
    return at < settings.size() ? settings[at] : fallback;
  }
  // A random number from [0, 1).
  double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  // A random number with an exponential distribution of mean 1.
  double drawExponential() { return -portable::log(1 - drawUniform()); }
  // Appends an action to those of the batch.
  template <class Kind>
  void emit(Kind action) {
    actions_.emplace_back(std::move(action));
  }
  std::vector<Action> takeActions() { return std::exchange(actions_, {}); }
  // Requests a wake-up at `atMs`, unless an earlier one is requested.
  void wakeNoLaterThan(double atMs) { wakeAtMs_ = std::min(wakeAtMs_, atMs); }
  // Time of the requested wake-up in ms, kNever if there is none.
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
