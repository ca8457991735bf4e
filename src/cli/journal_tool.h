// The commands `journal inspect`, `verify`, `dump` and `compact`, for the journal of a state folder that no
// process is using. They read it with the same recovery as the relay; only `compactJournal` changes it.
// Bodies and idempotency keys are never printed.
#pragma once

#include <ostream>
#include <string>

namespace myrtleloft {

struct JournalToolOptions {
  std::string folder;
  bool json = false;
  double diskMb = 0;  // the disk limit for `compact`; 0 for twice the present size, but at least 1 MB
};

// These functions return an exit code of command_line.h. If another process has locked the folder, they print
// which one to `err`, and return kExitUnavailable.

// Prints each segment, each corrupt part and the totals.
int inspectJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err);
// Prints each corrupt part and what a starting relay would recover. Returns kExitCorrupt if there is a
// corrupt part.
int verifyJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err);
// Prints each record.
int dumpJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err);
// Rewrites the records of pending requests, and deletes all other segments.
int compactJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err);

}  // namespace myrtleloft
