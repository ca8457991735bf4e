// Saves damaged bytes of the journal to files `damaged-...` in its folder, for later inspection.
//
//   Quarantine quarantine(files, options, planner, writer, faults, log);
//   quarantine.read(found);       // before anything is deleted from the folder
//   quarantine.store(found);      // as soon as the journal is writable
//
// The planner limits the total size and the number of these files; the oldest are deleted first. At most half
// of the total size is stored for one damaged part. Not thread-safe; each function can be called once. Cost:
// O(bytes of the damaged files).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "journal/disk_faults.h"
#include "journal/files.h"
#include "journal/journal_options.h"
#include "journal/planner.h"
#include "journal/recovery.h"
#include "journal/segment_writer.h"
#include "log/log.h"

namespace myrtleloft {

class Quarantine {
 public:
  // The referenced objects must outlive the Quarantine.
  struct Parts {
    Files& files;
    const JournalOptions& options;
    const JournalPlanner& planner;
    SegmentWriter& writer;
    DiskFaults& faults;
    const Log& log;
  };

  explicit Quarantine(const Parts& parts);

  // Reads the damaged bytes listed in `found`, as far as the limits allow storing them.
  void read(const Recovered& found);
  // Writes the bytes that `read` returned to files, except those that an earlier start has already stored.
  void store(const Recovered& found);

 private:
  struct CorruptBytes {
    std::string name;
    std::string bytes;
  };

  // Deletes the oldest files until `bytes` more fit. Returns false if they do not fit.
  bool makeSpace(std::size_t bytes);
  // Returns false if the file could not be created or written.
  bool write(const CorruptBytes& corrupt);

  Parts parts_;
  std::size_t maxBytes_;  // limit for all quarantined files, in whole blocks
  std::vector<CorruptBytes> corrupt_;
  std::vector<FileInfo> stored_;
  std::size_t storedBytes_ = 0;  // in whole blocks
};

}  // namespace myrtleloft
