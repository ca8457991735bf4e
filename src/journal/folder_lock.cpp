#include "journal/folder_lock.h"

#include <cerrno>
#include <utility>

namespace myrtleloft {
namespace {

constexpr const char* kLockName = "journal.lock";

std::string lockPath(const std::string& folder) { return folder + "/" + kLockName; }

JournalError lockError(const std::string& folder, const LockError& error) {
  FileError cause{"lock the journal in", folder, error.error.number};
  if (cause.number != EWOULDBLOCK) return cause;
  std::string owner = error.owner;
  while (!owner.empty() && owner.back() == '\n') owner.pop_back();
  return {std::move(cause), "the journal in " + folder + " is held by another process: " + owner};
}

}  // namespace

LockResult lockFolder(Files& files, const std::string& folder, const std::string& owner) {
  auto lock = files.lock(lockPath(folder), owner + "\n");
  if (!lock) return lockError(folder, lock.error());
  return std::move(*lock);
}

LockResult lockFolderIfLockFileExists(Files& files, const std::string& folder) {
  auto lock = files.lockIfExists(lockPath(folder));
  if (lock) return std::move(*lock);
  if (lock.error().error.number == ENOENT) return std::unique_ptr<FolderLock>();
  return lockError(folder, lock.error());
}

}  // namespace myrtleloft
