// The journal: a write-ahead log of the pending requests, in numbered segments that survive the process and
// are compacted in bounded steps.
//
//   Journal journal({files, clock, log}, {folder, diskBytes});
//   auto found = journal.open();
//   if (!found) ...             // e.g. locked by another process, newer version, no space: see found.error()
//   for (RecoveredRequest& recovered : found->pending) {
//     ...                       // move the request to its final address
//     journal.attach(request);
//   }
//
//   if (!journal.recordAccepted(request)) ...                        // not recorded: reject the request
//   if (!journal.recordAttempt(request, {"E1", zone, wallMs})) ...   // not recorded: do not send the call
//   journal.recordCompleted(request);
//   journal.compactStep();                                           // once per iteration of the event loop
//
// The journal updates a request's attempts, ambiguous attempts and final status itself, together with the
// records, so that memory and disk agree. It stores a pointer to each request from `recordAccepted` or
// `attach` until `recordCompleted`; the request must not be moved in between.
//
// Not thread-safe. No function throws or waits for the disk: data that write(2) has accepted survives the end
// of the process, which is all that the durability level `process` guarantees. Each `record...` function
// costs O(size) and one write(2); the cost of `compactStep` is bounded by the planner.
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
    Syncer* syncer = nullptr;  // if set, the durability level is `group`
  };

  Journal(const Parts& parts, JournalOptions options);
  ~Journal() override;
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Returns the number of bytes at the start of each segment that hold the header, the names and the clock. A
  // segment is at least four times as large. The configuration rejects names for which this exceeds 1/32 of
  // the disk budget, because too little space would be left for records.
  static std::size_t headBytes(const NameTable& names) { return SegmentWriter::startBytes(names); }

  // Locks the folder, reads it, converts a version 1 file, quarantines damaged bytes, and begins a segment.
  // On an error the folder cannot be used, and nothing that a later start needs has been changed. If only the
  // new segment could not be begun, the journal is open but not `writable`: the recovered requests are
  // pending, and nothing can be recorded until a segment has been begun. To be called once.
  Result<Recovered, JournalError> open();
  // Returns whether there is a segment to write to. Tries to begin one if none was begun yet; costs O(1) and
  // the creation of a file.
  bool writable() { return writer_.begin(); }
  // The reason why the last call of `writable` returned false.
  JournalError beginError() const;
  // Registers the final address of a request that `open` returned. Compaction starts only when all of them
  // are attached.
  void attach(PendingRequest& request);

  // The `record...` functions return false if nothing was recorded, e.g. because the request is not pending;
  // the log then still ends with a complete record.
  //
  // Records an accepted request. Also returns false if there is too little free space for all records that
  // may follow until the request is completed.
  bool recordAccepted(PendingRequest& request);
  // Records an attempt, and assigns its number. To be called before the first byte of the call is sent.
  bool recordAttempt(PendingRequest& request, RecordedAttempt attempt);
  // Records that the newest attempt is known not executed. The attempt is removed in memory even if that
  // cannot be recorded. The disk then has one ambiguous attempt too many
  // (PendingRequest::recordedAsAmbiguous), which neither loses nor repeats a request. Nothing is removed from
  // a request with a final status: the status may already have been sent to the platform, and if its record
  // is missing, the next process decides by the attempts. Returns false in that case, unless the request has
  // no ambiguous attempt.
  bool recordNotExecuted(PendingRequest& request);
  // Records that the request ended with a final status, and drops its body. `retryAfterMs` is the delay after
  // which the client should retry.
  bool recordFinalStatus(PendingRequest& request, FinalStatus status, double retryAfterMs);
  // Records that nothing is left to do for the request, and drops the pointer to it. Returns false if the
  // record could not be written yet; it is retried later. Until `completionRecorded` returns true, a
  // restarted process would recover the request as pending.
  bool recordCompleted(PendingRequest& request);
  // Returns whether there is no unrecorded completion of this id. O(unrecorded completions).
  bool completionRecorded(const std::string& id) const {
    return std::find(unrecordedCompletions_.begin(), unrecordedCompletions_.end(), id) ==
           unrecordedCompletions_.end();
  }

  // The time used in records, in ms: the wall clock's time at the start, advanced by the machine's clock, so
  // that later changes of the wall clock do not affect it.
  double nowMs() const { return clock_.nowMs(); }

  // Disk space for files of other components in the folder. Files that existed at `open` are already counted.
  bool reserve(std::size_t bytes) override;
  void release(std::size_t bytes) override;

  // Returns whether there is anything to compact, or a completion to record.
  bool wantsCompaction() const;
  // Rewrites some live requests or deletes some segments. The planner bounds the cost of a step, regardless
  // of the number of pending requests. Returns false if a disk operation failed; it is retried after a pause.
  bool compactStep();

  // The position up to which records are written, and the position up to which they are durable as the
  // durability level requires, in bytes since the start of the process. An action that depends on a record
  // (the answer 202, a call) must wait until `durable` has reached the position after the record. At the
  // level `process` both are always equal.
  std::uint64_t position() const { return commit_.position(); }
  std::uint64_t durable() const {
    const bool certain = !compaction_.hasUncertain() && commit_.durable() >= compaction_.certainFrom();
    return certain ? commit_.durable() : durableBeforeFault_;
  }
  // Starts a sync of all records that are not durable yet, unless a sync is running. To be called once per
  // iteration of the event loop; does not wait.
  void sync();
  // Processes finished syncs. Returns false if one failed. The data that it was meant to cover may then be
  // missing on the disk, whatever later syncs of the same files report. So `durable` does not advance and no
  // request is accepted until `compactStep` has rewritten all live records to other files.
  bool collect();

  // Sequence numbers of the first and the last segment, for tools; 0 if there is no segment.
  std::uint64_t oldestSegment() const { return records_.empty() ? 0 : records_.oldest().sequence; }
  std::uint64_t newestSegment() const { return records_.empty() ? 0 : records_.newest().sequence; }

  const JournalStatistics& statistics() const { return statistics_; }
  DiskUsage usage() const { return writer_.usage(); }
  // How long to wait after a disk failure before a retry, in ms.
  double faultPauseMs() const { return planner_.tuning().faultPauseMs; }

 private:
  static constexpr std::uint32_t kNone = LiveRecords::kNone;

  // Writes a record of a pending request. The space is taken from the request's reserve if at least
  // `remainder` bytes of it are left then, else from the free space. With a `remainder` of 0 the record is
  // written whenever the disk budget has space for it. `growth` is the number of bytes by which the request's
  // complete record grows.
  template <typename RecordType>
  bool record(const RecordType& record, std::uint32_t entry, std::size_t growth, std::size_t remainder);
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
  std::uint64_t durableBeforeFault_ = 0;           // `durable()` at the latest failed sync
  std::size_t unattached_ = 0;                     // number of requests from `open` without `attach`
  std::deque<std::string> unrecordedCompletions_;  // ids
  std::string frame_;
};

}  // namespace myrtleloft
