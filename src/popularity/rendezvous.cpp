#include "popularity/rendezvous.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace myrtleloft {
namespace {

// The greater goes first; the name decides between equal ones.
std::pair<std::uint64_t, std::string_view> placeOf(std::int64_t destination, std::string_view relay) {
  return {XXH3_64bits_withSeed(relay.data(), relay.size(), static_cast<std::uint64_t>(destination)), relay};
}

}  // namespace

std::size_t rendezvousRank(std::int64_t destination, const std::vector<std::string>& relays,
                           std::string_view me) {
  const auto mine = placeOf(destination, me);
  return static_cast<std::size_t>(std::count_if(relays.begin(), relays.end(), [&](const std::string& relay) {
    return placeOf(destination, relay) > mine;
  }));
}

std::uint64_t stableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace myrtleloft
