// What the registers and the ledgers call things. No I/O.
//
// A ledger is a share of what one start of one relay took on. It keeps its name for good, whoever owns it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/message.h"

namespace myrtleloft {

struct LedgerId {
  std::string maker;       // the relay that opened it
  Incarnation made;        // the start that did
  std::uint32_t slot = 0;  // counts that start's ledgers

  friend bool operator==(const LedgerId&, const LedgerId&) = default;
  friend bool operator<(const LedgerId& a, const LedgerId& b) {
    return std::tie(a.maker, a.made.life, a.made.start, a.slot) <
           std::tie(b.maker, b.made.life, b.made.start, b.slot);
  }
};

// A relay as far as its folder goes: one that lost its folder is no longer the one meant.
struct RelayLife {
  std::string name;
  std::uint64_t life = 0;
  friend auto operator<=>(const RelayLife&, const RelayLife&) = default;
};

// What a ledger's register says.
struct LedgerState {
  std::uint64_t epoch = 0;  // raised by one with each change; 0: nothing was ever written
  std::string owner;        // who owes what is in it
  Incarnation start;        // the owner's
  // Each of them holds all that was ever promised under this ledger. None: only the owner's folder does.
  std::vector<RelayLife> ensemble;
  bool open = true;  // false: nothing is owed any more, for good
  friend bool operator==(const LedgerState&, const LedgerState&) = default;
};

// Of one round at a register. Two rounds never share one: the second part is random.
struct Ballot {
  std::uint64_t round = 0;  // 0: none
  std::uint64_t nonce = 0;
  friend auto operator<=>(const Ballot&, const Ballot&) = default;
};

// The how-manieth folder a relay votes from. Of two lives that ever voted the later has the larger mark
// (voters.h).
struct LifeMark {
  std::uint64_t ordinal = 0;  // 0: never heard of
  std::uint64_t life = 0;
  friend auto operator<=>(const LifeMark&, const LifeMark&) = default;
};
struct KnownLife {
  std::string name;
  LifeMark mark;
  friend auto operator<=>(const KnownLife&, const KnownLife&) = default;
};

}  // namespace myrtleloft
