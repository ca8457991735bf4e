// Tracks the position up to which the journal has written, and the position up to which it is durable. At the
// durability level `group`, one fdatasync on another thread covers all records written since the previous one
// (group commit). At the level `process` there is no syncer, and written records count as durable.
//
//   commit.recordWrite(bytes, file);   // after each append
//   commit.submit();                   // once per iteration of the event loop
//   while (auto done = commit.collect()) ...
//
// Invariants: durable() <= position(); at most one sync is running; `unsynced_` has each file written since
// the last submission once, in the order of writing. Not thread-safe; O(1) without the syncer's own cost.
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
  // `syncer` is null at the level `process`; otherwise it must outlive this object.
  explicit GroupCommit(Syncer* syncer) : syncer_(syncer) {}

  // Both are in bytes written since the start of the process.
  std::uint64_t position() const { return position_; }
  std::uint64_t durable() const { return syncer_ ? durable_ : position_; }

  void recordWrite(std::size_t bytes, const std::shared_ptr<OutFile>& file);
  // To be called after a file was created or renamed, so that the next sync includes the folder.
  void recordCreatedFile() { folderChanged_ = true; }

  // Returns whether `submit` would start a sync.
  bool canSubmit() const { return syncer_ && !syncing_ && !unsynced_.empty(); }
  // Starts a sync of all unsynced files, unless one is running or there are none.
  void submit();
  // Returns the result of a finished sync, or std::nullopt if none has finished. A failed sync does not
  // change `durable`.
  std::optional<SyncResult> collect();

 private:
  Syncer* syncer_;
  std::uint64_t position_ = 0;
  std::uint64_t durable_ = 0;
  std::vector<std::shared_ptr<OutFile>> unsynced_;
  bool folderChanged_ = false;
  bool syncing_ = false;
};

}  // namespace myrtleloft
