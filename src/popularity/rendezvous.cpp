#include "popularity/rendezvous.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace myrtleloft {
namespace {

// Relays are in descending order of this key; the name breaks ties between equal hashes.
std::pair<std::uint64_t, std::string_view> orderKey(std::int64_t destination, std::string_view relay) {
  return {XXH3_64bits_withSeed(relay.data(), relay.size(), static_cast<std::uint64_t>(destination)), relay};
}

}  // namespace

std::size_t rendezvousRank(std::int64_t destination, const std::vector<std::string>& relays,
                           std::string_view name) {
  const auto ownKey = orderKey(destination, name);
  return static_cast<std::size_t>(std::count_if(relays.begin(), relays.end(), [&](const std::string& relay) {
    return orderKey(destination, relay) > ownKey;
  }));
}

std::uint64_t stableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace myrtleloft
