// One reading of a journal's folder, in steps; `recover` (journal/recovery.h) is its only user.
//
// Segments are read in the order of their sequence numbers. Invariants: `found_.segments` has an element for
// each segment from `listFolder` on, and `links_` from `readHeaders` on; `bytes_` are those of the segment
// `loaded_`. One thread, used once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "journal/errors.h"
#include "journal/files.h"
#include "journal/recovery.h"
#include "journal/replay.h"
#include "journal/result.h"
#include "journal/segment.h"

namespace myrtleloft {

class FolderReader {
 public:
  FolderReader(Files& files, const std::string& folder, const RecoveryOptions& options)
      : files_(files), folder_(folder), visit_(options.visit), replay_(options.names, options.clock) {}

  Result<Recovered, JournalError> run();

 private:
  using Failure = std::optional<JournalError>;

  // What the header of one segment states of its neighbours.
  struct Links {
    std::uint64_t firstSegment = 1;
    std::size_t previousBytes = SegmentScanner::kUnknownEnd;  // of the one before it
  };

  Failure listFolder();
  Failure load(std::uint64_t sequence);
  Failure readHeaders();
  Failure readHeaderOf(std::size_t at);
  Failure readVersionOne();
  Failure readNewestDeletion();
  Failure readSegment(std::size_t at);

  void reportMissingBefore(std::size_t at);
  void beginSegment(SegmentInfo& segment);
  void readRecord(const Piece& piece, SegmentInfo& segment);
  void countRecord(const Record& record, const Piece& piece, SegmentInfo& segment);
  void reportCorruption(const std::string& file, std::size_t offset, std::size_t bytes, const char* what);
  void reportCorruption(const Piece& piece, SegmentInfo& segment, const char* what);

  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  // How much of a segment is the journal's, if the one behind it states that.
  std::size_t endOf(std::size_t at) const;
  // Whether a torn record can stand at the end of the segment: in the last one that counts.
  bool mayBeTorn(std::size_t at) const {
    return at + 1 >= found_.segments.size() || found_.segments[at + 1].stale;
  }

  Files& files_;
  const std::string& folder_;
  const RecordVisitor& visit_;
  Replay replay_;
  Recovered found_;
  std::vector<Links> links_;  // beside `found_.segments`
  bool anyNamed_ = false;
  std::uint64_t loaded_ = 0;  // the segment that `bytes_` is of; 0: none
  std::string bytes_;
};

}  // namespace myrtleloft
