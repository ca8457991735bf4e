// Compacts the journal in bounded steps: the live records of the oldest segment are rewritten at the end of
// the log, and then the segment is deleted.
//
// After a failed fdatasync the contents of the files that it was meant to cover are uncertain, so every live
// record has to be rewritten, in two phases. The records in the uncertain files come first, because earlier
// compaction may have moved records there from older segments, and those segments must be kept until the
// records are durable again. The other live records follow, from the oldest segment on; each segment is
// deleted once a sync has covered its rewritten records, which frees space for the next one.
//
//   if (compaction.wanted()) ok = compaction.step();
//
// If recovery finds both the original and the rewritten record of a request, it uses the later one. A segment
// is deleted only when its rewritten records are as durable as the durability level requires.
// Not thread-safe. A step rewrites at most as many bytes, and takes at most as many milliseconds, as the
// planner allows, regardless of the number of pending requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "journal/group_commit.h"
#include "journal/journal_options.h"
#include "journal/live_records.h"
#include "journal/planner.h"
#include "journal/segment_writer.h"
#include "net/clock.h"

namespace myrtleloft {

class Compaction {
 public:
  // The referenced objects must outlive the Compaction.
  struct Parts {
    const Clock& clock;
    const JournalPlanner& planner;
    const GroupCommit& commit;
    LiveRecords& records;
    SegmentWriter& writer;
    JournalStatistics& statistics;
  };

  explicit Compaction(const Parts& parts) : parts_(parts) {}

  // Returns whether there is anything to compact.
  bool wanted() const;
  // Returns false if an operation on the disk failed.
  bool step();

  // To be called after a failed sync. All live records in the segments written so far are then uncertain and
  // have to be rewritten.
  void markAllUncertain();
  // Returns whether there are still live records in uncertain segments. Resets the state once there are none.
  bool refreshUncertain();
  // Returns the result of the latest `refreshUncertain`. No request may be accepted while it is true.
  bool hasUncertain() const { return uncertainUpTo_ != 0; }
  // Once the durable position has reached this position, no record written before it is uncertain because of
  // an earlier failed sync.
  std::uint64_t certainFrom() const { return certainFrom_; }

 private:
  struct Rewritten {
    std::uint32_t entry = LiveRecords::kNone;
    std::size_t bytes = 0;
  };

  // Returns the segment to rewrite next. There must be an uncertain segment with live records.
  LiveRecords::Segment& nextUncertain();
  // To be called when the live records of the uncertain segments have been rewritten. The older segments from
  // which these records had been moved can then be deleted after the next successful sync.
  void releaseUncertain();
  // Deletes the oldest segments that are no longer needed. Returns false if the disk operation failed.
  bool deleteRewritten();
  // Rewrites the first live requests of the segment, up to `maxBytes`. Returns false if the write failed.
  bool rewrite(LiveRecords::Segment& segment, std::size_t maxBytes);
  // Encodes live requests from the entry `first` on into `frames_`, as frames of the newest segment.
  std::vector<Rewritten> encodeLive(std::uint32_t first, std::size_t maxBytes);
  // Restores the request's full reserve if there is space for it: a rewritten request is one complete record
  // again, which includes what its attempt records had taken from the reserve.
  void refillReserve(std::uint32_t entry);

  Parts parts_;
  // Sequence numbers of the oldest and the newest segment that a failed sync was meant to cover. If
  // uncertainUpTo_ is 0, no segment is uncertain.
  std::uint64_t uncertainFrom_ = 0;
  std::uint64_t uncertainUpTo_ = 0;
  std::uint64_t certainFrom_ = 0;
  std::string frames_;
};

}  // namespace myrtleloft
