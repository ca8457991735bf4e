// The lock that excludes a second process from a journal's folder.
//
//   const auto lock = lockFolder(files, folder, "pid 4711, relay n3");
//   if (!lock) ... lock.error().message ...     // "the journal in F is held by another process: pid 12"
//
// Neither function waits. One thread at a time for each folder; O(1).
#pragma once

#include <memory>
#include <string>

#include "journal/errors.h"
#include "journal/files.h"
#include "journal/result.h"

namespace myrtleloft {

using LockResult = Result<std::unique_ptr<FolderLock>, JournalError>;

// Locks the folder and records `owner` for whoever finds it locked.
LockResult lockFolder(Files& files, const std::string& folder, const std::string& owner);

// The same for a tool: records nothing, and makes no file. The pointer is empty where the folder never had a
// lock file.
LockResult lockFolderIfLockFileExists(Files& files, const std::string& folder);

}  // namespace myrtleloft
