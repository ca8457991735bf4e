#include "popularity/heavy_counts.h"

#include <algorithm>
#include <map>

#include "state/portable_math.h"

namespace myrtleloft {
namespace {

// The landmark is moved when weights have grown by e^32, well before small weights are lost to rounding in
// sums.
constexpr double kLandmarkMaxTaus = 32;
constexpr double kMinWorth = 0.01;

bool heavier(const HeavyHitter& a, const HeavyHitter& b) {
  return a.count != b.count ? a.count > b.count : a.destination < b.destination;
}

// Keeps the `limit` heaviest entries and raises `floor` to the largest count among those removed.
void keepHeaviest(HeavyHitterSummary& summary, std::size_t limit) {
  std::vector<HeavyHitter>& entries = summary.entries;
  std::sort(entries.begin(), entries.end(), heavier);
  if (entries.size() > limit) {
    summary.floor = std::max(summary.floor, entries[limit].count);
    entries.resize(limit);
  }
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.destination < b.destination; });
}

}  // namespace

const HeavyHitter* HeavyHitterSummary::find(std::int64_t destination) const {
  const auto found = std::lower_bound(entries.begin(), entries.end(), destination,
                                      [](const HeavyHitter& e, std::int64_t d) { return e.destination < d; });
  return found != entries.end() && found->destination == destination ? &*found : nullptr;
}

HeavyHitterSummary sumOfSummaries(const std::vector<WeightedSummary>& parts, std::size_t limit) {
  HeavyHitterSummary sum;
  std::map<std::int64_t, HeavyHitter> all;
  for (const auto& [summary, factor] : parts) {
    sum.floor += summary->floor * factor;
    sum.total += summary->total * factor;
    for (const HeavyHitter& e : summary->entries) {
      HeavyHitter& target = all[e.destination];
      target.destination = e.destination;
      // All floors are added below; the floor of a part that has an entry is subtracted here.
      target.count += (e.count - summary->floor) * factor;
      target.error += (e.error - summary->floor) * factor;
      target.calls += e.calls * factor;
    }
  }
  for (auto& [destination, entry] : all) {
    entry.count = std::max(0.0, entry.count + sum.floor);
    entry.error = std::clamp(entry.error + sum.floor, 0.0, entry.count);
    sum.entries.push_back(entry);
  }
  keepHeaviest(sum, limit);
  return sum;
}

HeavyHitters::HeavyHitters(double tauMs, std::size_t capacity) : tauMs_(tauMs), capacity_(capacity) {
  counters_.reserve(capacity);
  indexes_.reserve(capacity);
}

double HeavyHitters::scale(double nowMs) const {
  return portable::exp(-(std::max(nowMs, lastMs_) - landmarkMs_) / tauMs_);
}

// Returns the upper bound of the weight of a destination without a counter, as of the landmark.
double HeavyHitters::minimumCount() const {
  if (counters_.size() < capacity_) return 0;
  return std::min_element(counters_.begin(), counters_.end(),
                          [](const auto& a, const auto& b) { return a.count < b.count; })
      ->count;
}

void HeavyHitters::moveLandmark(double nowMs) {
  const double factor = scale(nowMs);
  for (HeavyHitter& e : counters_) e.count *= factor, e.error *= factor, e.calls *= factor;
  total_ *= factor;
  landmarkMs_ = nowMs;
}

void HeavyHitters::record(double nowMs, std::int64_t destination, double worth) {
  if (!started_) landmarkMs_ = lastMs_ = nowMs;
  started_ = true;
  lastMs_ = std::max(lastMs_, nowMs);
  if (lastMs_ - landmarkMs_ > kLandmarkMaxTaus * tauMs_) moveLandmark(lastMs_);
  const double unit = 1 / scale(lastMs_), weight = std::max(worth, kMinWorth) * unit;
  total_ += weight;
  const auto found = indexes_.find(destination);
  if (found != indexes_.end()) {
    counters_[found->second].count += weight;
    counters_[found->second].calls += unit;
  } else if (counters_.size() < capacity_) {
    indexes_[destination] = counters_.size();
    counters_.push_back({destination, weight, 0, unit});
  } else {  // replaces the smallest counter, whose count becomes the error of the new one
    const auto least = std::min_element(counters_.begin(), counters_.end(),
                                        [](const auto& a, const auto& b) { return a.count < b.count; });
    indexes_.erase(least->destination);
    indexes_[destination] = static_cast<std::size_t>(least - counters_.begin());
    *least = {destination, least->count + weight, least->count, unit};
  }
}

HeavyHitterSummary HeavyHitters::summary(double nowMs, std::size_t limit) const {
  HeavyHitterSummary summary;
  const double factor = scale(nowMs);
  summary.total = total_ * factor;
  for (const HeavyHitter& e : counters_)
    summary.entries.push_back({e.destination, e.count * factor, e.error * factor, e.calls * factor});
  summary.floor = minimumCount() * factor;
  keepHeaviest(summary, limit);
  return summary;
}

HeavyHitter HeavyHitters::estimate(double nowMs, std::int64_t destination) const {
  const auto found = indexes_.find(destination);
  const double factor = scale(nowMs);
  if (found == indexes_.end()) return {destination, minimumCount() * factor, minimumCount() * factor, 0};
  const HeavyHitter& e = counters_[found->second];
  return {destination, e.count * factor, e.error * factor, e.calls * factor};
}

}  // namespace myrtleloft
