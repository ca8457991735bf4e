// Appends records to the newest segment, begins new segments, and deletes the oldest one.
//
//   if (!writer.begin()) ... writer.beginError()->message() ...
//   if (!writer.append(CompletedRecord{id})) ...   // not recorded
//
// After a failed append the log still ends with a complete record. Invariants: once `begun()`, the newest
// segment of `LiveRecords` is the active one; `used()` is the size of the folder's files in whole blocks, and
// no append makes it exceed the disk budget. A segment that ends in a partial record that could not be
// truncated is not written to again. Not thread-safe; nothing waits for the disk. An append costs O(bytes)
// and one write(2).
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
  // The referenced objects must outlive the writer.
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
  // What the headers of new segments record about the history of the folder.
  struct History {
    std::uint64_t salt = 0;
    std::uint64_t convertedFingerprint = 0;  // of a converted version 1 file not deleted yet; 0 if none
    std::uint64_t firstSegment = 1;          // the oldest needed segment, as recorded on the disk
  };

  explicit SegmentWriter(const Parts& parts);

  // Returns the size of the start of each segment: header, names and clock.
  static std::size_t startBytes(const NameTable& names);

  // Continues the history of the folder. To be called before anything is written.
  void resume(const History& history) { history_ = history; }
  void setConvertedFingerprint(std::uint64_t fingerprint) { history_.convertedFingerprint = fingerprint; }

  // Returns whether there is a segment to write to. Begins the first one if none was begun yet.
  bool begin();
  bool begun() const { return begun_; }
  // The reason why `begin` returned false.
  const std::optional<FileError>& beginError() const { return beginError_; }

  // Appends a record; begins a new segment first if the newest one is full or broken. Returns false if the
  // record could not be written.
  template <typename RecordType>
  bool append(const RecordType& record) {
    frame_.clear();
    openFrame(frame_);
    encode(record, frame_);
    return ready(frame_.size()) && appendFrame(frame_);
  }
  // Prepares the newest segment for `bytes` more; begins a new segment if it is full or broken. Returns false
  // if there is no segment to write to.
  bool ready(std::size_t bytes);
  // Completes the frame opened at the start of `frame` for the newest segment, and appends it. `ready` must
  // have returned true for its size.
  bool appendFrame(std::string& frame);
  // Appends frames that were closed for the newest segment: either all of them or none.
  bool appendFrames(std::string_view frames);
  // Ends the newest segment: the next record goes to a new one.
  void abandonSegment() { broken_ = true; }

  // Deletes the oldest segment, which must not have live records, and records that it may be missing. Returns
  // false if the file could not be deleted.
  bool deleteOldest();

  // Returns the header of the next segment.
  SegmentHeader nextHeader() const;
  // Returns the start of a segment with this header: header, names and clock.
  std::string encodeStart(const SegmentHeader& header) const;
  // Makes a complete segment written by the caller the newest one. `file` is kept open for the next sync.
  LiveRecords::Segment& install(std::uint64_t sequence, std::size_t bytes, std::shared_ptr<OutFile> file);

  std::uint64_t salt() const { return history_.salt; }
  std::size_t used() const { return used_; }
  // Account for other files in the folder, in whole blocks.
  void addUsed(std::size_t bytes) { used_ += bytes; }
  void removeUsed(std::size_t bytes) { used_ -= bytes; }
  DiskUsage usage() const;
  // Resets the number of bytes appended since the last compaction step.
  void restartStepCount() { appendedSinceStep_ = 0; }

 private:
  // Both return std::nullopt on success.
  std::optional<FileError> beginSegment();
  std::optional<FileError> dropOldest();

  Parts parts_;
  std::size_t startBytes_;
  History history_;
  std::shared_ptr<OutFile> active_;
  bool begun_ = false;   // a segment has been begun by this process
  bool broken_ = false;  // nothing more may be written to the newest segment
  std::optional<FileError> beginError_;
  std::size_t used_ = 0;
  std::size_t appendedSinceStep_ = 0;
  std::string frame_;
};

}  // namespace myrtleloft
