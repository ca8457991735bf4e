// Usage within a sliding time window, counted in 50 buckets per span.
//
//   SlidingWindow minute(60e3);
//   minute.add(nowMs, amount);
//   if (minute.used(nowMs).of(Measure::kCalls) + 1 > max)
//     ... retry after minute.waitForCapacityMs(nowMs, Measure::kCalls, 1, max)
//
// The reported usage is at least what was used in the span up to now, and at most what was used in that span
// plus one bucket before it. So a limit that is checked against it holds for every position of the window,
// whatever the bursts, and capacity becomes available at most one bucket (a fiftieth of the span) late.
//
// Amounts are integers, so that adding and refunding leave no rounding error. Times are milliseconds on a
// steady clock with any origin before the first use; a time that runs backwards is treated as unchanged.
// Constant memory; O(1), but O(kBuckets) after a pause and in `waitForCapacityMs`. To be used from one
// thread.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace myrtleloft {

enum class Measure { kMessages, kWorth, kCalls };
constexpr std::size_t kMeasures = 3;

// An amount of each measure: the numbers of messages and calls, and the sum of the messages' priority weights
// (their worth) in millionths.
struct Amount {
  std::array<std::uint64_t, kMeasures> counts{};

  std::uint64_t of(Measure measure) const { return counts[static_cast<std::size_t>(measure)]; }
  std::uint64_t& of(Measure measure) { return counts[static_cast<std::size_t>(measure)]; }
  bool isZero() const { return counts == decltype(counts){}; }
  void add(const Amount& other) {
    for (std::size_t m = 0; m < kMeasures; ++m) counts[m] += other.counts[m];
  }
  // Each measure stops at 0.
  void subtract(const Amount& other) {
    for (std::size_t m = 0; m < kMeasures; ++m) counts[m] -= std::min(counts[m], other.counts[m]);
  }
};

class SlidingWindow {
 public:
  static constexpr std::int64_t kBuckets = 50;

  explicit SlidingWindow(double spanMs) : bucketMs_(spanMs / kBuckets) {}

  void add(double nowMs, const Amount& amount) {
    advance(nowMs);
    amountAt(current_).add(amount);
    used_.add(amount);
  }
  // Takes back an amount that was added at `whenMs`. Does nothing if it has already left the window.
  void refund(double nowMs, double whenMs, const Amount& amount) {
    advance(nowMs);
    const std::int64_t bucket = bucketOf(whenMs);
    if (bucket < current_ - kBuckets || bucket > current_) return;
    Amount refunded = amount;
    for (std::size_t m = 0; m < kMeasures; ++m)
      refunded.counts[m] = std::min(refunded.counts[m], amountAt(bucket).counts[m]);
    amountAt(bucket).subtract(refunded);
    used_.subtract(refunded);
  }
  const Amount& used(double nowMs) {
    advance(nowMs);
    return used_;
  }
  // Returns the milliseconds until `added` fits under `max` if nothing else is used until then: 0 if it fits
  // now, infinity if it never will.
  double waitForCapacityMs(double nowMs, Measure measure, std::uint64_t added, std::uint64_t max) {
    advance(nowMs);
    if (added > max) return std::numeric_limits<double>::infinity();
    std::uint64_t remaining = used_.of(measure);
    if (remaining + added <= max) return 0;
    std::int64_t bucket = current_ - kBuckets;
    while (bucket < current_ && (remaining -= amountAt(bucket).of(measure)) + added > max) ++bucket;
    // A bucket leaves the window when the bucket that begins a span and a bucket later becomes current.
    return std::max(0.0, static_cast<double>(bucket + kBuckets + 1) * bucketMs_ - nowMs);
  }

 private:
  std::int64_t bucketOf(double ms) const { return static_cast<std::int64_t>(std::floor(ms / bucketMs_)); }
  Amount& amountAt(std::int64_t bucket) {
    const std::int64_t at = bucket % (kBuckets + 1);
    return buckets_[static_cast<std::size_t>(at < 0 ? at + kBuckets + 1 : at)];
  }
  void advance(double nowMs) {
    const std::int64_t target = std::max(current_, bucketOf(nowMs));
    if (target - current_ > kBuckets) {
      buckets_ = {};
      used_ = {};
    } else {
      while (current_ < target) {
        Amount& oldest = amountAt(++current_);  // reuses the bucket that leaves the window
        used_.subtract(oldest);
        oldest = {};
      }
    }
    current_ = target;
  }

  double bucketMs_;
  std::int64_t current_ = 0;  // the bucket that contains the latest time
  Amount used_;
  std::array<Amount, kBuckets + 1> buckets_{};
};

}  // namespace myrtleloft
