// The most requested destinations in bounded memory: Space-Saving (Metwally, Agrawal, El Abbadi, 2005) with
// forward decay (Cormode, Shkapenyuk, Srivastava, Xu, 2009). A request at time t has the weight
// worth x e^((t - landmark) / tau), so that stored counters need no update as time passes. A reader at time T
// divides by e^((T - landmark) / tau); the choice of the landmark has no effect on the result.
//
//   HeavyHitters counts(tauMs, 256);
//   counts.record(nowMs, destination, worth);
//   HeavyHitterSummary summary = counts.summary(nowMs, 64);
//
// Error bounds, for a table of k counters and requests with a decayed total weight of W: the weight of a
// destination in a summary of m entries is in [count - error, count], that of any other in [0, floor]. With
// m = k, error and floor are at most W / k; with m < k, floor is at most W / (m + 1).
//
// Does no I/O. Times are those of a steady clock; a time before the latest one is treated as the latest. Not
// thread-safe. Recording costs O(1) for a destination that has a counter, else O(k).
#pragma once

#include <tsl/robin_map.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace myrtleloft {

struct HeavyHitter {
  std::int64_t destination = 0;
  double count = 0;  // decayed worth requested; never less than the actual value
  double error = 0;  // the part of `count` that may belong to other destinations
  double calls = 0;  // decayed number of calls; never more than the actual value
  friend auto operator<=>(const HeavyHitter&, const HeavyHitter&) = default;
};

struct HeavyHitterSummary {
  std::vector<HeavyHitter> entries;  // sorted by destination, without duplicates
  double floor = 0;                  // upper bound of the count of any destination without an entry
  double total = 0;                  // of all destinations
  friend auto operator<=>(const HeavyHitterSummary&, const HeavyHitterSummary&) = default;

  // Returns nullptr if the destination has no entry. O(log entries).
  const HeavyHitter* find(std::int64_t destination) const;
};

struct WeightedSummary {
  const HeavyHitterSummary* summary = nullptr;
  double factor = 1;
};
// Returns the `limit` heaviest entries of all parts, each multiplied by the factor of its part, which has to
// bring all parts to the same time. The floor of a part without an entry for a destination is added to both
// count and error, so that the intervals above hold for the sum. The floor is at most W / (limit + 1) above
// the sum of the parts' floors.
HeavyHitterSummary sumOfSummaries(const std::vector<WeightedSummary>& parts, std::size_t limit);

class HeavyHitters {
 public:
  // Requires tauMs > 0 and capacity > 0.
  HeavyHitters(double tauMs, std::size_t capacity);

  // Requires worth >= 0. A worth below 0.01 counts as 0.01, so that such requests are counted too.
  void record(double nowMs, std::int64_t destination, double worth);
  HeavyHitterSummary summary(double nowMs, std::size_t limit) const;
  // For a destination without a counter, count and error are the upper bound of its weight.
  HeavyHitter estimate(double nowMs, std::int64_t destination) const;
  double total(double nowMs) const { return total_ * scale(nowMs); }

 private:
  double minimumCount() const;
  double scale(double nowMs) const;
  void moveLandmark(double nowMs);

  double tauMs_;
  std::size_t capacity_;
  double landmarkMs_ = 0, lastMs_ = 0, total_ = 0;
  bool started_ = false;
  std::vector<HeavyHitter> counters_;
  tsl::robin_map<std::int64_t, std::size_t> indexes_;
};

}  // namespace myrtleloft
