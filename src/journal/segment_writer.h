// Appends records to the newest segment, begins segments, and removes the oldest one.
//
//   if (!writer.begin()) ... writer.beginError().message() ...
//   if (!writer.append(CompletedRecord{id})) ...    // not recorded; the log still ends with a complete
//   record
//
// Invariants: the newest segment of `LiveRecords` is the one that is written, once `begun()`; `used()` counts
// the folder's files in blocks, and never goes beyond the disk's limit by an append. A segment that ends in
// half a record that could not be cut off is written no more. One thread; nothing waits for the disk to
// finish. An append costs O(bytes) and one write(2).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "journal/disk_faults.h"
#include "journal/errors.h"
#include "journal/files.h"
#include "journal/group_commit.h"
#include "journal/journal_clock.h"
#include "journal/journal_options.h"
#include "journal/live_records.h"
#include "journal/planner.h"
#include "journal/segment.h"
#include "net/clock.h"

namespace myrtleloft {

class SegmentWriter {
 public:
  // All of them outlive the writer.
  struct Parts {
    Files& files;
    const Clock& clock;
    const JournalClock& journalClock;
    const JournalOptions& options;
    const JournalPlanner& planner;
    DiskFaults& faults;
    GroupCommit& commit;
    LiveRecords& records;
    JournalStatistics& statistics;
  };
  // What the headers of the segments to come state of the folder's past.
  struct History {
    std::uint64_t salt = 0;
    std::uint64_t convertedFingerprint = 0;  // fingerprint of a version 1 file that is still there; 0: none
    std::uint64_t firstSegment = 1;          // the oldest that is needed, as recorded on the disk
  };

  explicit SegmentWriter(const Parts& parts);

  // Bytes that each segment begins with: header, names and clock.
  static std::size_t startBytes(const NameTable& names);

  // To be called before anything is written.
  void resume(const History& history) { history_ = history; }
  void setConvertedFingerprint(std::uint64_t fingerprint) { history_.convertedFingerprint = fingerprint; }

  // Whether there is a segment to write to; begins the first one where there is none yet.
  bool begin();
  bool begun() const { return begun_; }
  // Why there is none.
  const std::optional<FileError>& beginError() const { return beginError_; }

  // Appends a record, in another segment where the newest is full or broken.
  template <typename RecordType>
  bool append(const RecordType& record) {
    frame_.clear();
    openFrame(frame_);
    encode(record, frame_);
    return ready(frame_.size()) && appendFrame(frame_);
  }
  // Sees that `bytes` more may go to the newest segment, beginning another where it is full or broken.
  bool ready(std::size_t bytes);
  // Completes a frame that begins `frame`, for the newest segment, and appends it. `ready` said yes to it.
  bool appendFrame(std::string& frame);
  // Appends frames that were completed for the newest segment: all or none.
  bool appendFrames(std::string_view frames);
  // Nothing more is written to the newest segment.
  void abandonSegment() { broken_ = true; }

  // Removes the oldest segment, nothing of which is live; the log records before that it may be missing.
  bool deleteOldest();

  // The header of the next segment, and what a segment of that header begins with.
  SegmentHeader nextHeader() const;
  std::string encodeStart(const SegmentHeader& header) const;
  // A complete segment that another has written; `file` stays open for its sync.
  LiveRecords::Segment& install(std::uint64_t sequence, std::size_t bytes, std::shared_ptr<OutFile> file);

  std::uint64_t salt() const { return history_.salt; }
  std::size_t used() const { return used_; }
  // Of other files in the folder, in blocks.
  void addUsed(std::size_t bytes) { used_ += bytes; }
  void removeUsed(std::size_t bytes) { used_ -= bytes; }
  DiskUsage usage() const;
  // Begins the count of bytes since the last step of compaction anew.
  void restartStepCount() { sinceStep_ = 0; }

 private:
  std::optional<FileError> beginSegment();
  std::optional<FileError> dropOldest();

  Parts parts_;
  std::size_t startBytes_;
  History history_;
  std::shared_ptr<OutFile> active_;
  bool begun_ = false;   // there was a segment to write to
  bool broken_ = false;  // the newest one takes no more
  std::optional<FileError> beginError_;
  std::size_t used_ = 0;
  std::size_t sinceStep_ = 0;
  std::string frame_;
};

}  // namespace myrtleloft
