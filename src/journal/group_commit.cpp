#include "journal/group_commit.h"

#include <utility>

namespace myrtleloft {

void GroupCommit::recordWrite(std::size_t bytes, const std::shared_ptr<OutFile>& file) {
  position_ += bytes;
  if (!syncer_) return;
  if (unsynced_.empty() || unsynced_.back() != file) unsynced_.push_back(file);
}

void GroupCommit::submit() {
  if (!canSubmit()) return;
  SyncJob job{std::exchange(unsynced_, {}), std::exchange(folderChanged_, false), position_};
  syncing_ = true;
  syncer_->submit(std::move(job));
}

std::optional<SyncResult> GroupCommit::collect() {
  if (!syncer_) return std::nullopt;
  std::optional<SyncResult> done = syncer_->collect();
  if (!done) return std::nullopt;
  syncing_ = false;
  if (!done->error) durable_ = done->position;
  return done;
}

}  // namespace myrtleloft
