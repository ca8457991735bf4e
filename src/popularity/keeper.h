// What stays warm when there is no room for all: idle connections to endpoints, and what was learned of them.
// Decides without I/O, from what it is given; two relays that are given the same view decide alike.
//
//   Keeper keeper({"n1", tauMs, 256});
//   for (std::size_t gone : keeper.evictions(nowMs, items, budget, view)) ... // indexes in `items`
//
// An item's worth is what it saves in a second: calls a second that would use it x what one call loses by
// meeting the destination cold (`coldCost`). Its price is its share of the bytes or of the descriptors that
// are there, whichever is more. The least worth for its price goes first, after these rules:
//   - What binds never goes, though the bounds be passed: a told wait, a drain, a cold return in doubt, a
//   call
//     out, a promised copy.
//   - At an endpoint that holds few connections only its keepers keep idle ones: as many relays of the
//     building as its part of half of those connections, by rendezvous. Others give theirs back at once.
//   - The last warm copy of a popular destination goes after all that is not; of several, the last is that of
//   the holder
//     whom rendezvous puts first, so that not all who see two copies drop theirs. Popular is what is asked
//     for more than one of `slots` equal parts of all that the building is asked for.
//   - What was learned can be asked for: two keepers, by rendezvous, hold it for the building and count the
//   building's
//     calls for it; to others a copy that a neighbour holds as well is worth but the question.
//   - What is new takes the place of what is kept only if worth kMargin more, and no more than
//     `slots` / 4 times at once and kTurnovers x `slots` times in a time constant: else the new one goes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "popularity/building_counts.h"

namespace myrtleloft {

enum class WarmKind : std::uint8_t { kLearned, kConnection };

// Why an item must stay, as bits.
struct Binds {
  static constexpr std::uint8_t kToldWait = 1, kDrain = 2, kColdReturn = 4, kCallOut = 8, kCopy = 16;
};

struct WarmItem {
  std::int64_t destination = 0;
  WarmKind kind = WarmKind::kConnection;
  std::uint8_t binds = 0;
  bool fresh = false;      // not kept yet: it came just now
  std::size_t bytes = 0;   // descriptors: one for a connection, none for what was learned
  std::size_t behind = 0;  // idle connections of the same endpoint that are used before this one
  double usualMs = 0;      // usual time of an answer; 0: not known
  double coldCost = 1;     // worth, `coldCostOf`
  std::size_t endpointHolds =
      0;  // connections that the endpoint holds at once, of all relays; 0: not known, many
};

struct WarmBudget {
  std::size_t bytes = 0;        // `warm_kb`
  std::size_t descriptors = 0;  // for idle connections to endpoints
};

// What a decision rests on, as of one moment.
struct KeepView {
  std::vector<std::string> relays;  // of the building, alive, this one included
  std::size_t buildings = 1;        // with relays
  std::function<Popularity(std::int64_t destination)> popularity;
  // Others that hold such a thing warm.
  std::function<std::vector<std::string>(std::int64_t destination, WarmKind)> holders;
};

// What one call loses by meeting its destination cold, in worth. Of a connection: a handshake's price (the
// penalty of the settings) and what it takes of the time that the message may take. Of what was learned:
// calls refused until the pace is found again.
struct ColdFacts {
  double worth = 1;  // of a usual message there
  double handshakeMs = 0, aimMs = 0;
  double handshakePenalty = 0.02;
  double refusedCalls = 0;  // by a start that knows nothing, on average
};
double coldCostOf(WarmKind kind, const ColdFacts& facts);

class Keeper {
 public:
  static constexpr double kMargin = 0.25, kTurnovers = 2;
  // Share of an endpoint's connections that may be idle ones, all relays together.
  static constexpr double kIdleShare = 0.5;
  static constexpr std::size_t kLearnedCopies = 2;

  struct Options {
    std::string me;
    double tauMs = 0;
    std::size_t slots = 0;  // idle connections that there is room for; at least 1
  };
  explicit Keeper(Options options);

  // Which of `items` go now, so that the rest fits `budget`. O(items x (log items + relays)).
  std::vector<std::size_t> evictions(double nowMs, const std::vector<WarmItem>& items,
                                     const WarmBudget& budget, const KeepView& view);

  // How many relays of a building may keep idle connections at an endpoint that holds so many.
  static std::size_t keepersAt(std::size_t endpointHolds, std::size_t buildings);
  // Worth saved in a time constant.
  double worthOf(const WarmItem& item, const KeepView& view) const;
  // Whether it is the last copy of what is popular.
  bool lastOfPopular(const WarmItem& item, const KeepView& view) const;
  // Whether this relay may keep it at all.
  bool mayKeep(const WarmItem& item, const KeepView& view) const;
  // New ones that may take the place of kept ones now.
  double turnsLeft(double nowMs) const;

 private:
  Options options_;
  double turns_, turnsAtMs_ = 0;
};

}  // namespace myrtleloft
