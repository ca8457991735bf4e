// Limits nested within limits: an institution's, within it a faculty's, and so on. Without I/O: times are
// passed in.
//
//   QuotaTree tree(shape);
//   if (const auto refusal = tree.refuses(leaf, one, nowMs)) ... 429, come back in refusal->retryAfterMs
//   tree.charge(leaf, one, nowMs);                          // at the leaf and all above it
//   tree.refund(leaf, call, whenMs, nowMs);               // it was proven not to have counted
//
// `rejects` asks every limit from the leaf to the root, `charge` never refuses: calls are decided elsewhere,
// and are charged all the same. So messages and worth are not passed in any window, and calls as far as new
// messages bring them.
//
// Windows stand in a pool, one for each limited window of a node that has used something within it. A node
// that uses nothing has none and costs nothing; a few of the pool's windows are looked at with each charge,
// and given back where all has slid out. Where the pool is used up, nodes that need another are refused until
// one is free. Nothing is allocated after the constructor. One thread; O(depth x limits).
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
    std::uint64_t most = 0;  // as in Amount
  };
  struct Node {
    std::string name;
    int parent = -1;  // index in `nodes`, before this one; -1: none above it
    std::vector<Limit> limits;
  };
  std::vector<double> spansMs;  // of the windows
  std::vector<Node> nodes;
  std::size_t maxActiveWindows = 65536;  // windows in use at once
};

class QuotaTree {
 public:
  struct Rejection {
    int node = 0;  // the level that has room last
    std::size_t window = 0;
    Measure measure = Measure::kMessages;
    double retryAfterMs = 0;  // more than 0; infinite: it never fits
    bool poolFull = false;    // then it is the pool that has none for the node
  };

  // Each node behind its parent, each limit over a window that there is.
  explicit QuotaTree(QuotaShape shape);

  // Nothing: it fits at every level.
  std::optional<Rejection> rejects(int leaf, const Amount& amount, double nowMs);
  void charge(int leaf, const Amount& amount, double nowMs);
  void refund(int leaf, const Amount& amount, double whenMs, double nowMs);
  // Of a node, in one of its limited windows.
  Amount used(int node, std::size_t window, double nowMs);
  // Windows in use.
  std::size_t activeWindows() const { return pool_.size() - free_.size(); }
  // Charges that found no window free, and are counted at fewer levels than they should be. `rejects` sees to
  // it that these are calls only, of messages whose windows have slid out since.
  std::uint64_t uncounted() const { return uncounted_; }
  const QuotaShape& shape() const { return shape_; }

 private:
  static constexpr std::uint32_t kNone = static_cast<std::uint32_t>(-1);
  struct Place {  // a node's window that some limit is about
    std::size_t window = 0;
    std::uint32_t pooled = kNone;
  };
  struct Level {
    std::uint32_t firstPlace = 0, places = 0, firstLimit = 0, limits = 0;
    int parent = -1;
  };
  struct Bound {  // a limit, with its place
    Measure measure = Measure::kMessages;
    std::uint32_t place = 0;
    std::uint64_t most = 0;
  };
  struct Pooled {
    SlidingWindow window;
    std::uint32_t place = kNone;  // whose it is; kNone: free
  };

 public:
  static constexpr std::size_t kWindowBytes = sizeof(Pooled) + sizeof(std::uint32_t);  // one of the pool

 private:
  SlidingWindow* windowOf(const Place& place);
  void wake(std::uint32_t place);
  // Looks at the next few of the pool.
  void sweep(double nowMs);

  QuotaShape shape_;
  std::vector<Level> levels_;
  std::vector<Place> places_;
  std::vector<Bound> bounds_;
  std::vector<Pooled> pool_;
  std::vector<std::uint32_t> free_;
  std::size_t hand_ = 0;
  std::uint64_t uncounted_ = 0;
};

}  // namespace myrtleloft
