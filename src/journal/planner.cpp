#include "journal/planner.h"

#include <algorithm>

namespace myrtleloft {

std::size_t JournalPlanner::segmentBytes(std::size_t disk) const {
  return std::clamp(disk / tuning_.segmentsPerDisk, tuning_.minSegmentBytes, tuning_.maxSegmentBytes);
}

std::size_t JournalPlanner::spread(std::size_t bytes, const DiskUsage& usage) {
  // Each segment that is begun costs a header, and up to a block where it ends. Two of them for nothing at
  // all: the active one may be just full, and a restart begins another.
  const std::size_t capacity = usage.segmentBytes - std::min(usage.headBytes, usage.segmentBytes / 2);
  const std::size_t begun = bytes / std::max<std::size_t>(1, capacity) + 2;
  return bytes + begun * (kDiskBlock + usage.headBytes);
}

std::size_t JournalPlanner::free(const DiskUsage& usage) const {
  const std::size_t promised = usage.used + spread(usage.reserved + usage.largestLive, usage);
  return promised < usage.disk ? usage.disk - promised : 0;
}

bool JournalPlanner::admits(const DiskUsage& usage, std::size_t bytes) const {
  const std::size_t cost = bytes + tuning_.perRequestReserve;
  const auto most = static_cast<std::size_t>(static_cast<double>(usage.disk) * tuning_.pendingShare);
  if (usage.live + usage.reserved + cost > most) return false;
  DiskUsage after = usage;
  after.used += roundUpToBlocks(bytes + usage.headBytes);
  after.reserved += tuning_.perRequestReserve;
  // It may go to the segment that has most live records already.
  after.largestLive += bytes;
  return free(after) > 0;
}

bool JournalPlanner::permits(const DiskUsage& usage, std::size_t bytes, std::size_t grows) const {
  DiskUsage after = usage;
  after.used += roundUpToBlocks(bytes + usage.headBytes);
  after.largestLive += grows;
  return free(after) > 0;
}

bool JournalPlanner::fits(const DiskUsage& usage, std::size_t bytes) const {
  return usage.used + bytes <= usage.disk;
}

std::size_t JournalPlanner::stepBytes(const DiskUsage& usage) const {
  if (usage.segments < 2) return 0;
  // Nothing of the oldest is live: it goes at no cost.
  if (usage.oldestLive == 0) return tuning_.minStepBytes;
  const std::size_t left = free(usage);
  const bool tight = static_cast<double>(left) < static_cast<double>(usage.disk) * tuning_.freeShare;
  // What no round could win back: each segment's header, and the rest of its last block.
  const std::size_t fixed = usage.live + usage.segments * (kDiskBlock + usage.headBytes);
  const std::size_t gain = usage.used - std::min(usage.used, fixed);
  // With less to win, a round would copy all that is live for next to nothing.
  const auto least = static_cast<std::size_t>(static_cast<double>(usage.live) * tuning_.minGainShare);
  const bool pays = gain > std::max(2 * usage.segmentBytes, least);
  if (!(tight && pays) && usage.segments <= tuning_.maxSegments) return 0;
  // Before `left` more bytes are appended, a round must have come past all that is live.
  const double pace = tuning_.paceFactor * static_cast<double>(usage.live + usage.largestLive) /
                      static_cast<double>(std::max<std::size_t>(left, usage.segmentBytes / 4 + 1));
  const double wanted = pace * static_cast<double>(usage.appendedSinceStep);
  return static_cast<std::size_t>(std::clamp(wanted, static_cast<double>(tuning_.minStepBytes),
                                             static_cast<double>(tuning_.maxStepBytes)));
}

}  // namespace myrtleloft
