// 128-bit XXH3 hash (xxHash, https://xxhash.com) for the consistency check. It is fast and well distributed
// but not collision-resistant against an attacker; relays of a fleet trust each other to that extent.
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
// Hash of a list of hashes in order, for a tree node over its children. O(size).
Hash hashOf(const std::vector<Hash>& children);
// The leading digits for log lines; enough to distinguish the versions within a fleet.
std::string shortText(const Hash& hash);

// Pseudo-random numbers that are equal on every relay: the i-th is the hash of the seed and i. Distributions
// of the standard library are avoided, as they differ between implementations. Integers only.
class DeterministicRandom {
 public:
  explicit DeterministicRandom(const Hash& seed) : seed_(seed) {}
  DeterministicRandom(const Hash& seed, std::string_view purpose);
  std::uint64_t next();
  // A number from 0 to `n` - 1; `n` must be positive and far below 2^32.
  int below(int n) { return static_cast<int>((next() >> 32) * static_cast<std::uint64_t>(n) >> 32); }
  int between(int low, int high) { return low + below(high - low + 1); }
  bool chance(int percent) { return below(100) < percent; }

 private:
  Hash seed_;
  std::uint64_t counter_ = 0;
};

}  // namespace myrtleloft
