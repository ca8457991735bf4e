// Options and statistics of the journal. Plain values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "journal/planner.h"
#include "journal/records.h"

namespace myrtleloft {

struct JournalOptions {
  std::string folder;
  std::size_t diskBytes = 0;     // limit for all files in the folder, counted in blocks of 512 bytes
  std::size_t segmentBytes = 0;  // 0: the planner chooses the size
  JournalTuning tuning;
  std::string owner;  // describes this process in the error message of a process that finds the folder locked
  std::uint64_t salt = 0;  // random number; not used if the folder already has a salt
  // The names of the classes, tenants and zones to which the records of this process refer by index. Each
  // segment begins with these names, and the indexes in recovered requests are replaced by those of the same
  // names in this table. If it is empty, indexes are not replaced, as the tools require.
  NameTable names{};

  std::string path(const std::string& name) const { return folder + "/" + name; }
};

// Counters since the start of the process.
struct JournalStatistics {
  std::uint64_t faults = 0;           // failed file operations
  std::uint64_t deletedSegments = 0;  // segments deleted after their live records were rewritten
  std::uint64_t compactSteps = 0;
  std::uint64_t acceptedBytes = 0;   // bytes of the records of accepted requests
  std::uint64_t writtenBytes = 0;    // bytes of all records and of the segments' starts
  std::uint64_t rewrittenBytes = 0;  // bytes of records rewritten by compaction
};

}  // namespace myrtleloft
