// Who holds a ledger, and who takes one over: rendezvous hashing (Thaler, Ravishankar, 1996) by xxHash, so
// that all relays choose alike from the same view and little moves when one comes or goes. No state, no I/O.
//
// O(n log n) for n relays.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "copies/names.h"

namespace myrtleloft {

// A relay that may hold.
struct Candidate {
  RelayLife relay;
  std::string building;  // empty: not told
  double room = 1;       // free for others' copies, in any unit common to all; 0: none
};

// Which of `slots` shares a request belongs to.
std::uint32_t shareOf(std::string_view requestId, std::uint32_t slots);

// Up to `copies` of them: one of each other building first, then more of those, the owner's own last; among
// equals by weight of their room. Those without room are left out.
std::vector<RelayLife> chooseHolders(const LedgerId& ledger, std::string_view ownBuilding,
                                     std::vector<Candidate> candidates, std::size_t copies);

// The order in which living relays try to take that ledger over: its holders before others.
std::vector<std::string> heirOrder(const LedgerId& ledger, const std::vector<RelayLife>& ensemble,
                                   std::vector<RelayLife> living);

}  // namespace myrtleloft
