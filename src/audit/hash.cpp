#include "audit/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstring>

namespace myrtleloft {
namespace {

Hash hashBytes(const void* data, std::size_t size) {
  const XXH128_hash_t hash = XXH3_128bits(data, size);
  return {hash.high64, hash.low64};
}

}  // namespace

Hash hashOf(std::string_view bytes) { return hashBytes(bytes.data(), bytes.size()); }

Hash hashOf(const std::vector<Hash>& children) {
  static_assert(sizeof(Hash) == 2 * sizeof(std::uint64_t));
  return hashBytes(children.data(), children.size() * sizeof(Hash));
}

std::string shortText(const Hash& hash) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%012llx", static_cast<unsigned long long>(hash.high >> 16));
  return text.data();
}

DeterministicRandom::DeterministicRandom(const Hash& seed, std::string_view purpose) {
  std::string bytes(reinterpret_cast<const char*>(&seed), sizeof seed);
  seed_ = hashOf(bytes.append(purpose));
}

std::uint64_t DeterministicRandom::next() {
  const std::array<std::uint64_t, 3> bytes{seed_.high, seed_.low, counter_++};
  return XXH3_64bits(bytes.data(), sizeof bytes);
}

}  // namespace myrtleloft
