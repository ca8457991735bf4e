// What follows from records, applied one after the other: which requests are pending, and what damage between
// the records makes ambiguous.
//
//   Replay replay(names, clock);
//   replay.apply(segment, record); ... replay.hole(); ...
//   replay.finish(found);
//
// Both arguments may be null and outlive the replay. One thread; amortized O(size of the record).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "journal/name_table.h"
#include "journal/pending_table.h"
#include "journal/records.h"
#include "journal/recovery.h"

namespace myrtleloft {

class Replay {
 public:
  explicit Replay(const NameTable* names = nullptr, const ClockAnchor* clock = nullptr)
      : names_(names), clock_(clock) {}

  // A segment begins that states no names: its numbers mean what they mean now. Its clock is not known yet.
  void beginUnnamedSegment();
  // A segment begins that states its names: until it does, nobody knows what its numbers mean.
  void beginNamedSegment();
  // Takes what it needs out of `record`.
  void apply(std::uint64_t segment, Record& record);
  // Any record may be missing between those applied so far and those to come.
  void noteCorruption();
  // Ends the replay: gives an ambiguous attempt to each request that may have lost one, and brings back those
  // of which only the name is left.
  void finish(Recovered& found);

 private:
  void on(AcceptedRecord& record);
  void on(AttemptRecord& record);
  void on(NotExecutedRecord& record);
  void on(FinalStatusRecord& record);
  void on(CompletedRecord& record);
  void on(SegmentsDeletedRecord& record);
  void on(NameTableRecord& record);
  void on(ClockRecord& record);
  // The request of that id; where there is none, remembers that a record named it.
  RecoveredRequest* find(const std::string& id);
  void translateFrom(const NameTable& recorded);

  const NameTable* names_;
  const ClockAnchor* clock_;
  std::optional<NameTranslation> translation_;  // none: numbers stay
  std::optional<double> shiftMs_;               // from the segment's times to those of now; none: not known
  PendingTable pending_;
  std::map<std::string, FinalStatus, std::less<>> withoutBody_;  // named by records, but never accepted
  std::uint64_t corruptionCount_ = 0;
  std::uint64_t segment_ = 0;
};

}  // namespace myrtleloft
