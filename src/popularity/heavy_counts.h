// What is asked for most, in bounded room: Space-Saving (Metwally, Agrawal, El Abbadi, 2005) under forward
// decay (Cormode, Shkapenyuk, Srivastava, Xu, 2009). An ask at time t weighs worth x e^((t - landmark) /
// tau), so that nothing that stands in the table has to be touched as time passes; read at time T, all is
// divided by e^((T - landmark) / tau), and where the landmark lies does not matter.
//
//   HeavyCounts counts(tauMs, 256);
//   counts.ask(nowMs, destination, worth);
//   HeavySummary summary = counts.summary(nowMs, 64);
//
// Error, of a table of k counters over asks that weigh W by now: of a destination that stands in a summary of
// m entries, what it was asked for lies in [count - error, count]; of one that does not, in [0, floor]. Both
// error and floor are W / k at the most for m = k, and floor is W / (m + 1) at the most for less.
//
// No I/O. Time is a steady clock's; one that runs back counts as standing still. One thread. O(1) to ask for
// one that has a counter, else O(k).
#pragma once

#include <tsl/robin_map.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace myrtleloft {

struct HeavyEntry {
  std::int64_t destination = 0;
  double count = 0;  // worth asked for, decayed: no less than it was
  double error = 0;  // how much of that may be others'
  double calls = 0;  // calls asked for, decayed: no more than there were
  friend auto operator<=>(const HeavyEntry&, const HeavyEntry&) = default;
};

struct HeavySummary {
  std::vector<HeavyEntry> entries;  // by destination, each once
  double floor = 0;                 // no other was asked for more
  double total = 0;                 // of all that were asked for
  friend auto operator<=>(const HeavySummary&, const HeavySummary&) = default;

  const HeavyEntry* find(std::int64_t destination) const;  // O(log entries)
};

// The `most` heaviest of all given, each multiplied by its factor: as of one moment for them all. Where a
// destination is missing in one of them, that one's floor counts as asked for, and as error. So the intervals
// above hold for the sum; floor is at most W / (most + 1) beyond the sum of the given floors.
struct Part {
  const HeavySummary* summary = nullptr;
  double factor = 1;
};
HeavySummary summed(const std::vector<Part>& parts, std::size_t most);

class HeavyCounts {
 public:
  // tauMs > 0, capacity > 0.
  HeavyCounts(double tauMs, std::size_t capacity);

  // worth >= 0; one without worth counts a hundredth, so that it is not as if it had never come.
  void ask(double nowMs, std::int64_t destination, double worth);
  HeavySummary summary(double nowMs, std::size_t most) const;
  // Where it has no counter, what it may have been asked for at the most stands as count and error.
  HeavyEntry of(double nowMs, std::int64_t destination) const;
  double total(double nowMs) const { return total_ * scale(nowMs); }

 private:
  double least() const;
  double scale(double nowMs) const;
  void moveLandmark(double nowMs);

  double tauMs_;
  std::size_t capacity_;
  double landmarkMs_ = 0, lastMs_ = 0, total_ = 0;
  bool begun_ = false;
  std::vector<HeavyEntry> counters_;
  tsl::robin_map<std::int64_t, std::size_t> places_;
};

}  // namespace myrtleloft
