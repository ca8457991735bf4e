#include "journal/live_records.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

LiveRecords::Segment* LiveRecords::find(std::uint64_t sequence) {
  const auto at = std::lower_bound(
      segments_.begin(), segments_.end(), sequence,
      [](const Segment& segment, std::uint64_t wanted) { return segment.sequence < wanted; });
  return at != segments_.end() && at->sequence == sequence ? &*at : nullptr;
}

LiveRecords::Segment* LiveRecords::firstLive(std::uint64_t from, std::uint64_t to) {
  for (Segment& segment : segments_)
    if (segment.sequence >= from && segment.sequence <= to && segment.hasLive()) return &segment;
  return nullptr;
}

LiveRecords::Segment& LiveRecords::addSegment(std::uint64_t sequence, std::size_t bytes,
                                              std::size_t fileBytes) {
  Segment& segment = segments_.emplace_back();
  segment.sequence = sequence;
  segment.bytes = bytes;
  segment.fileBytes = fileBytes;
  return segment;
}

std::uint32_t LiveRecords::add(PendingRequest* request, std::size_t reserve) {
  std::uint32_t entry = freeEntry_;
  if (entry == kNone) {
    entries_.emplace_back();
    entry = static_cast<std::uint32_t>(entries_.size() - 1);
  } else {
    freeEntry_ = std::exchange(entries_[entry].next, kNone);
  }
  entries_[entry].request = request;
  setReserve(entry, reserve);
  return entry;
}

void LiveRecords::place(std::uint32_t entry, Segment& segment, std::size_t bytes) {
  setLive(entry, 0);
  unlink(entry);
  Entry& placed = entries_[entry];
  placed.segment = segment.sequence;
  placed.previous = segment.lastEntry;
  placed.next = kNone;
  (segment.lastEntry == kNone ? segment.firstEntry : entries_[segment.lastEntry].next) = entry;
  segment.lastEntry = entry;
  setLive(entry, bytes);
}

void LiveRecords::setLive(std::uint32_t entry, std::size_t bytes) {
  Entry& changed = entries_[entry];
  Segment* segment = find(changed.segment);
  if (!segment) return;
  segment->live += bytes - changed.live;
  live_ += bytes - changed.live;
  changed.live = static_cast<std::uint32_t>(bytes);
  largestLive_ = std::max(largestLive_, segment->live);
}

void LiveRecords::setReserve(std::uint32_t entry, std::size_t bytes) {
  Entry& changed = entries_[entry];
  reserved_ += bytes - changed.reserve;
  changed.reserve = static_cast<std::uint32_t>(bytes);
}

void LiveRecords::remove(std::uint32_t entry) {
  setLive(entry, 0);
  unlink(entry);
  setReserve(entry, 0);
  entries_[entry] = Entry();
  entries_[entry].next = std::exchange(freeEntry_, entry);
}

void LiveRecords::measureLargestLive() {
  largestLive_ = 0;
  for (const Segment& segment : segments_) largestLive_ = std::max(largestLive_, segment.live);
}

void LiveRecords::unlink(std::uint32_t entry) {
  Entry& removed = entries_[entry];
  Segment* segment = find(removed.segment);
  if (!segment) return;
  (removed.previous == kNone ? segment->firstEntry : entries_[removed.previous].next) = removed.next;
  (removed.next == kNone ? segment->lastEntry : entries_[removed.next].previous) = removed.previous;
  removed.previous = kNone;
  removed.next = kNone;
  removed.segment = 0;
}

}  // namespace myrtleloft
