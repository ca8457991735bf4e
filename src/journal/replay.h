// Replays records one after the other, and determines which requests are pending and which of them are
// ambiguous because of damage between the records.
//
//   Replay replay(names, clock);
//   replay.apply(segment, record); ... replay.noteCorruption(); ...
//   replay.finish(found);
//
// Both arguments may be null; otherwise they must outlive the replay. Not thread-safe; amortized O(size of
// the record).
#pragma once

#include <cstdint>
#include <deque>
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

  // Begins a segment without a name table: its numbers are those of the current settings. Its clock is
  // unknown until a clock record is applied.
  void beginUnnamedSegment();
  // Begins a segment with a name table: until that is applied, the meaning of its numbers is unknown.
  void beginNamedSegment();
  // Applies the record, and may move its contents.
  void apply(std::uint64_t segment, Record& record);
  // Notes a damaged part: any record may be missing between those applied so far and those that follow.
  void noteCorruption();
  // Ends the replay: adds an ambiguous attempt to each request that may have lost one, adds requests of which
  // only the id is known as pending, and moves the result to `found`.
  void finish(Recovered& found);

 private:
  void applyRecord(AcceptedRecord& record);
  void applyRecord(AttemptRecord& record);
  void applyRecord(NotExecutedRecord& record);
  void applyRecord(FinalStatusRecord& record);
  void applyRecord(CompletedRecord& record);
  void applyRecord(SegmentsDeletedRecord& record);
  void applyRecord(NameTableRecord& record);
  void applyRecord(ClockRecord& record);
  // Returns the request of this id. If there is none, returns nullptr and remembers that a record refers to
  // it.
  RecoveredRequest* find(const std::string& id);
  void rememberCompleted(const PendingRequest& request);
  void translateFrom(const NameTable& recorded);

  const NameTable* names_;
  const ClockAnchor* clock_;
  std::optional<NameTranslation> translation_;  // if empty, numbers are not translated
  std::optional<double> shiftMs_;  // offset from the segment's clock to the current one; empty if unknown
  PendingTable pending_;
  std::deque<PendingRequest> completed_;
  std::map<std::string, FinalStatus, std::less<>> withoutBody_;  // ids in records without an accepted record
  std::uint64_t corruptionCount_ = 0;                            // damaged parts so far
  std::uint64_t segment_ = 0;
};

}  // namespace myrtleloft
