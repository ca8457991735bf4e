// The journal's segments, and in which of them the newest complete record of each pending request stands.
//
//   LiveRecords records;
//   records.addSegment(1, bytes, bytes);
//   const std::uint32_t entry = records.add(&request, reserve);
//   records.place(entry, records.newest(), recordBytes);
//   for (entry = records.oldest().firstEntry; entry != kNone; entry = records[entry].next) ...
//
// A segment's entries are a list linked by index, so that compaction finds them without looking at any other.
// Invariants: the segments are in the order of their sequence numbers, the newest last; an entry is in the
// list of the segment that it names, or in none (`segment` 0); `live()` is the sum of the segments' `live`,
// and `largestLive()` is at least the largest of them. One thread; O(1) but for `find` (log segments) and
// `measureLargestLive` (segments).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "journal/records.h"

namespace myrtleloft {

class LiveRecords {
 public:
  static constexpr std::uint32_t kNone = PendingRequest::kNoEntry;

  struct Segment {
    std::uint64_t sequence = 0;
    std::size_t bytes = 0;          // up to the end of the last complete record
    std::size_t fileBytes = 0;      // more, where half a record could not be cut off
    std::size_t live = 0;           // bytes of the newest complete records that stand in it
    std::uint64_t beganAt = 0;      // the position of the log at which it began
    std::uint64_t rewrittenAt = 0;  // from this position of the log on, nothing of it is needed any more
    std::uint32_t firstEntry = kNone;
    std::uint32_t lastEntry = kNone;

    bool hasLive() const { return firstEntry != kNone; }
  };

  struct Entry {
    PendingRequest* request = nullptr;
    std::uint64_t segment = 0;  // 0: stands in none
    std::uint32_t live = 0;     // bytes of the request's newest complete record
    std::uint32_t reserve = 0;  // bytes that the request may still append
    std::uint32_t previous = kNone;
    std::uint32_t next = kNone;
  };

  bool empty() const { return segments_.empty(); }
  std::size_t size() const { return segments_.size(); }
  Segment& oldest() { return segments_.front(); }
  const Segment& oldest() const { return segments_.front(); }
  Segment& newest() { return segments_.back(); }
  const Segment& newest() const { return segments_.back(); }
  // Null: there is none of that number.
  Segment* find(std::uint64_t sequence);
  // The oldest segment with live records among those from one number to another, both included; null: there
  // is none.
  Segment* firstLive(std::uint64_t from, std::uint64_t to);
  std::deque<Segment>& segments() { return segments_; }
  Segment& addSegment(std::uint64_t sequence, std::size_t bytes, std::size_t fileBytes);
  // It has no entries any more.
  void dropOldest() { segments_.pop_front(); }

  const Entry& operator[](std::uint32_t entry) const { return entries_[entry]; }
  // A new entry that stands in no segment yet; its number stays valid until `remove`.
  std::uint32_t add(PendingRequest* request, std::size_t reserve);
  void attach(std::uint32_t entry, PendingRequest* request) { entries_[entry].request = request; }
  // The request's newest complete record of `bytes` stands in that segment now, and no longer elsewhere.
  void place(std::uint32_t entry, Segment& segment, std::size_t bytes);
  // The size of the request's complete record has changed, as it would be written now.
  void setLive(std::uint32_t entry, std::size_t bytes);
  void setReserve(std::uint32_t entry, std::size_t bytes);
  void remove(std::uint32_t entry);

  std::size_t live() const { return live_; }
  std::size_t reserved() const { return reserved_; }
  std::size_t largestLive() const { return largestLive_; }
  // Makes `largestLive` exact.
  void measureLargestLive();

 private:
  void unlink(std::uint32_t entry);

  std::deque<Segment> segments_;
  std::deque<Entry> entries_;
  std::uint32_t freeEntry_ = kNone;  // removed entries, linked by `next`
  std::size_t live_ = 0;
  std::size_t reserved_ = 0;
  std::size_t largestLive_ = 0;
};

}  // namespace myrtleloft
