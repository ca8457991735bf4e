// Reads the folder of a journal and replays its records; implements `recover` (journal/recovery.h).
//
// Segments are read in the order of their sequence numbers. Invariants: `found_.segments` has one element per
// segment after `listFolder`, and so has `links_` after `readHeaders`; `bytes_` is the content of segment
// `loaded_`. Not thread-safe; `run` can be called once.
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

  // What the header of a segment records about other segments.
  struct Links {
    std::uint64_t firstSegment = 1;
    std::size_t previousBytes = SegmentScanner::kUnknownEnd;  // length of the preceding segment
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
  // Returns the length of the segment's valid content as recorded in the next segment's header, or
  // kUnknownEnd if the next segment is missing or its header does not tell.
  std::size_t endOf(std::size_t at) const;
  // Returns whether the segment may end with a torn record, which only the last segment in use can have.
  bool mayBeTorn(std::size_t at) const {
    return at + 1 >= found_.segments.size() || found_.segments[at + 1].stale;
  }

  Files& files_;
  const std::string& folder_;
  const RecordVisitor& visit_;
  Replay replay_;
  Recovered found_;
  std::vector<Links> links_;  // parallel to `found_.segments`
  bool anyNamed_ = false;     // whether any segment with a good header has a name table
  std::uint64_t loaded_ = 0;  // sequence number of the segment in `bytes_`; 0 if none is loaded
  std::string bytes_;
};

}  // namespace myrtleloft
