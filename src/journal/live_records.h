// Tracks the journal's segments, and which of them has the newest complete record of each pending request
// (its live record).
//
//   LiveRecords records;
//   records.addSegment(1, bytes, bytes);
//   const std::uint32_t entry = records.add(&request, reserve);
//   records.place(entry, records.newest(), recordBytes);
//   for (entry = records.oldest().firstEntry; entry != kNone; entry = records[entry].next) ...
//
// The entries of a segment form a list linked by index, so that compaction can walk them without visiting
// others. Invariants: the segments are sorted by sequence number, the newest last; an entry is in the list of
// its `segment`, or in no list if that is 0; `live()` is the sum of the segments' `live`, and `largestLive()`
// is an upper bound of the largest of them. Not thread-safe. Cost: O(1), except for `find`, which is
// logarithmic in the number of segments, and `firstLive` and `measureLargestLive`, which are linear in it.
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
    std::size_t bytes = 0;          // length up to the end of the last complete record
    std::size_t fileBytes = 0;      // length on disk; larger if a partial record could not be truncated
    std::size_t live = 0;           // bytes of the live records in it
    std::uint64_t beganAt = 0;      // position of the log at which the segment began
    std::uint64_t rewrittenAt = 0;  // the segment is needed until the log is durable up to this position
    std::uint32_t firstEntry = kNone;
    std::uint32_t lastEntry = kNone;

    bool hasLive() const { return firstEntry != kNone; }
  };

  struct Entry {
    PendingRequest* request = nullptr;
    std::uint64_t segment = 0;  // sequence number; 0 if no segment has a record of it
    std::uint32_t live = 0;     // bytes of the live record
    std::uint32_t reserve = 0;  // bytes reserved for further records of the request
    std::uint32_t previous = kNone;
    std::uint32_t next = kNone;
  };

  bool empty() const { return segments_.empty(); }
  std::size_t size() const { return segments_.size(); }
  Segment& oldest() { return segments_.front(); }
  const Segment& oldest() const { return segments_.front(); }
  Segment& newest() { return segments_.back(); }
  const Segment& newest() const { return segments_.back(); }
  // Returns nullptr if there is no segment of this sequence number.
  Segment* find(std::uint64_t sequence);
  // Returns the oldest segment with live records among the sequence numbers `from` to `to`, both included, or
  // nullptr if there is none.
  Segment* firstLive(std::uint64_t from, std::uint64_t to);
  std::deque<Segment>& segments() { return segments_; }
  Segment& addSegment(std::uint64_t sequence, std::size_t bytes, std::size_t fileBytes);
  // The oldest segment must not have any live records.
  void dropOldest() { segments_.pop_front(); }

  const Entry& operator[](std::uint32_t entry) const { return entries_[entry]; }
  // Adds an entry that belongs to no segment yet, and returns its index, which is valid until `remove`.
  std::uint32_t add(PendingRequest* request, std::size_t reserve);
  void attach(std::uint32_t entry, PendingRequest* request) { entries_[entry].request = request; }
  // Sets the segment and the size of the request's live record. A previous live record is live no longer.
  void place(std::uint32_t entry, Segment& segment, std::size_t bytes);
  // Sets the size that the request's complete record would have if it was written now.
  void setLive(std::uint32_t entry, std::size_t bytes);
  void setReserve(std::uint32_t entry, std::size_t bytes);
  void remove(std::uint32_t entry);

  std::size_t live() const { return live_; }
  std::size_t reserved() const { return reserved_; }
  std::size_t largestLive() const { return largestLive_; }
  // Recomputes `largestLive` exactly.
  void measureLargestLive();

 private:
  void unlink(std::uint32_t entry);

  std::deque<Segment> segments_;
  std::deque<Entry> entries_;
  std::uint32_t freeEntry_ = kNone;  // head of the list of removed entries, linked by `next`
  std::size_t live_ = 0;
  std::size_t reserved_ = 0;
  std::size_t largestLive_ = 0;
};

}  // namespace myrtleloft
