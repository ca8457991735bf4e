#include "popularity/heavy_counts.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace myrtleloft {
namespace {

// Weights grow to e^32 before the landmark follows: far from where doubles lose what is small beside it.
constexpr double kLandmarkSpans = 32;
constexpr double kLeastWorth = 0.01;

bool heavier(const HeavyEntry& a, const HeavyEntry& b) {
  return a.count != b.count ? a.count > b.count : a.destination < b.destination;
}

// Leaves the heaviest, and says in `floor` what those left out came to at the most.
void keepHeaviest(HeavySummary& summary, std::size_t most) {
  std::vector<HeavyEntry>& entries = summary.entries;
  std::sort(entries.begin(), entries.end(), heavier);
  if (entries.size() > most) {
    summary.floor = std::max(summary.floor, entries[most].count);
    entries.resize(most);
  }
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.destination < b.destination; });
}

}  // namespace

const HeavyEntry* HeavySummary::find(std::int64_t destination) const {
  const auto at = std::lower_bound(entries.begin(), entries.end(), destination,
                                   [](const HeavyEntry& e, std::int64_t d) { return e.destination < d; });
  return at != entries.end() && at->destination == destination ? &*at : nullptr;
}

HeavySummary summed(const std::vector<Part>& parts, std::size_t most) {
  HeavySummary sum;
  std::map<std::int64_t, HeavyEntry> all;
  for (const auto& [summary, factor] : parts) {
    sum.floor += summary->floor * factor;
    sum.total += summary->total * factor;
    for (const HeavyEntry& e : summary->entries) {
      HeavyEntry& to = all[e.destination];
      to.destination = e.destination;
      // Its floors are added for all below; where it stands, they are taken out again.
      to.count += (e.count - summary->floor) * factor;
      to.error += (e.error - summary->floor) * factor;
      to.calls += e.calls * factor;
    }
  }
  for (auto& [destination, entry] : all) {
    entry.count = std::max(0.0, entry.count + sum.floor);
    entry.error = std::clamp(entry.error + sum.floor, 0.0, entry.count);
    sum.entries.push_back(entry);
  }
  keepHeaviest(sum, most);
  return sum;
}

HeavyCounts::HeavyCounts(double tauMs, std::size_t capacity) : tauMs_(tauMs), capacity_(capacity) {
  counters_.reserve(capacity);
  places_.reserve(capacity);
}

double HeavyCounts::scale(double nowMs) const {
  return std::exp(-(std::max(nowMs, lastMs_) - landmarkMs_) / tauMs_);
}

// What one without a counter may have been asked for, as of the landmark.
double HeavyCounts::least() const {
  if (counters_.size() < capacity_) return 0;
  return std::min_element(counters_.begin(), counters_.end(),
                          [](const auto& a, const auto& b) { return a.count < b.count; })
      ->count;
}

void HeavyCounts::moveLandmark(double nowMs) {
  const double by = scale(nowMs);
  for (HeavyEntry& e : counters_) e.count *= by, e.error *= by, e.calls *= by;
  total_ *= by;
  landmarkMs_ = nowMs;
}

void HeavyCounts::ask(double nowMs, std::int64_t destination, double worth) {
  if (!begun_) landmarkMs_ = lastMs_ = nowMs;
  begun_ = true;
  lastMs_ = std::max(lastMs_, nowMs);
  if (lastMs_ - landmarkMs_ > kLandmarkSpans * tauMs_) moveLandmark(lastMs_);
  const double one = 1 / scale(lastMs_), weight = std::max(worth, kLeastWorth) * one;
  total_ += weight;
  const auto at = places_.find(destination);
  if (at != places_.end()) {
    counters_[at->second].count += weight;
    counters_[at->second].calls += one;
  } else if (counters_.size() < capacity_) {
    places_[destination] = counters_.size();
    counters_.push_back({destination, weight, 0, one});
  } else {  // takes the place of the least, and all that it may have been asked for before
    const auto least = std::min_element(counters_.begin(), counters_.end(),
                                        [](const auto& a, const auto& b) { return a.count < b.count; });
    places_.erase(least->destination);
    places_[destination] = static_cast<std::size_t>(least - counters_.begin());
    *least = {destination, least->count + weight, least->count, one};
  }
}

HeavySummary HeavyCounts::summary(double nowMs, std::size_t most) const {
  HeavySummary summary;
  const double by = scale(nowMs);
  summary.total = total_ * by;
  for (const HeavyEntry& e : counters_)
    summary.entries.push_back({e.destination, e.count * by, e.error * by, e.calls * by});
  summary.floor = least() * by;
  keepHeaviest(summary, most);
  return summary;
}

HeavyEntry HeavyCounts::of(double nowMs, std::int64_t destination) const {
  const auto at = places_.find(destination);
  const double by = scale(nowMs);
  if (at == places_.end()) return {destination, least() * by, least() * by, 0};
  const HeavyEntry& e = counters_[at->second];
  return {destination, e.count * by, e.error * by, e.calls * by};
}

}  // namespace myrtleloft
