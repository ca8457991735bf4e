// The latest request counts reported by each relay of a region: a state-based CRDT.
//
// The state is a map from (relay, life, start) to the register with the highest version that this start of
// the relay wrote. Merging two states keeps the greater register of each key, ordered by version and then by
// content. This is the join of a semilattice, so that it is commutative, associative and idempotent, and
// states only grow: lost, repeated, late or reordered messages only affect how soon a relay learns of an
// update. Each start of a relay counts from zero under its own key, so that requests counted before a restart
// are neither lost nor counted twice. The register of a relay that has left remains and decays.
//
// Registers carry their writer's wall-clock time. The merge ignores it; readers apply the decay.
// removeExpired drops registers that have decayed, and commutes with the merge. A state holds the
// kMaxRegisters newest registers; this limit commutes with the merge as well, as a register is never older
// than an earlier version.
//
// Does no I/O and is not thread-safe. Merging a register costs O(registers) at the limit, else O(log
// registers).
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

// Registers older than this many time constants are removed; their counts have decayed below 1/2000.
inline constexpr double kMaxAgeTaus = 8;

// States what a relay has cached for a destination.
struct CachedMark {
  static constexpr std::uint8_t kLearned = 1, kConnection = 2;
  std::int64_t destination = 0;
  std::uint8_t kinds = 0;  // a combination of the bits above
  friend auto operator<=>(const CachedMark&, const CachedMark&) = default;
};

// The counts of one relay, or the sum of a cell (see building_counts.h).
struct CountsRegister {
  // Empty for the sum of a cell; incarnation.life is then the layout and incarnation.start the cell's number.
  std::string relay;
  Incarnation incarnation;
  std::uint64_t version = 0;  // increased by the writer with each update
  double asOfWallMs = 0;      // not less than in earlier versions
  HeavyHitterSummary counts;  // decayed to asOfWallMs
  std::vector<CachedMark> cached;
};

class CountsView {
 public:
  struct Key {
    std::string relay;
    std::uint64_t life = 0, start = 0;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  using Registers = std::map<Key, CountsRegister>;
  static constexpr std::size_t kMaxRegisters = 64;

  static Key keyOf(const CountsRegister& r) { return {r.relay, r.incarnation.life, r.incarnation.start}; }

  // Returns whether the update changed the state.
  bool merge(const CountsRegister& update);
  void merge(const CountsView& other);
  // Removes the registers that are older than kMaxAgeTaus at `wallMs`.
  void removeExpired(double wallMs, double tauMs);
  const Registers& registers() const { return registers_; }

  friend bool operator==(const CountsView& a, const CountsView& b);

 private:
  void enforceLimit();
  Registers registers_;
};

}  // namespace myrtleloft
