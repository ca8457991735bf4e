#include "quota/quota_tree.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace myrtleloft {
namespace {

constexpr std::size_t kWindowsPerSweep = 2;  // pooled windows that each charge checks

}  // namespace

QuotaTree::QuotaTree(QuotaShape shape) : shape_(std::move(shape)) {
  for (const QuotaShape::Node& node : shape_.nodes) {
    Level level;
    level.firstSlot = static_cast<std::uint32_t>(slots_.size());
    level.firstLimit = static_cast<std::uint32_t>(bounds_.size());
    level.limits = static_cast<std::uint32_t>(node.limits.size());
    level.parent = node.parent;
    for (const QuotaShape::Limit& limit : node.limits) {
      std::uint32_t slot = level.firstSlot;
      while (slot < slots_.size() && slots_[slot].window != limit.window) ++slot;
      if (slot == slots_.size()) slots_.push_back({limit.window, kNone});
      bounds_.push_back({limit.measure, slot, limit.max});
    }
    level.slots = static_cast<std::uint32_t>(slots_.size()) - level.firstSlot;
    levels_.push_back(level);
  }
  const std::size_t size = std::min(shape_.maxActiveWindows, slots_.size());
  pool_.assign(size, {SlidingWindow(1), kNone});
  free_.reserve(size);
  for (std::size_t i = size; i > 0; --i) free_.push_back(static_cast<std::uint32_t>(i - 1));
}

SlidingWindow* QuotaTree::windowOf(const WindowSlot& slot) {
  return slot.pooled == kNone ? nullptr : &pool_[slot.pooled].window;
}

std::optional<QuotaTree::Rejection> QuotaTree::rejects(int leaf, const Amount& amount, double nowMs) {
  std::optional<Rejection> latest;
  const auto reject = [&](Rejection rejection) {
    if (!latest || rejection.retryAfterMs > latest->retryAfterMs) latest = rejection;
  };
  std::size_t missingWindows = 0;
  for (int node = leaf; node >= 0; node = levels_[static_cast<std::size_t>(node)].parent) {
    const Level& level = levels_[static_cast<std::size_t>(node)];
    for (std::uint32_t i = level.firstLimit; i < level.firstLimit + level.limits; ++i) {
      const Bound& bound = bounds_[i];
      const WindowSlot& slot = slots_[bound.slot];
      const std::uint64_t added = amount.of(bound.measure);
      if (added == 0) continue;
      if (SlidingWindow* window = windowOf(slot)) {
        const double waitMs = window->waitForCapacityMs(nowMs, bound.measure, added, bound.max);
        if (waitMs > 0) reject({node, slot.window, bound.measure, waitMs, false});
      } else if (added > bound.max) {
        reject({node, slot.window, bound.measure, std::numeric_limits<double>::infinity(), false});
      }
    }
    for (std::uint32_t i = level.firstSlot; i < level.firstSlot + level.slots; ++i)
      missingWindows += slots_[i].pooled == kNone;
  }
  if (latest || missingWindows <= free_.size()) return latest;
  sweep(nowMs);
  if (missingWindows <= free_.size()) return std::nullopt;
  const auto shortest = std::min_element(shape_.spansMs.begin(), shape_.spansMs.end());
  return Rejection{leaf, static_cast<std::size_t>(shortest - shape_.spansMs.begin()), Measure::kMessages,
                   *shortest, true};
}

void QuotaTree::acquireWindow(std::uint32_t at) {
  WindowSlot& slot = slots_[at];
  if (slot.pooled != kNone || free_.empty()) return;
  slot.pooled = free_.back();
  free_.pop_back();
  pool_[slot.pooled] = {SlidingWindow(shape_.spansMs[slot.window]), at};
}

void QuotaTree::charge(int leaf, const Amount& amount, double nowMs) {
  if (amount.isZero()) return;
  sweep(nowMs);
  for (int node = leaf; node >= 0; node = levels_[static_cast<std::size_t>(node)].parent) {
    const Level& level = levels_[static_cast<std::size_t>(node)];
    for (std::uint32_t i = level.firstSlot; i < level.firstSlot + level.slots; ++i) {
      acquireWindow(i);
      SlidingWindow* const window = windowOf(slots_[i]);
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
    for (std::uint32_t i = level.firstSlot; i < level.firstSlot + level.slots; ++i)
      if (SlidingWindow* window = windowOf(slots_[i])) window->refund(nowMs, whenMs, amount);
  }
}

void QuotaTree::sweep(double nowMs) {
  for (std::size_t swept = 0; swept < std::min(kWindowsPerSweep, pool_.size()); ++swept) {
    sweepIndex_ = (sweepIndex_ + 1) % pool_.size();
    Pooled& pooled = pool_[sweepIndex_];
    if (pooled.slot == kNone || !pooled.window.used(nowMs).isZero()) continue;
    slots_[pooled.slot].pooled = kNone;
    pooled.slot = kNone;
    free_.push_back(static_cast<std::uint32_t>(sweepIndex_));
  }
}

Amount QuotaTree::used(int node, std::size_t window, double nowMs) {
  const Level& level = levels_[static_cast<std::size_t>(node)];
  for (std::uint32_t i = level.firstSlot; i < level.firstSlot + level.slots; ++i)
    if (SlidingWindow* found = slots_[i].window == window ? windowOf(slots_[i]) : nullptr)
      return found->used(nowMs);
  return {};
}

}  // namespace myrtleloft
