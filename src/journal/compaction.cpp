#include "journal/compaction.h"

#include <algorithm>
#include <deque>
#include <limits>

#include "journal/records.h"
#include "journal/segment.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kMaxDeletedSegments = 4;  // in one step
constexpr std::size_t kRecordsPerClockCheck = 16;
// Value of LiveRecords::Segment::rewrittenAt for a segment whose records were rewritten to uncertain
// segments.
constexpr std::uint64_t kUncertain = std::numeric_limits<std::uint64_t>::max();

}  // namespace

bool Compaction::wanted() const {
  return hasUncertain() || parts_.planner.stepBytes(parts_.writer.usage()) > 0;
}

bool Compaction::step() {
  std::size_t maxBytes = parts_.planner.tuning().maxStepBytes;
  LiveRecords::Segment* source = nullptr;
  if (refreshUncertain()) {
    source = &nextUncertain();
  } else {
    maxBytes = parts_.planner.stepBytes(parts_.writer.usage());
    if (maxBytes == 0) return true;
    parts_.writer.restartStepCount();
    if (parts_.records.oldest().hasLive()) source = &parts_.records.oldest();
  }
  ++parts_.statistics.compactSteps;
  const bool rewritten = source == nullptr || rewrite(*source, maxBytes);
  // Also done if the rewrite failed for lack of space, because deleting segments frees some.
  const bool deleted = deleteRewritten();
  parts_.records.measureLargestLive();
  return rewritten && deleted;
}

bool Compaction::deleteRewritten() {
  LiveRecords& records = parts_.records;
  for (std::size_t i = 0; i < kMaxDeletedSegments; ++i) {
    if (records.size() < 2 || records.oldest().hasLive()) return true;
    // The rewritten records must be durable before the original ones are deleted.
    if (records.oldest().rewrittenAt > parts_.commit.durable()) return true;
    if (!parts_.writer.deleteOldest()) return false;
  }
  return true;
}

void Compaction::markAllUncertain() {
  // After a failed fdatasync the kernel may mark the pages as clean, so that another fdatasync would report
  // success for bytes that never reached the disk. It is not known which requests had a record among them, so
  // all pending requests are rewritten, to another file.
  const std::uint64_t durable = parts_.commit.durable();
  std::uint64_t endsAt = parts_.commit.position();
  std::uint64_t from = parts_.records.newest().sequence;
  std::deque<LiveRecords::Segment>& segments = parts_.records.segments();
  const auto distrust = [&](LiveRecords::Segment& segment) {
    if (endsAt > durable) from = segment.sequence;
    endsAt = segment.beganAt;
    if (segment.rewrittenAt > durable) segment.rewrittenAt = kUncertain;
  };
  std::for_each(segments.rbegin(), segments.rend(), distrust);
  // Segments that an earlier failed sync left uncertain may not have been rewritten yet.
  uncertainFrom_ = hasUncertain() ? std::min(uncertainFrom_, from) : from;
  uncertainUpTo_ = parts_.records.newest().sequence;
  parts_.writer.abandonSegment();
}

bool Compaction::refreshUncertain() {
  if (uncertainUpTo_ == 0 || parts_.records.firstLive(0, uncertainUpTo_) != nullptr) return hasUncertain();
  releaseUncertain();
  uncertainUpTo_ = 0;
  certainFrom_ = parts_.commit.position();
  return false;
}

LiveRecords::Segment& Compaction::nextUncertain() {
  LiveRecords::Segment* const unsynced = parts_.records.firstLive(uncertainFrom_, uncertainUpTo_);
  if (unsynced != nullptr) return *unsynced;
  releaseUncertain();
  return *parts_.records.firstLive(0, uncertainUpTo_);
}

void Compaction::releaseUncertain() {
  for (LiveRecords::Segment& segment : parts_.records.segments())
    if (segment.rewrittenAt == kUncertain) segment.rewrittenAt = parts_.commit.position();
}

bool Compaction::rewrite(LiveRecords::Segment& segment, std::size_t maxBytes) {
  const std::uint64_t sequence = segment.sequence;
  const std::uint32_t first = segment.firstEntry;
  LiveRecords& records = parts_.records;
  if (!parts_.writer.ready(records[first].live)) return false;
  if (records.newest().sequence == sequence) return true;
  const std::vector<Rewritten> rewritten = encodeLive(first, maxBytes);
  if (!parts_.writer.appendFrames(frames_)) return false;
  parts_.statistics.rewrittenBytes += frames_.size();
  std::uint64_t& rewrittenAt = records.find(sequence)->rewrittenAt;
  rewrittenAt = std::max(rewrittenAt, parts_.commit.position());  // keeps kUncertain, the largest value
  for (const Rewritten& each : rewritten) {
    records.place(each.entry, records.newest(), each.bytes);
    records[each.entry].request->recordedAsAmbiguous = false;
    refillReserve(each.entry);
  }
  return true;
}

std::vector<Compaction::Rewritten> Compaction::encodeLive(std::uint32_t first, std::size_t maxBytes) {
  const LiveRecords& records = parts_.records;
  const std::size_t segmentBytes = parts_.writer.usage().segmentBytes;
  const std::size_t left = segmentBytes - std::min(segmentBytes, records.newest().bytes);
  const double stepEndMs = parts_.clock.steadyMs() + parts_.planner.tuning().maxStepMs;
  std::vector<Rewritten> rewritten;
  frames_.clear();
  for (std::uint32_t entry = first; entry != LiveRecords::kNone; entry = records[entry].next) {
    const PendingRequest& request = *records[entry].request;
    const std::size_t bytes = kFrameBytes + encodedSize(request);
    if (!rewritten.empty() && frames_.size() + bytes > std::min(maxBytes, left)) break;
    const bool checksClock = rewritten.size() % kRecordsPerClockCheck == kRecordsPerClockCheck - 1;
    if (checksClock && parts_.clock.steadyMs() > stepEndMs) break;
    const std::size_t frame = openFrame(frames_);
    encode(request, frames_);
    closeFrame(frames_, frame, parts_.writer.salt(), records.newest().sequence);
    rewritten.push_back({entry, bytes});
  }
  return rewritten;
}

void Compaction::refillReserve(std::uint32_t entry) {
  const std::size_t full = parts_.planner.tuning().perRequestReserve;
  const std::size_t reserve = parts_.records[entry].reserve;
  if (reserve >= full) return;
  DiskUsage after = parts_.writer.usage();
  after.reserved += full - reserve;
  if (parts_.planner.free(after) == 0) return;
  parts_.records.setReserve(entry, full);
}

}  // namespace myrtleloft
