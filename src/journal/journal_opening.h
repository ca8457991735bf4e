// Opens a journal's folder: reads it, makes the result the state of the journal, converts a version 1 file,
// quarantines damaged bytes, and begins a new segment.
//
//   auto found = JournalOpening(parts, options).run();
//   if (!found) ... found.error().message ...
//
// No file with an older record of a request is deleted before the newest record is where a later start finds
// it. Not thread-safe; `run` can be called once. Cost: O(bytes in the folder).
#pragma once

#include <memory>

#include "journal/disk_faults.h"
#include "journal/errors.h"
#include "journal/files.h"
#include "journal/journal_clock.h"
#include "journal/journal_options.h"
#include "journal/live_records.h"
#include "journal/planner.h"
#include "journal/quarantine.h"
#include "journal/recovery.h"
#include "journal/result.h"
#include "journal/segment_writer.h"
#include "log/log.h"

namespace myrtleloft {

class JournalOpening {
 public:
  // The referenced objects must outlive the JournalOpening.
  struct Parts {
    Files& files;
    const Log& log;
    const JournalOptions& options;
    const JournalPlanner& planner;
    const JournalClock& clock;
    DiskFaults& faults;
    LiveRecords& records;
    SegmentWriter& writer;
    std::unique_ptr<FolderLock>& lock;
  };

  explicit JournalOpening(const Parts& parts);

  Result<Recovered, JournalError> run();

 private:
  using Failure = std::optional<JournalError>;

  void logCorruptions(const Recovered& found) const;
  // Initializes the journal's state from what was read.
  void adopt(Recovered& found);
  void adoptOtherFiles(const Recovered& found);
  void adoptSegments(const Recovered& found);
  void adoptRequests(Recovered& found);
  // Writes the requests of a version 1 file to a new segment.
  Failure convertVersionOne(Recovered& found);
  void removeVersionOne(const Recovered& found);
  // Writes a record for each request of which only the id could be recovered; no record has them yet.
  void writeRequestsWithoutBody(Recovered& found);
  static std::size_t recordBytes(const PendingRequest& request);

  Parts parts_;
  Quarantine quarantine_;
};

}  // namespace myrtleloft
