// The lock that keeps a second process out of a journal's folder.
//
//   const auto lock = lockFolder(files, folder, "pid 4711, relay n3");
//   if (!lock) ... lock.error().message ...     // "the journal in F is held by another process: pid 12"
//
// Neither function waits for the lock. Not to be called by two threads for the same folder at once; O(1).
#pragma once

#include <memory>
#include <string>

#include "journal/errors.h"
#include "journal/files.h"
#include "journal/result.h"

namespace myrtleloft {

using LockResult = Result<std::unique_ptr<FolderLock>, JournalError>;

// Locks the folder and writes `owner` to the lock file, for the error message of a process that finds the
// folder locked.
LockResult lockFolder(Files& files, const std::string& folder, const std::string& owner);

// Locks the folder for a tool, without creating the lock file or writing to it. Returns a null pointer if the
// folder has no lock file.
LockResult lockFolderIfLockFileExists(Files& files, const std::string& folder);

}  // namespace myrtleloft
