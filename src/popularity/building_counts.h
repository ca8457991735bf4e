// Request counts of all relays of one region, as one relay knows them, and the messages in which it reports
// them to the others. Does no I/O: times and the random seed are passed in.
//
//   RegionCounts counts(options);
//   counts.setRelays({"n1", "n2", "n3"});              // the region's relays, this one included
//   counts.recordRequest(nowMs, destination, worth);   // for each request offered to this relay
//   for (OutgoingCounts& send : counts.onTick({steadyMs, wallMs}, alive, cached)) ...
//   counts.onCounts({steadyMs, wallMs}, message);
//   Popularity popularity = counts.popularityOf(nowMs, destination);   // input of the EvictionPolicy
//
// Gossip. The relays of a region are divided into cells of at most 16 relays that are adjacent in the order
// of their names' hashes. Once per period a relay sends two messages. The first goes to a random other relay
// of its cell and carries its own counts, those of up to seven other relays of the cell and the sums of up to
// three other cells. The second goes to a random relay of another cell and carries the sum of the sender's
// cell and the same sums of other cells. Registers sent longest ago are forwarded first. If the region has a
// single cell, the first message is also sent to a second relay. The number of messages does not depend on
// the number of relays, so that the traffic of a relay stays constant. The sum of a cell is one register as
// well: the newest is used, whichever relay of the cell wrote it. A relay reports the sum of its cell only
// after it has run for one time constant and while it receives counts from its cell, because a relay that has
// just restarted would report the counts it has not yet received as zero.
//
// Isolation: a relay that has received no counts for kIsolatedAfterPeriods uses its own counts only.
//
// Clocks: registers carry the wall-clock time of their writer. A clock that is off by d weights the writer's
// counts by a factor of up to e^(d / tau). Registers more than half a time constant in the future are
// rejected; those older than kMaxAgeTaus time constants are removed. A relay's own counts use its steady
// clock.
//
// Memory is bounded by kMaxCounters own counters and twice CountsView::kMaxRegisters registers. Not
// thread-safe. A tick costs O(registers x entries), all else at most O(counters).
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

struct ClockReading {
  double steadyMs = 0, wallMs = 0;
};

struct OutgoingCounts {
  std::string peer;
  CountsMessage message;
};

// The decayed demand for a destination, as the eviction policy needs it.
struct Popularity {
  double localCalls = 0;                  // at this relay; never more than the actual number
  double regionCalls = 0;                 // at all relays of the region; never more than the actual number
  double lowerBound = 0, upperBound = 0;  // bounds of the worth requested in the region
  double share = 0;                       // `lowerBound` as a share of all worth requested in the region
  std::size_t relays = 1;                 // number of relays that the region counts cover
};

class RegionCounts {
 public:
  struct Options {
    std::string relayName;
    Incarnation incarnation;
    double tauMs = 0;     // see tauOf
    double periodMs = 0;  // see periodOf
    std::uint64_t seed = 0;
  };
  static constexpr std::size_t kMaxCounters = 256;
  static constexpr double kIsolatedAfterPeriods = 6;

  // Returns the time constant of decay that follows from the settings. It is long enough to estimate the rate
  // of a destination that is called once per idle timeout of a connection to within a third (a count of calls
  // at rate r has a relative error of 1 / sqrt(2 r tau)), and not shorter than the slow start of a cold
  // endpoint.
  static double tauOf(double connIdleMs, double coldMs);
  // Returns the time between two reports. At a twelfth of the time constant, counts are at most an eighth out
  // of date while all messages arrive.
  static double periodOf(double tauMs) { return tauMs / 12; }

  explicit RegionCounts(Options options);

  // Sets the relays of the region. Counts of relays that are in this relay's cell afterwards are retained.
  void setRelays(const std::vector<std::string>& relays);
  void recordRequest(double nowMs, std::int64_t destination, double worth) {
    ownCounts_.record(nowMs, destination, worth);
  }
  // Returns the messages due now; empty until the next period begins. `alive` lists the relays that can be
  // reached, of any region; `cached` is what this relay has cached, by destination.
  std::vector<OutgoingCounts> onTick(ClockReading now, const std::vector<std::string>& alive,
                                     const std::vector<CachedMark>& cached);
  // Merges a received message. Registers of another layout or cell, or with a clock too far off, are ignored.
  void onCounts(ClockReading now, const CountsMessage& message);

  Popularity popularityOf(double nowMs, std::int64_t destination) const;
  // Returns the relays of `alive`, sorted by name, that had reported by the last tick that they have any of
  // `kinds` (bits of CachedMark) cached for the destination.
  std::vector<std::string> holders(std::int64_t destination, std::uint8_t kinds,
                                   const std::vector<std::string>& alive) const;
  // Whether this relay has received no counts for kIsolatedAfterPeriods.
  bool isIsolated(double nowMs) const {
    return !(nowMs - lastReceivedMs_ <= kIsolatedAfterPeriods * options_.periodMs);
  }
  std::size_t cells() const { return std::max<std::size_t>(1, cellStarts_.size()); }
  const CountsView& cellRelays() const { return cellRelays_; }
  const CountsView& otherCells() const { return otherCells_; }

 private:
  std::size_t cellOf(std::string_view relay) const;
  CountsRegister ownRegister(ClockReading now, const std::vector<CachedMark>& cached);
  CountsRegister cellSum(ClockReading now, const CountsRegister& own);
  // Returns up to `limit` registers, those sent longest ago first, without `excluded`.
  std::vector<CountsRegister> leastRecentlySent(const CountsView& view, const CountsView::Key& excluded,
                                                std::size_t limit);
  void refresh(ClockReading now);
  void refreshCachedElsewhere();
  bool isAcceptable(const CountsRegister& update, ClockReading now) const;
  double decayFactor(const CountsRegister& update, double wallMs) const;
  std::string pickRandom(const std::vector<std::string>& names);

  Options options_;
  std::mt19937_64 random_;
  HeavyHitters ownCounts_;
  CountsView cellRelays_, otherCells_;  // one register per relay of this cell; one per other cell
  std::vector<std::string> relays_;
  std::vector<std::uint64_t> cellStarts_;  // the first hash of each cell
  std::uint64_t layout_ = 0;               // hash of the sorted names of the region's relays
  std::size_t ownCell_ = 0;
  std::map<CountsView::Key, std::uint64_t> lastSentTick_;
  std::uint64_t ticks_ = 0, version_ = 0;
  double startedMs_ = -1, nextTickMs_ = 0, lastReceivedMs_, lastCellReceivedMs_, lastWallMs_ = 0;
  HeavyHitterSummary otherCounts_;  // as of `refreshedMs_`
  double refreshedMs_ = 0;
  tsl::robin_map<std::int64_t, std::vector<std::pair<std::string, std::uint8_t>>> cachedElsewhere_;
};

}  // namespace myrtleloft
