// Who of several relays is meant for a destination: rendezvous hashing (Thaler and Ravishankar, 1998) over
// XXH3. Whoever has the same names gets the same order, and a relay that comes or goes changes no other's
// place. Safe for several threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleloft {

// How many of `relays` go before `me`, which need not be among them. O(relays).
std::size_t rendezvousRank(std::int64_t destination, const std::vector<std::string>& relays,
                           std::string_view me);

// The same at every relay, whatever it was built by.
std::uint64_t stableHash(std::string_view text);

}  // namespace myrtleloft
