// Opens a journal's folder: what was read becomes the journal's state, a file of version 1 is taken over,
// damaged bytes are quarantined, and a segment is begun.
//
//   auto found = JournalOpening(parts, options).run();
//   if (!found) ... found.error().message ...
//
// Until a request's newest record stands where a later start finds it, nothing that has an older one is
// removed. One thread, used once; O(bytes of the folder).
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
  // All of them outlive it.
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
  // Takes what was read as the state of the folder.
  void adopt(Recovered& found);
  void adoptOtherFiles(const Recovered& found);
  void adoptSegments(const Recovered& found);
  void adoptRequests(Recovered& found);
  // Writes the requests of a version 1 file into a segment of their own.
  Failure convertVersionOne(Recovered& found);
  void removeVersionOne(const Recovered& found);
  // Writes the requests of which only the name is left, which stand in no record yet.
  void writeRequestsWithoutBody(Recovered& found);
  static std::size_t recordBytes(const PendingRequest& request);

  Parts parts_;
  Quarantine quarantine_;
};

}  // namespace myrtleloft
