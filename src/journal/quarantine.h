// Sets damaged bytes of the journal aside, in files `damaged-...` of its folder, for people to look at.
//
//   Quarantine quarantine(files, options, planner, writer, faults, log);
//   quarantine.read(found);       // before anything is removed from the folder
//   quarantine.store(found);      // once the journal can be written
//
// All of them together take the planner's part of the disk and number of files at most; the oldest go. Of one
// damaged part half that is stored at most. One thread, used once; O(bytes of the damaged files).
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
  // All of them outlive it.
  struct Parts {
    Files& files;
    const JournalOptions& options;
    const JournalPlanner& planner;
    SegmentWriter& writer;
    DiskFaults& faults;
    const Log& log;
  };

  explicit Quarantine(const Parts& parts);

  // Reads the damaged bytes that `found` names, as far as they may be stored.
  void read(const Recovered& found);
  // Stores them, but for those that an earlier start has stored.
  void store(const Recovered& found);

 private:
  struct CorruptBytes {
    std::string name;
    std::string bytes;
  };

  // Removes the oldest files until `bytes` more fit. false: they do not.
  bool makeSpace(std::size_t bytes);
  bool write(const CorruptBytes& corrupt);

  Parts parts_;
  std::size_t mostBytes_;  // of all files, in blocks
  std::vector<CorruptBytes> corrupt_;
  std::vector<FileInfo> stored_;
  std::size_t storedBytes_ = 0;  // in blocks
};

}  // namespace myrtleloft
