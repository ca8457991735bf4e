// How far the journal has written, and how far that is safely stored. At the level `group` one sync of the
// disk, in another thread, covers all records written since the one before; at the level `process`, without a
// syncer, what was written counts as stored.
//
//   commit.wrote(bytes, file);            // after each append
//   commit.submit();                      // once per round of the event loop; starts a sync unless one is
//   running while (auto done = commit.collect()) ...
//
// Invariants: durable() <= position(); at most one sync is running; a file that was written since the last
// submission is in `unsynced_` once, in the order of writing. One thread; O(1) beyond the syncer's own cost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "journal/files.h"
#include "journal/syncer.h"

namespace myrtleloft {

class GroupCommit {
 public:
  // Null: the level `process`. The syncer outlives it.
  explicit GroupCommit(Syncer* syncer) : syncer_(syncer) {}

  // Bytes since the start.
  std::uint64_t position() const { return position_; }
  std::uint64_t durable() const { return syncer_ ? durable_ : position_; }

  void wrote(std::size_t bytes, const std::shared_ptr<OutFile>& file);
  // A file got its name: the next sync covers the folder too.
  void namedFile() { newNames_ = true; }

  // Whether `submit` would start a sync.
  bool canSubmit() const { return syncer_ && !syncing_ && !unsynced_.empty(); }
  void submit();
  // The next sync that has ended; nothing where there is none. A failed one leaves `durable` as it was.
  std::optional<SyncResult> collect();

 private:
  Syncer* syncer_;
  std::uint64_t position_ = 0;
  std::uint64_t durable_ = 0;
  std::vector<std::shared_ptr<OutFile>> unsynced_;
  bool newNames_ = false;
  bool syncing_ = false;
};

}  // namespace myrtleloft
