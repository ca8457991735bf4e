// What the relays of one building are asked for, all together, as one of them knows it; and what it tells the
// others of that. Without I/O: times and the seed are passed in.
//
//   BuildingCounts counts(options);
//   counts.building({"n1", "n2", "n3"});              // its relays by the operator's file, this one included
//   counts.asked(nowMs, destination, worth);          // each message offered here
//   for (CountsSend& send : counts.onTick({steadyMs, wallMs}, alive, warm)) ...
//   counts.onCounts({steadyMs, wallMs}, message);
//   Popularity p = counts.of(nowMs, destination);     // of a moment, for the keeper
//
// Who tells whom. A building's relays stand in cells of 16 at most: neighbours in the order of their names'
// hashes. Once a period a relay tells one other of its cell, drawn by chance, its own counts and those of
// three others of the cell, and one relay outside the cell the sum of its cell and those of three other
// cells, whichever it told longest ago; with no other cell, a second one of its own. The same two messages
// whatever the number of relays: bytes a second are flat. A cell's sum is one register too: the newest wins,
// whoever of the cell wrote it. Only a relay that has run for a time constant and hears its cell writes one,
// so that one that has just come back does not take what it has not heard yet for nothing.
//
// Cut off: a relay that heard nothing of its building for kQuietPeriods goes by its own counts alone.
//
// Clocks: registers are as of their writer's wall clock. One that is apart by d weighs that writer's counts
// wrongly by e^(d / tau) at the most; ahead by more than half a time constant they are not taken, behind by
// kForgetTaus of them they are forgotten. Own counts go by the steady clock.
//
// Bounded: kMostCounters own counters, twice CountsView::kMostRegisters registers. One thread; a tick costs
// O(registers x entries), the rest O(counters) at the most.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "popularity/messages.h"

namespace myrtleloft {

struct Moment {
  double steadyMs = 0, wallMs = 0;
};

struct CountsSend {
  std::string peer;
  CountsMessage message;
};

// How much a destination is asked for, decayed: what a keeper needs to know of it.
struct Popularity {
  double callsHere = 0;        // at this relay, no more than there were
  double callsBuilding = 0;    // at all relays of the building together, this one included; likewise
  double least = 0, most = 0;  // worth asked for in the building lies between
  double share = 0;            // `least` of all worth asked for in the building
  std::size_t relays = 1;      // whose counts these are, at least this one
};

class BuildingCounts {
 public:
  struct Options {
    std::string me;
    Incarnation incarnation;
    double tauMs = 0;     // `tauOf`
    double periodMs = 0;  // `periodOf`
    std::uint64_t seed = 0;
  };
  static constexpr std::size_t kMostCounters = 256;
  static constexpr double kQuietPeriods = 6;

  // The time constant of decay, from the settings: so long that a destination that is called once while an
  // idle connection lives is known to a third (the count of calls at a rate r has a relative error of 1 /
  // sqrt(2 r tau)), and no shorter than the span in which a cold endpoint warms up.
  static double tauOf(double connIdleMs, double coldMs);
  // Between two tellings: a twelfth, so that counts are an eighth out of date at the most where all hear.
  static double periodOf(double tauMs) { return tauMs / 12; }

  explicit BuildingCounts(Options options);

  // Another list keeps what is known of those that are now in the own cell.
  void building(const std::vector<std::string>& relays);
  void asked(double nowMs, std::int64_t destination, double worth) { own_.ask(nowMs, destination, worth); }
  // What is to be told by now; nothing before the next period. `alive`: those that may be told, of any
  // building; `warm`: what is held warm here, by destination.
  std::vector<CountsSend> onTick(Moment now, const std::vector<std::string>& alive,
                                 const std::vector<WarmMark>& warm);
  // What of it is of another layout, cell or clock is left out.
  void onCounts(Moment now, const CountsMessage& message);

  Popularity of(double nowMs, std::int64_t destination) const;
  // Those of `alive` that had said by the last tick that they hold that of it warm (bits of WarmMark), by
  // name.
  std::vector<std::string> holders(std::int64_t destination, std::uint8_t what,
                                   const std::vector<std::string>& alive) const;
  bool alone(double nowMs) const { return !(nowMs - heardMs_ <= kQuietPeriods * options_.periodMs); }
  std::size_t cells() const { return std::max<std::size_t>(1, bounds_.size()); }
  const CountsView& near() const { return near_; }
  const CountsView& far() const { return far_; }

 private:
  std::size_t cellOf(std::string_view relay) const;
  CountsRegister own(Moment now, const std::vector<WarmMark>& warm);
  CountsRegister cell(Moment now, const CountsRegister& own);
  // The `most` that were told longest ago, without `but`.
  std::vector<CountsRegister> next(const CountsView& view, const CountsView::Key& but, std::size_t most);
  void refresh(Moment now);
  void refreshHeld();
  bool fits(const CountsRegister& said, Moment now) const;
  double fade(const CountsRegister& said, double wallMs) const;
  std::string drawn(const std::vector<std::string>& of);

  Options options_;
  std::mt19937_64 random_;
  HeavyCounts own_;
  CountsView near_, far_;  // of the relays of the cell; of the other cells
  std::vector<std::string> relays_;
  std::vector<std::uint64_t> bounds_;  // hash at which each cell begins
  std::uint64_t layout_ = 0;
  std::size_t mine_ = 0;
  std::map<CountsView::Key, std::uint64_t> told_;  // in which tick
  std::uint64_t ticks_ = 0, version_ = 0;
  double bornMs_ = -1, nextMs_ = 0, heardMs_, nearHeardMs_, lastWallMs_ = 0;
  HeavySummary others_;  // as of `refreshedMs_`
  double refreshedMs_ = 0;
  tsl::robin_map<std::int64_t, std::vector<std::pair<std::string, std::uint8_t>>> held_;
};

}  // namespace myrtleloft
