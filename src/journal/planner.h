// Decides when the journal compacts, how much it rewrites in one step, and which requests it can still
// accept. Pure functions of the disk usage and the tuning: no I/O, no clock and no other state.
//
//   const JournalPlanner planner(tuning);
//   if (!planner.admits(usage, recordBytes)) ...        // reject the request
//   const std::size_t bytes = planner.stepBytes(usage); // to rewrite in this step; 0 if none
//
// Segments are compacted strictly from the oldest to the newest (as in the log-structured file system of
// Rosenblum and Ousterhout, 1992, with its cleaner reduced to a queue). The record of an accepted request is
// therefore always deleted before that of its completion, and no tombstones have to be rewritten. Requests
// are pending for seconds only, so the oldest segment rarely has many live records.
//
// Guarantee: if `admits` is checked before each request is accepted, and `permits` before each record that
// exceeds its request's reserve, then all pending requests can be completed without any compaction, and one
// segment can always be rewritten. `tests/journal/planner_test.cpp` checks this with random loads.
//
// Thread-safe; all functions are O(1).
#pragma once

#include <cstddef>

#include "journal/segment.h"

namespace myrtleloft {

constexpr std::size_t kDiskBlock = 512;  // the unit in which the platform counts the size of files

// Returns the disk space that a file of this size counts for.
constexpr std::size_t roundUpToBlocks(std::size_t bytes) {
  return (bytes + kDiskBlock - 1) / kDiskBlock * kDiskBlock;
}

// Parameters of the planner. Sizes are in bytes.
struct JournalTuning {
  // Largest share of the disk budget for pending requests with their reserves. A larger share leaves less
  // space for completed records that are not compacted yet, so compaction has to run more often;
  // docs/bench/journal.md has the bytes written at 0.5.
  double pendingShare = 0.55;
  // Space reserved for the further records of each accepted request: four attempts, each known not executed,
  // a final status and a completion. A smaller reserve admits more requests, but stops attempts earlier when
  // the disk budget is used up.
  std::size_t perRequestReserve = 512;
  // The part of the reserve for the final status and the completion. Attempts cannot use it, so a request can
  // always be completed.
  std::size_t completionReserve = 160;
  // Compaction runs while less than this share of the disk budget is free. A larger share starts it earlier,
  // and then it copies more requests that would soon have been completed anyway.
  double freeShare = 0.25;
  // A compaction pass copies all live records, so it must free at least this share of their size, and at
  // least two segments. Without this bound, a journal with a large `freeShare` wrote twelve bytes per
  // accepted byte.
  double minGainShare = 0.125;
  // Bounds for the bytes rewritten in one compaction step.
  std::size_t maxStepBytes = std::size_t{256} * 1024;
  std::size_t minStepBytes = std::size_t{16} * 1024;
  // Longest duration of a compaction step, in ms. Needed where the process has only a fraction of a core:
  // there a limit in bytes does not bound the time.
  double maxStepMs = 0.5;
  // Safety factor on the pace at which a compaction pass would finish just in time, since the load may grow
  // while the pass runs.
  double paceFactor = 2;
  // After a disk failure, new requests are rejected and compaction pauses for this time, in ms, because each
  // retry is a call into a failing file system. Records of pending requests are still attempted. A longer
  // pause delays the return to service.
  double faultPauseMs = 250;
  // Quarantined bytes take at most 1/quarantinePerDisk of the disk budget and at most this number of files.
  // The oldest files are deleted first.
  std::size_t quarantinePerDisk = 32;
  std::size_t maxQuarantinedFiles = 16;
  // With more segments than this, compaction runs however much space is free, since each restart adds a
  // segment.
  std::size_t maxSegments = 96;
  // The segment size is 1/segmentsPerDisk of the disk budget, within the bounds below. Smaller segments free
  // space in smaller steps, but each one costs a header and up to one unused block.
  std::size_t segmentsPerDisk = 16;
  std::size_t minSegmentBytes = 4096;
  std::size_t maxSegmentBytes = std::size_t{8} * 1024 * 1024;
};

// How the disk budget of the folder is used. Sizes are in bytes.
struct DiskUsage {
  std::size_t disk = 0;                         // the disk budget
  std::size_t used = 0;                         // by all files, in whole blocks
  std::size_t live = 0;                         // sum of the newest complete records of all pending requests
  std::size_t reserved = 0;                     // for further records of pending requests
  std::size_t largestLive = 0;                  // upper bound of the live bytes in any one segment
  std::size_t segmentBytes = 0;                 // size from which on a new segment is begun
  std::size_t segments = 0;                     // number of segments, including the active one
  std::size_t headBytes = kSegmentHeaderBytes;  // size of the header, names and clock of a segment
  std::size_t oldestLive = 0;                   // live bytes in the oldest segment
  std::size_t appendedSinceStep = 0;            // bytes appended since the last compaction step
};

class JournalPlanner {
 public:
  explicit JournalPlanner(const JournalTuning& tuning = {}) : tuning_(tuning) {}

  const JournalTuning& tuning() const { return tuning_; }
  // Returns the segment size to use if the options do not set one.
  std::size_t segmentBytes(std::size_t disk) const;
  // Returns the limit for all quarantined files together.
  std::size_t quarantineBytes(std::size_t disk) const { return disk / tuning_.quarantinePerDisk; }

  // Returns whether a request with a record of `bytes` can be accepted.
  bool admits(const DiskUsage& usage, std::size_t bytes) const;
  // Returns whether a record without reserved space can be written. `growth` is the number of bytes by which
  // the request's complete record grows.
  bool permits(const DiskUsage& usage, std::size_t bytes, std::size_t growth) const;
  // Returns whether `bytes` fit into the disk budget at all. This limit applies to records with reserved
  // space and to compaction.
  bool fits(const DiskUsage& usage, std::size_t bytes) const;
  // Returns how many bytes to rewrite in the next compaction step; 0 if no compaction is needed.
  std::size_t stepBytes(const DiskUsage& usage) const;
  // Returns the space that is neither used nor needed for reserves and for rewriting a segment; at least 0.
  std::size_t free(const DiskUsage& usage) const;

 private:
  // Returns the largest disk space that `bytes` of records can take when they are distributed over segments.
  static std::size_t worstCaseDiskBytes(std::size_t bytes, const DiskUsage& usage);

  JournalTuning tuning_;
};

}  // namespace myrtleloft
