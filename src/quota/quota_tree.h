// Hierarchical quotas: limits of a node, for example a faculty, apply within those of its parent, for example
// an institution. No I/O; times are passed in.
//
//   QuotaTree tree(shape);
//   if (const auto rejection = tree.rejects(leaf, one, nowMs)) ... 429, retry after rejection->retryAfterMs
//   tree.charge(leaf, one, nowMs);           // charges the leaf and all its ancestors
//   tree.refund(leaf, call, whenMs, nowMs);  // the call of `whenMs` is known not executed
//
// `rejects` checks all limits from the leaf to the root. `charge` never fails, because calls are decided
// elsewhere and must be charged in any case. So the limits of messages and worth are never exceeded in any
// window. The limits of calls can be exceeded by repeated calls for accepted messages, but not by accepting
// new messages.
//
// The windows are allocated from a pool, one for each limited window of a node with recent usage. A node
// without usage occupies none. Each charge checks a few windows of the pool and returns those without
// remaining usage. If the pool is exhausted, nodes that need a further window are rejected until one is free.
// Nothing is allocated after construction. To be used from one thread; O(depth x limits).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quota/sliding_window.h"

namespace myrtleloft {

struct QuotaShape {
  struct Limit {
    Measure measure = Measure::kMessages;
    std::size_t window = 0;  // index in `spansMs`
    std::uint64_t max = 0;   // in the unit of Amount
  };
  struct Node {
    std::string name;
    int parent = -1;  // smaller index in `nodes`, or -1 for a root
    std::vector<Limit> limits;
  };
  std::vector<double> spansMs;  // spans of the windows
  std::vector<Node> nodes;
  std::size_t maxActiveWindows = 65536;  // windows in use at once
};

class QuotaTree {
 public:
  struct Rejection {
    int node = 0;  // the level whose limit requires the longest wait
    std::size_t window = 0;
    Measure measure = Measure::kMessages;
    double retryAfterMs = 0;  // greater than 0; infinite if the amount can never fit
    bool poolFull = false;    // rejected because the pool of windows is exhausted
  };

  // In the shape, each node must come after its parent, and each limit must refer to an existing window.
  explicit QuotaTree(QuotaShape shape);

  // Returns std::nullopt if the amount fits at every level, and the rejection with the longest wait
  // otherwise.
  std::optional<Rejection> rejects(int leaf, const Amount& amount, double nowMs);
  // Adds the amount to the leaf and all its ancestors, even if that exceeds a limit.
  void charge(int leaf, const Amount& amount, double nowMs);
  // Takes back an amount that was charged at `whenMs`, as far as it is still in the windows.
  void refund(int leaf, const Amount& amount, double whenMs, double nowMs);
  // Returns what a node has used in one of its limited windows.
  Amount used(int node, std::size_t window, double nowMs);
  // Returns the number of windows in use.
  std::size_t activeWindows() const { return pool_.size() - free_.size(); }
  // Returns the number of charges that were not counted at a level because the pool was exhausted. Because of
  // `rejects`, this happens only for calls of messages whose own usage has expired since.
  std::uint64_t uncounted() const { return uncounted_; }
  const QuotaShape& shape() const { return shape_; }

 private:
  static constexpr std::uint32_t kNone = static_cast<std::uint32_t>(-1);
  struct WindowSlot {  // a window of a node to which a limit applies
    std::size_t window = 0;
    std::uint32_t pooled = kNone;
  };
  struct Level {
    std::uint32_t firstSlot = 0, slots = 0, firstLimit = 0, limits = 0;
    int parent = -1;
  };
  struct Bound {  // a limit, with the index of its window slot
    Measure measure = Measure::kMessages;
    std::uint32_t slot = 0;
    std::uint64_t max = 0;
  };
  struct Pooled {
    SlidingWindow window;
    std::uint32_t slot = kNone;  // the slot that uses the window, or kNone
  };

 public:
  static constexpr std::size_t kWindowBytes =
      sizeof(Pooled) + sizeof(std::uint32_t);  // memory of one pooled window

 private:
  SlidingWindow* windowOf(const WindowSlot& slot);
  void acquireWindow(std::uint32_t slot);
  // Checks the next few windows of the pool and frees those without usage.
  void sweep(double nowMs);

  QuotaShape shape_;
  std::vector<Level> levels_;
  std::vector<WindowSlot> slots_;
  std::vector<Bound> bounds_;
  std::vector<Pooled> pool_;
  std::vector<std::uint32_t> free_;
  std::size_t sweepIndex_ = 0;
  std::uint64_t uncounted_ = 0;
};

}  // namespace myrtleloft
