// Which start of which life of a relay this is, kept in the state folder: the file `incarnation`.
//
//   const StoredIncarnation mine = nextIncarnation({files, journal}, folder, salt);
//
// Written anew beside the old file, synced and renamed, before it is used: no two starts with one folder have
// the same one, loss of power included. A folder without the file, or with one that is damaged, begins a new
// life with `salt` as its name. Where the disk refuses to keep it, a life is begun that only this process
// has: to the others that is a relay that lost its folder, which is the safe side. The file has one block of
// `disk_mb` from the journal's share, for a moment two.
#pragma once

#include <string>

#include "fleet/message.h"
#include "journal/disk_budget.h"
#include "journal/files.h"

namespace myrtleloft {

inline constexpr const char* kIncarnationName = "incarnation";

struct StoredIncarnation {
  Incarnation incarnation;
  std::string damage;  // what was wrong with the file that was there; empty: nothing, or there was none
  std::string fault;   // why this one could not be kept; empty: it is
};

struct IncarnationParts {
  Files& files;
  DiskBudget& disk;
};

// Once for each start, with the folder's lock held and what is there counted. `salt`: random, not 0. It waits
// for the disk.
StoredIncarnation nextIncarnation(const IncarnationParts& parts, const std::string& folder,
                                  std::uint64_t salt);

}  // namespace myrtleloft
