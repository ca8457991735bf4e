// What was used in a window that slides: counts by fiftieths of its span.
//
//   SlidingWindow minute(60e3);
//   minute.add(nowMs, amount);
//   if (minute.used(nowMs).of(Measure::kCalls) + 1 > most) ... minute.roomInMs(nowMs, Measure::kCalls, 1,
//   most)
//
// What it says is never less than what was used in the span up to now, and never more than what was used in
// that and the fiftieth of a span before it: over every position of the window, whatever the clumps, a limit
// held by it is not passed, and room that has come back is seen at most a fiftieth of the span late.
//
// Whole numbers, so that what is added and taken away again leaves nothing behind. Times are a steady
// clock's, in ms from any start not after the first use; one that runs back counts as standing still.
// Constant memory; O(1), and O(kParts) after a rest and in `roomInMs`. One thread.
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

// Of each measure: messages and calls as they are, worth in millionths.
struct Amount {
  std::array<std::uint64_t, kMeasures> counts{};

  std::uint64_t of(Measure measure) const { return counts[static_cast<std::size_t>(measure)]; }
  std::uint64_t& of(Measure measure) { return counts[static_cast<std::size_t>(measure)]; }
  bool none() const { return counts == decltype(counts){}; }
  void add(const Amount& other) {
    for (std::size_t m = 0; m < kMeasures; ++m) counts[m] += other.counts[m];
  }
  // At least 0 of each.
  void subtract(const Amount& other) {
    for (std::size_t m = 0; m < kMeasures; ++m) counts[m] -= std::min(counts[m], other.counts[m]);
  }
};

class SlidingWindow {
 public:
  static constexpr std::int64_t kParts = 50;

  explicit SlidingWindow(double spanMs) : partMs_(spanMs / kParts) {}

  void add(double nowMs, const Amount& amount) {
    advance(nowMs);
    slot(now_).add(amount);
    used_.add(amount);
  }
  // Of what was added at `whenMs`; what has slid out since is gone already.
  void refund(double nowMs, double whenMs, const Amount& amount) {
    advance(nowMs);
    const std::int64_t part = partOf(whenMs);
    if (part < now_ - kParts || part > now_) return;
    Amount gone = amount;
    for (std::size_t m = 0; m < kMeasures; ++m)
      gone.counts[m] = std::min(gone.counts[m], slot(part).counts[m]);
    slot(part).subtract(gone);
    used_.subtract(gone);
  }
  const Amount& used(double nowMs) {
    advance(nowMs);
    return used_;
  }
  // In how many ms so much more will fit under `most`, if nothing is used until then; 0: now; infinite:
  // never.
  double roomInMs(double nowMs, Measure measure, std::uint64_t more, std::uint64_t most) {
    advance(nowMs);
    if (more > most) return std::numeric_limits<double>::infinity();
    std::uint64_t left = used_.of(measure);
    if (left + more <= most) return 0;
    std::int64_t part = now_ - kParts;
    while (part < now_ && (left -= slot(part).of(measure)) + more > most) ++part;
    // It is out once the part that begins a whole span and a part later has begun.
    return std::max(0.0, static_cast<double>(part + kParts + 1) * partMs_ - nowMs);
  }

 private:
  std::int64_t partOf(double ms) const { return static_cast<std::int64_t>(std::floor(ms / partMs_)); }
  Amount& slot(std::int64_t part) {
    const std::int64_t at = part % (kParts + 1);
    return slots_[static_cast<std::size_t>(at < 0 ? at + kParts + 1 : at)];
  }
  void advance(double nowMs) {
    const std::int64_t to = std::max(now_, partOf(nowMs));
    if (to - now_ > kParts) {
      slots_ = {};
      used_ = {};
    } else {
      while (now_ < to) {
        Amount& oldest = slot(++now_);  // the place of what slides out
        used_.subtract(oldest);
        oldest = {};
      }
    }
    now_ = to;
  }

  double partMs_;
  std::int64_t now_ = 0;  // the part that now is in
  Amount used_;
  std::array<Amount, kParts + 1> slots_{};
};

}  // namespace myrtleloft
