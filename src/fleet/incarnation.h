// Incarnation of this relay: the identifier and the run number that the file `incarnation` in the state
// folder keeps.
//
//   const StoredIncarnation mine = nextIncarnation({files, journal}, folder, salt);
//
// The new file is written beside the old one, synced and renamed before the incarnation is used. No two runs
// with one folder therefore have the same incarnation, even after a power loss. If the file is missing or
// damaged, `salt` becomes the identifier of a new series of runs. If the disk cannot store the file, the
// process uses an identifier of its own: to the others it is a relay that lost its folder, which is the safe
// case. The file takes one block of `disk_mb` from the journal's share, and two while it is replaced.
#pragma once

#include <string>

#include "fleet/message.h"
#include "journal/disk_budget.h"
#include "journal/files.h"

namespace myrtleloft {

inline constexpr const char* kIncarnationName = "incarnation";

struct StoredIncarnation {
  Incarnation incarnation;
  std::string damage;  // why the existing file is not usable; empty if it is, or if there was none
  std::string fault;   // why the new incarnation was not stored; empty if it was
};

struct IncarnationParts {
  Files& files;
  DiskBudget& disk;
};

// Must be called once for each start, with the folder locked and its files counted. `salt` is random and not
// 0. Blocks on the disk.
StoredIncarnation nextIncarnation(const IncarnationParts& parts, const std::string& folder,
                                  std::uint64_t salt);

}  // namespace myrtleloft
