// Compaction in bounded steps: what is still live in the oldest segment is written anew at the end of the
// log, and the segment is removed.
//
// After a failed sync of the disk, what the files that it was to cover hold is uncertain, and all that is
// live is written anew, in two parts. First what stands in those files: it is where earlier compaction moved
// records from segments that must not go before these are safe again. Then the rest, from the oldest segment
// on; each goes once a sync has covered what was written anew of it, which makes space for the next.
//
//   if (compaction.wanted()) good = compaction.step();
//
// What stood of a request in the segment it leaves counts no more: a reading that meets both records takes
// the later one. A segment goes only when what was rewritten from it is as safe as the level asks.
// One thread. A step costs at most the planner's bytes and milliseconds, however much is pending.
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
  // All of them outlive it.
  struct Parts {
    const Clock& clock;
    const JournalPlanner& planner;
    const GroupCommit& commit;
    LiveRecords& records;
    SegmentWriter& writer;
    JournalStatistics& statistics;
  };

  explicit Compaction(const Parts& parts) : parts_(parts) {}

  bool wanted() const;
  // false: the disk refused.
  bool step();

  // A sync failed: all that is live in the segments written so far has to be written anew.
  void markAllUncertain();
  // Whether that is still so; clears it where nothing of them is live any more.
  bool refreshUncertain();
  // The same as last looked at: nothing new may be accepted meanwhile.
  bool hasUncertain() const { return uncertainUpTo_ != 0; }
  // From which durable position on what was written before is no longer in doubt for an earlier failed sync.
  std::uint64_t certainFrom() const { return trustedFrom_; }

 private:
  struct Rewritten {
    std::uint32_t entry = LiveRecords::kNone;
    std::size_t bytes = 0;
  };

  // The segment to rewrite next while there are uncertain ones.
  LiveRecords::Segment& nextUncertain();
  // What stands in the uncertain segments has been written anew, so that where it came from waits for the
  // next sync alone.
  void releaseUncertain();
  // Removes the oldest segments as far as nothing of them is needed any more. false: the disk refused.
  bool deleteRewritten();
  // Rewrites the segment's first live requests, `most` bytes of them.
  bool rewrite(LiveRecords::Segment& segment, std::size_t most);
  // Encodes them for the newest segment, into `frames_`.
  std::vector<Rewritten> encodeLive(std::uint32_t first, std::size_t most);
  // All of a request stands in one record again: what its attempts used up of the reserve is given back.
  void refillReserve(std::uint32_t entry);

  Parts parts_;
  // The oldest and the newest segment that a failed sync was to cover; uncertainUpTo_ 0: none.
  std::uint64_t uncertainFrom_ = 0;
  std::uint64_t uncertainUpTo_ = 0;
  std::uint64_t trustedFrom_ = 0;
  std::string frames_;
};

}  // namespace myrtleloft
