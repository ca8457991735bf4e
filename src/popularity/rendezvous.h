// Rendezvous hashing (Thaler and Ravishankar, 1998) over XXH3: selects the relays responsible for a
// destination. All relays with the same list of names compute the same order, and adding or removing a relay
// does not change the order of the others. Thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleloft {

// Returns how many of `relays` come before `name` in the order of the destination. `name` need not be one of
// them. O(relays).
std::size_t rendezvousRank(std::int64_t destination, const std::vector<std::string>& relays,
                           std::string_view name);

// Returns the same value on every relay, independent of compiler and platform.
std::uint64_t stableHash(std::string_view text);

}  // namespace myrtleloft
