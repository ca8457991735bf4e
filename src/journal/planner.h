// Decides when the journal compacts, how much of it at once, and what it still accepts. Without I/O, time or
// state of its own: each answer follows from the figures that it is given.
//
//   const JournalPlanner planner(tuning);
//   if (!planner.admits(usage, recordBytes)) ...        // reject the request
//   const std::size_t bytes = planner.stepBytes(usage); // to rewrite in this step; 0: nothing to do
//
// Compaction goes from the oldest segment on, and never out of order (as in the log-structured file system of
// Rosenblum and Ousterhout, 1992, with its cleaner reduced to a queue): a completion then never outlives the
// acceptance that it takes back, and no tombstones need to be rewritten. Requests are pending for seconds, so
// the oldest segment is nearly always nearly empty.
//
// What it promises: with `admits` asked before each request is accepted and `permits` before each record
// beyond a request's reserve, all that is pending can be completed without any compaction, and one segment
// can always be rewritten. `tests/journal/planner_test.cpp` plays that against random loads.
//
// Safe for several threads; all methods O(1).
#pragma once

#include <cstddef>

#include "journal/segment.h"

namespace myrtleloft {

constexpr std::size_t kDiskBlock = 512;  // what the platform counts files in

constexpr std::size_t roundUpToBlocks(std::size_t bytes) {
  return (bytes + kDiskBlock - 1) / kDiskBlock * kDiskBlock;
}

// Sizes are in bytes.
struct JournalTuning {
  // Of the disk, what pending requests may come to with their reserves. More leaves less for what is
  // completed but not yet compacted, and so makes rounds more frequent; docs/bench/journal.md has what is
  // written at 0.5.
  double pendingShare = 0.55;
  // What the further records of a request may come to, reserved for it from the start: four attempts with
  // their withdrawals, a final status and a completion. Smaller accepts more, and stops attempts earlier when
  // full.
  std::size_t perRequestReserve = 512;
  // Of it, what only the final status and the completion may use: a request that has used up its attempts'
  // part can always still be completed.
  std::size_t completionReserve = 160;
  // Compaction runs while less than this share of the disk is free. More compacts earlier, and so copies more
  // requests that would have been completed by themselves.
  double freeShare = 0.25;
  // A round must win back at least this part of what is live, and two segments: it copies all that is live.
  // Without it, a journal set to leave much free wrote twelve bytes for each one accepted.
  double minGainShare = 0.125;
  // Bounds of a step of compaction.
  std::size_t maxStepBytes = std::size_t{256} * 1024;
  std::size_t minStepBytes = std::size_t{16} * 1024;
  // And so long at most, in ms: on a machine that gives the process a part of a core, bytes alone bound
  // nothing.
  double maxStepMs = 0.5;
  // How much faster than just in time a round must go, since the load may grow while it lasts.
  double paceFactor = 2;
  // After a failure of the disk, new requests are rejected and compaction pauses for so long, in ms: each try
  // costs calls into a file system that is failing. What is pending goes on trying. Longer comes back later.
  double faultPauseMs = 250;
  // Damaged bytes are quarantined in this part of the disk at most, and in so many files; the oldest go.
  std::size_t quarantinePerDisk = 32;
  std::size_t maxQuarantinedFiles = 16;
  // More segments than this are rewritten whatever is free: each restart adds one.
  std::size_t maxSegments = 96;
  // A segment is this part of the disk, between the least and the most. Smaller ones free space in smaller
  // steps, but each costs up to a block and a header.
  std::size_t segmentsPerDisk = 16;
  std::size_t minSegmentBytes = 4096;
  std::size_t maxSegmentBytes = std::size_t{8} * 1024 * 1024;
};

// How the folder's limit is used, in bytes.
struct DiskUsage {
  std::size_t disk = 0;                         // the limit
  std::size_t used = 0;                         // all files, in blocks
  std::size_t live = 0;                         // the newest complete record of each pending request
  std::size_t reserved = 0;                     // what pending requests may still append
  std::size_t largestLive = 0;                  // at least the largest sum of live records of any one segment
  std::size_t segmentBytes = 0;                 // size at which a segment is sealed
  std::size_t segments = 0;                     // their number, with the one that is written
  std::size_t headBytes = kSegmentHeaderBytes;  // what each segment begins with
  std::size_t oldestLive = 0;                   // live bytes of the oldest segment
  std::size_t appendedSinceStep = 0;            // appended since the last step
};

class JournalPlanner {
 public:
  explicit JournalPlanner(const JournalTuning& tuning = {}) : tuning_(tuning) {}

  const JournalTuning& tuning() const { return tuning_; }
  // The size of a segment, where the operator names none.
  std::size_t segmentBytes(std::size_t disk) const;
  // What all quarantined bytes may take.
  std::size_t quarantineBytes(std::size_t disk) const { return disk / tuning_.quarantinePerDisk; }

  // Whether a request whose record takes `bytes` may be accepted.
  bool admits(const DiskUsage& usage, std::size_t bytes) const;
  // Whether a record for which nothing is reserved may be written. `grows`: by how much the request's
  // complete record grows with it.
  bool permits(const DiskUsage& usage, std::size_t bytes, std::size_t grows) const;
  // Whether `bytes` fit at all: the limit itself, for records that have their reserve and for compaction.
  bool fits(const DiskUsage& usage, std::size_t bytes) const;
  // How many bytes to rewrite now; 0: nothing to do.
  std::size_t stepBytes(const DiskUsage& usage) const;
  // What is free beyond all promises; 0 where it is less.
  std::size_t free(const DiskUsage& usage) const;

 private:
  // What so many bytes may take on the disk when they spread over segments.
  static std::size_t spread(std::size_t bytes, const DiskUsage& usage);

  JournalTuning tuning_;
};

}  // namespace myrtleloft
