// The journal: which requests are pending, on disk, in a write-ahead log of numbered segments that outlasts
// the process and is compacted in bounded steps.
//
//   Journal journal({files, clock, log}, {folder, diskBytes});
//   auto found = journal.open();
//   if (!found) ...               // locked by another process, a newer version, no space: found.error()
//   for (RecoveredRequest& recovered : found->pending) {
//     ...                         // move the request to where it lives from now on
//     journal.attach(request);
//   }
//
//   if (!journal.recordAccepted(request)) ...                            // not recorded: reject it
//   if (!journal.recordAttempt(request, {"E1", zone, wallMs})) ...       // not recorded: do not send
//   journal.recordCompleted(request);
//   journal.compactStep();                                               // once per round of the event loop
//
// The journal changes a request's attempts, ambiguous attempts and final status itself, together with their
// records, so that memory and disk agree. It has a pointer to each request from `recordAccepted` or `attach`
// to `recordCompleted`; until then a request must stay where it is.
//
// One thread; nothing throws, and nothing waits for the disk to finish: what write(2) accepted outlasts the
// process, and that is all the level `process` promises. Each `record...` costs O(size) and one write(2);
// `compactStep` what the planner bounds it to.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "journal/compaction.h"
#include "journal/disk_budget.h"
#include "journal/disk_faults.h"
#include "journal/errors.h"
#include "journal/files.h"
#include "journal/group_commit.h"
#include "journal/journal_clock.h"
#include "journal/journal_options.h"
#include "journal/live_records.h"
#include "journal/planner.h"
#include "journal/records.h"
#include "journal/recovery.h"
#include "journal/result.h"
#include "journal/segment_writer.h"
#include "journal/syncer.h"
#include "log/log.h"
#include "net/clock.h"

namespace myrtleloft {

class Journal : public DiskBudget {
 public:
  struct Parts {
    Files& files;
    const Clock& clock;
    Log log;
    Syncer* syncer = nullptr;  // with one, the level is `group`
  };

  Journal(const Parts& parts, JournalOptions options);
  ~Journal() override;
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Bytes that each segment of a process with such names begins with. A segment is at least four times as
  // large, and more than a 32nd of the disk makes the journal useless: whoever reads the settings rejects it.
  static std::size_t headBytes(const NameTable& names) { return SegmentWriter::startBytes(names); }

  // Locks the folder, reads it, takes over a file of version 1, quarantines damaged bytes, and begins a
  // segment. An error: the folder cannot be used, and nothing in it was changed that a later start needs.
  // Where only the segment could not be begun, the journal is open all the same, and not `writable`: what was
  // found is pending, and nothing can be recorded until a segment could be begun. To be called once.
  Result<Recovered, JournalError> open();
  // Whether there is a segment to write to. Tries to begin one where there never was; O(1) and a file's
  // creation.
  bool writable() { return writer_.begin(); }
  // Why there is none, after `writable` said no.
  JournalError beginError() const;
  // A request from `open` has found its place. Compaction waits until all have.
  void attach(PendingRequest& request);

  // Each returns false where it could not be recorded, as for a request that is not pending; the log then
  // still ends with a complete record. Also false where too little is free to record all that may follow
  // until the request is completed.
  bool recordAccepted(PendingRequest& request);
  // Before an attempt's first byte. Numbers the attempt itself.
  bool recordAttempt(PendingRequest& request, RecordedAttempt attempt);
  // The newest attempt is known not executed. Withdrawn in memory also where it cannot be recorded: the disk
  // then has one ambiguous attempt too many (PendingRequest::recordedAsAmbiguous), which loses no request and
  // repeats none. Of a request with a final status nothing is withdrawn: the status may have been said, and
  // without its record the next process decides by the attempts. false then, unless there is none.
  bool recordNotExecuted(PendingRequest& request);
  // Given up: drops the body. `retryAfterMs`: when the client should come back.
  bool recordFinalStatus(PendingRequest& request, FinalStatus status, double retryAfterMs);
  // Nothing is left to do; the journal forgets the pointer. false: the record could not be written, and is
  // tried again later; until `completionRecorded` the next process would find the request pending.
  bool recordCompleted(PendingRequest& request);
  // Whether no completion of that id is still to be recorded. O(completions not yet recorded).
  bool completionRecorded(const std::string& id) const {
    return std::find(unrecordedCompletions_.begin(), unrecordedCompletions_.end(), id) ==
           unrecordedCompletions_.end();
  }

  // The time that goes into its records, in ms: the wall clock's at the start, and nobody can set it since.
  double nowMs() const { return clock_.nowMs(); }

  // Disk space for others' files in the folder; those there at `open` count already.
  bool reserve(std::size_t bytes) override;
  void release(std::size_t bytes) override;

  // Whether there is something to compact.
  bool wantsCompaction() const;
  // Rewrites some live requests, or deletes some segments. Its cost is bounded by the planner's step, however
  // much is pending. false: the disk refused; it is tried again after a pause.
  bool compactStep();

  // How far it has written, and how far that is as safe as the level asks; in bytes since the start. What a
  // record promises (a 202, a call) waits until `durable` has come to the position after it. At the level
  // `process` both are always the same.
  std::uint64_t position() const { return commit_.position(); }
  std::uint64_t durable() const {
    const bool trusted = !compaction_.hasUncertain() && commit_.durable() >= compaction_.certainFrom();
    return trusted ? commit_.durable() : durableBeforeFault_;
  }
  // Sends what is written and not yet stored to be synced, unless a sync is running. Cheap; once per round of
  // the event loop.
  void sync();
  // Takes in syncs that have ended. false: one failed. What it was to cover may not be on the disk, whatever
  // later syncs say of those files: nothing that waits may be promised, and all that is live in them is
  // rewritten, in steps. Until then nothing new is accepted.
  bool collect();

  // Sequence numbers, for tools; 0: there is no segment.
  std::uint64_t oldestSegment() const { return records_.empty() ? 0 : records_.oldest().sequence; }
  std::uint64_t newestSegment() const { return records_.empty() ? 0 : records_.newest().sequence; }

  const JournalStatistics& statistics() const { return statistics_; }
  DiskUsage usage() const { return writer_.usage(); }
  // How long to wait after a failure before trying again makes sense, in ms.
  double faultPauseMs() const { return planner_.tuning().faultPauseMs; }

 private:
  static constexpr std::uint32_t kNone = LiveRecords::kNone;

  // Writes a record of a pending request, from its reserve as far as that leaves `remainder`, else from what
  // is free besides; with `remainder` 0 as long as it fits at all. `grows`: by how much the request's
  // complete record grows.
  template <typename RecordType>
  bool record(const RecordType& record, std::uint32_t entry, std::size_t grows, std::size_t remainder);
  void writeCompletions();

  Parts parts_;
  JournalPlanner planner_;
  JournalOptions options_;
  JournalClock clock_;
  JournalStatistics statistics_;
  std::unique_ptr<FolderLock> lock_;
  DiskFaults faults_;
  GroupCommit commit_;
  LiveRecords records_;
  SegmentWriter writer_;
  Compaction compaction_;
  std::uint64_t durableBeforeFault_ = 0;           // what the latest failed sync found durable
  std::size_t unattached_ = 0;                     // requests from `open` without a place
  std::deque<std::string> unrecordedCompletions_;  // ids
  std::string frame_;
};

}  // namespace myrtleloft
