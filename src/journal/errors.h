// Errors of operations on the journal's folder: the operation, the file, and the errno.
//
//   const FileError error{"create", name, ENOSPC};
//   error.message();     // "cannot create journal-...2a.seg: No space left on device"
//
// Plain values without shared state.
#pragma once

#include <string>

namespace myrtleloft {

// A failed operation on a file or folder.
struct FileError {
  std::string operation;  // phrase that follows "cannot", e.g. "create" or "lock the journal in"
  std::string file;       // path, or file name within the journal's folder
  int number = 0;         // errno value

  std::string message() const;
};

// The reason why a journal folder cannot be opened or read.
struct JournalError {
  FileError cause;  // `number` is 0 if no system call failed, e.g. for an unknown format version
  std::string message;

  JournalError(FileError error);
  JournalError(FileError error, std::string text);
};

}  // namespace myrtleloft
