#include "quota/quota_tree.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace myrtleloft {
namespace {

constexpr std::size_t kLooks = 2;  // pooled windows that one charge looks at

}  // namespace

QuotaTree::QuotaTree(QuotaShape shape) : shape_(std::move(shape)) {
  for (const QuotaShape::Node& node : shape_.nodes) {
    Level level;
    level.firstPlace = static_cast<std::uint32_t>(places_.size());
    level.firstLimit = static_cast<std::uint32_t>(bounds_.size());
    level.limits = static_cast<std::uint32_t>(node.limits.size());
    level.parent = node.parent;
    for (const QuotaShape::Limit& limit : node.limits) {
      std::uint32_t place = level.firstPlace;
      while (place < places_.size() && places_[place].window != limit.window) ++place;
      if (place == places_.size()) places_.push_back({limit.window, kNone});
      bounds_.push_back({limit.measure, place, limit.most});
    }
    level.places = static_cast<std::uint32_t>(places_.size()) - level.firstPlace;
    levels_.push_back(level);
  }
  const std::size_t size = std::min(shape_.maxActiveWindows, places_.size());
  pool_.assign(size, {SlidingWindow(1), kNone});
  free_.reserve(size);
  for (std::size_t i = size; i > 0; --i) free_.push_back(static_cast<std::uint32_t>(i - 1));
}

SlidingWindow* QuotaTree::windowOf(const Place& place) {
  return place.pooled == kNone ? nullptr : &pool_[place.pooled].window;
}

std::optional<QuotaTree::Rejection> QuotaTree::rejects(int leaf, const Amount& amount, double nowMs) {
  std::optional<Rejection> latest;
  const auto reject = [&](Rejection rejection) {
    if (!latest || rejection.retryAfterMs > latest->retryAfterMs) latest = rejection;
  };
  std::size_t asleep = 0;
  for (int node = leaf; node >= 0; node = levels_[static_cast<std::size_t>(node)].parent) {
    const Level& level = levels_[static_cast<std::size_t>(node)];
    for (std::uint32_t i = level.firstLimit; i < level.firstLimit + level.limits; ++i) {
      const Bound& bound = bounds_[i];
      const Place& place = places_[bound.place];
      const std::uint64_t more = amount.of(bound.measure);
      if (more == 0) continue;
      if (SlidingWindow* window = windowOf(place)) {
        const double inMs = window->roomInMs(nowMs, bound.measure, more, bound.most);
        if (inMs > 0) reject({node, place.window, bound.measure, inMs, false});
      } else if (more > bound.most) {
        reject({node, place.window, bound.measure, std::numeric_limits<double>::infinity(), false});
      }
    }
    for (std::uint32_t i = level.firstPlace; i < level.firstPlace + level.places; ++i)
      asleep += places_[i].pooled == kNone;
  }
  if (latest || asleep <= free_.size()) return latest;
  sweep(nowMs);
  if (asleep <= free_.size()) return std::nullopt;
  const auto shortest = std::min_element(shape_.spansMs.begin(), shape_.spansMs.end());
  return Rejection{leaf, static_cast<std::size_t>(shortest - shape_.spansMs.begin()), Measure::kMessages,
                   *shortest, true};
}

void QuotaTree::wake(std::uint32_t at) {
  Place& place = places_[at];
  if (place.pooled != kNone || free_.empty()) return;
  place.pooled = free_.back();
  free_.pop_back();
  pool_[place.pooled] = {SlidingWindow(shape_.spansMs[place.window]), at};
}

void QuotaTree::charge(int leaf, const Amount& amount, double nowMs) {
  if (amount.none()) return;
  sweep(nowMs);
  for (int node = leaf; node >= 0; node = levels_[static_cast<std::size_t>(node)].parent) {
    const Level& level = levels_[static_cast<std::size_t>(node)];
    for (std::uint32_t i = level.firstPlace; i < level.firstPlace + level.places; ++i) {
      wake(i);
      SlidingWindow* const window = windowOf(places_[i]);
      if (window)
        window->add(nowMs, amount);
      else
        ++uncounted_;
    }
  }
}

void QuotaTree::refund(int leaf, const Amount& amount, double whenMs, double nowMs) {
  for (int node = leaf; node >= 0; node = levels_[static_cast<std::size_t>(node)].parent) {
    const Level& level = levels_[static_cast<std::size_t>(node)];
    for (std::uint32_t i = level.firstPlace; i < level.firstPlace + level.places; ++i)
      if (SlidingWindow* window = windowOf(places_[i])) window->refund(nowMs, whenMs, amount);
  }
}

void QuotaTree::sweep(double nowMs) {
  for (std::size_t looks = 0; looks < std::min(kLooks, pool_.size()); ++looks) {
    hand_ = (hand_ + 1) % pool_.size();
    Pooled& pooled = pool_[hand_];
    if (pooled.place == kNone || !pooled.window.used(nowMs).none()) continue;
    places_[pooled.place].pooled = kNone;
    pooled.place = kNone;
    free_.push_back(static_cast<std::uint32_t>(hand_));
  }
}

Amount QuotaTree::used(int node, std::size_t window, double nowMs) {
  const Level& level = levels_[static_cast<std::size_t>(node)];
  for (std::uint32_t i = level.firstPlace; i < level.firstPlace + level.places; ++i)
    if (SlidingWindow* found = places_[i].window == window ? windowOf(places_[i]) : nullptr)
      return found->used(nowMs);
  return {};
}

}  // namespace myrtleloft
