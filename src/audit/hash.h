// The audit's one hash: 128 bits of XXH3 (xxHash, https://xxhash.com), which is fast and well spread, and no
// proof against somebody who wants two texts to collide: relays of a fleet trust each other that far.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleloft {

struct Hash {
  std::uint64_t high = 0, low = 0;
  friend auto operator<=>(const Hash&, const Hash&) = default;
};

Hash hashOf(std::string_view bytes);
// Of a list of hashes in their order: a node of a tree over its children. O(size).
Hash hashOf(const std::vector<Hash>& children);
// The first of its digits, for a line of the log: enough to tell versions of one fleet apart.
std::string shortText(const Hash& hash);

// Random numbers that are the same at every relay: the i-th is the hash of the seed and i, and no library's
// distribution is asked. Whole numbers, and fractions of 53 bits, which are exact.
class Draws {
 public:
  explicit Draws(const Hash& seed) : seed_(seed) {}
  Draws(const Hash& seed, std::string_view purpose);
  std::uint64_t next();
  // From 0 to `n` - 1; `n` is above 0 and far below 2^32.
  int below(int n) { return static_cast<int>((next() >> 32) * static_cast<std::uint64_t>(n) >> 32); }
  int between(int low, int high) { return low + below(high - low + 1); }
  bool chance(int percent) { return below(100) < percent; }

 private:
  Hash seed_;
  std::uint64_t drawn_ = 0;
};

}  // namespace myrtleloft
