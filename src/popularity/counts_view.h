// What the relays of a building say they were asked for, as each of them last said it: a state-based CRDT.
//
// A state is a map from (relay, life, start) to what that start of that relay said with its highest version.
// The merge of two states takes from each key the greater, by version and then by content. That is the join
// of a semilattice, so it is commutative, associative and idempotent, and a state only ever grows by it:
// messages that are lost, repeated, late or out of order change nothing but how soon a relay knows. Each
// start of a relay counts from nothing under a key of its own, so what was asked for before a restart is
// neither lost nor counted twice, and what a relay that is gone had said stays, and fades.
//
// Registers are as of their writer's wall clock, which is none of the merge's business: only who reads decays
// them. `forget` drops what has faded; it commutes with the merge. A state keeps the `kMostRegisters` newest,
// and that too commutes with it, as a register is never older than an earlier version of it.
//
// No I/O, one thread. Merging one register is O(registers) at its bound, else O(log registers).
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/message.h"
#include "popularity/heavy_counts.h"

namespace myrtleloft {

// After so many time constants a count weighs under a two-thousandth.
inline constexpr double kForgetTaus = 8;

struct WarmMark {  // that a relay holds something warm
  static constexpr std::uint8_t kLearned = 1, kConnection = 2;
  std::int64_t destination = 0;
  std::uint8_t what = 0;  // bits of the above
  friend auto operator<=>(const WarmMark&, const WarmMark&) = default;
};

struct CountsRegister {
  std::string
      relay;  // empty: the sum of a cell (building_counts.h); life is the layout's, start the cell's number
  Incarnation incarnation;
  std::uint64_t version = 0;  // by the writer; higher is newer
  double asOfWallMs = 0;      // no less than that of its earlier versions
  HeavySummary counts;        // as of then
  std::vector<WarmMark> warm;
};

class CountsView {
 public:
  struct Key {
    std::string relay;
    std::uint64_t life = 0, start = 0;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  using Registers = std::map<Key, CountsRegister>;
  static constexpr std::size_t kMostRegisters = 64;

  static Key keyOf(const CountsRegister& r) { return {r.relay, r.incarnation.life, r.incarnation.start}; }

  // Whether it was news.
  bool merge(const CountsRegister& said);
  void merge(const CountsView& other);
  // Those older than kForgetTaus at `wallMs`.
  void forget(double wallMs, double tauMs);
  const Registers& registers() const { return registers_; }

  // Whether both know the same.
  friend bool operator==(const CountsView& a, const CountsView& b);

 private:
  void bound();
  Registers registers_;
};

}  // namespace myrtleloft
