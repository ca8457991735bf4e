#include "journal/planner.h"

#include <algorithm>

namespace myrtleloft {

std::size_t JournalPlanner::segmentBytes(std::size_t disk) const {
  return std::clamp(disk / tuning_.segmentsPerDisk, tuning_.minSegmentBytes, tuning_.maxSegmentBytes);
}

std::size_t JournalPlanner::worstCaseDiskBytes(std::size_t bytes, const DiskUsage& usage) {
  // Each new segment costs a header, and up to one block for its partly filled end. Two are added in any
  // case: the active segment may be full, and a restart begins another one.
  const std::size_t capacity = usage.segmentBytes - std::min(usage.headBytes, usage.segmentBytes / 2);
  const std::size_t begun = bytes / std::max<std::size_t>(1, capacity) + 2;
  return bytes + begun * (kDiskBlock + usage.headBytes);
}

std::size_t JournalPlanner::free(const DiskUsage& usage) const {
  const std::size_t promised = usage.used + worstCaseDiskBytes(usage.reserved + usage.largestLive, usage);
  return promised < usage.disk ? usage.disk - promised : 0;
}

bool JournalPlanner::admits(const DiskUsage& usage, std::size_t bytes) const {
  const std::size_t cost = bytes + tuning_.perRequestReserve;
  const auto maxPending = static_cast<std::size_t>(static_cast<double>(usage.disk) * tuning_.pendingShare);
  if (usage.live + usage.reserved + cost > maxPending) return false;
  DiskUsage after = usage;
  after.used += roundUpToBlocks(bytes + usage.headBytes);
  after.reserved += tuning_.perRequestReserve;
  // In the worst case the record goes to the segment with the most live bytes.
  after.largestLive += bytes;
  return free(after) > 0;
}

bool JournalPlanner::permits(const DiskUsage& usage, std::size_t bytes, std::size_t growth) const {
  DiskUsage after = usage;
  after.used += roundUpToBlocks(bytes + usage.headBytes);
  after.largestLive += growth;
  return free(after) > 0;
}

bool JournalPlanner::fits(const DiskUsage& usage, std::size_t bytes) const {
  return usage.used + bytes <= usage.disk;
}

std::size_t JournalPlanner::stepBytes(const DiskUsage& usage) const {
  if (usage.segments < 2) return 0;
  // The oldest segment has no live records, so deleting it requires no rewriting.
  if (usage.oldestLive == 0) return tuning_.minStepBytes;
  const std::size_t freeBytes = free(usage);
  const bool tight = static_cast<double>(freeBytes) < static_cast<double>(usage.disk) * tuning_.freeShare;
  // The space that no compaction pass can free: live records, and for each segment its header and last block.
  const std::size_t fixed = usage.live + usage.segments * (kDiskBlock + usage.headBytes);
  const std::size_t gain = usage.used - std::min(usage.used, fixed);
  // With a smaller gain, a pass would copy all live records and free hardly any space.
  const auto minGain = static_cast<std::size_t>(static_cast<double>(usage.live) * tuning_.minGainShare);
  const bool pays = gain > std::max(2 * usage.segmentBytes, minGain);
  if (!(tight && pays) && usage.segments <= tuning_.maxSegments) return 0;
  // A pass over all live records must be finished before another `freeBytes` bytes are appended.
  const double pace = tuning_.paceFactor * static_cast<double>(usage.live + usage.largestLive) /
                      static_cast<double>(std::max<std::size_t>(freeBytes, usage.segmentBytes / 4 + 1));
  const double wanted = pace * static_cast<double>(usage.appendedSinceStep);
  return static_cast<std::size_t>(std::clamp(wanted, static_cast<double>(tuning_.minStepBytes),
                                             static_cast<double>(tuning_.maxStepBytes)));
}

}  // namespace myrtleloft
