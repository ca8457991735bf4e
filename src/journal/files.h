// File system interface of the journal. All disk access goes through `Files`, so that tests can replace it
// with a file system in memory, or with one that fails or ends the process at the n-th operation.
//
//   auto file = files.create(folder + "/a");
//   if (!file) return file.error();
//   const auto [put, error] = (*file)->append(bytes);   // on an error, put may be less than bytes.size()
//
// Errors carry the operation, the path and the errno; nothing throws. Not thread-safe, except that one other
// thread may call `OutFile::sync` while the event loop's thread appends.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "journal/errors.h"
#include "journal/result.h"

namespace myrtleloft {

// A file opened for appending. The destructor closes it.
class OutFile {
 public:
  struct Written {
    std::size_t put = 0;  // bytes appended, even if an error followed
    std::optional<FileError> error;
  };

  virtual ~OutFile() = default;
  virtual Written append(std::string_view bytes) = 0;
  // Truncates the file to `size` bytes.
  virtual std::optional<FileError> truncate(std::size_t size) = 0;
  // Waits until the contents of the file are on the disk (fdatasync). Only this call may block for long.
  virtual std::optional<FileError> sync() = 0;
};

// Holds the lock on a folder until destruction. The lock also ends with the process, even after a crash.
class FolderLock {
 public:
  virtual ~FolderLock() = default;
};

struct LockError {
  FileError error;    // number is EWOULDBLOCK if another process holds the lock
  std::string owner;  // what the holding process wrote into the lock file
};

// Name and size of a file in a folder.
struct FileInfo {
  std::string name;
  std::size_t bytes = 0;
};

class Files {
 public:
  static constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

  virtual ~Files() = default;

  // Lists the regular files in a folder, in no particular order. O(entries).
  virtual Result<std::vector<FileInfo>, FileError> list(const std::string& folder) = 0;
  // Reads up to `maxBytes` from the start of the file. Fails with ENOENT if the file does not exist.
  // O(bytes read).
  virtual Result<std::string, FileError> read(const std::string& path, std::size_t maxBytes) = 0;
  Result<std::string, FileError> read(const std::string& path) { return read(path, kUnlimited); }
  // Creates an empty file that only its owner can read. Fails with EEXIST if the file exists.
  virtual Result<std::shared_ptr<OutFile>, FileError> create(const std::string& path) = 0;
  virtual std::optional<FileError> rename(const std::string& from, const std::string& to) = 0;
  virtual std::optional<FileError> remove(const std::string& path) = 0;
  // Waits until the directory entries of the folder are on the disk (fsync).
  virtual std::optional<FileError> syncFolder(const std::string& folder) = 0;
  // Locks the file, creating it if necessary, and writes `owner` into it so that other processes can report
  // who holds the lock. Never waits: fails at once if another process holds the lock.
  virtual Result<std::unique_ptr<FolderLock>, LockError> lock(const std::string& path,
                                                              const std::string& owner) = 0;
  // Locks the file without creating it or writing to it. Fails with ENOENT if it does not exist.
  virtual Result<std::unique_ptr<FolderLock>, LockError> lockIfExists(const std::string& path) = 0;
};

// The file system of the operating system. Stateless, so there may be any number of instances.
class PosixFiles : public Files {
 public:
  using Files::read;
  Result<std::vector<FileInfo>, FileError> list(const std::string& folder) override;
  Result<std::string, FileError> read(const std::string& path, std::size_t maxBytes) override;
  Result<std::shared_ptr<OutFile>, FileError> create(const std::string& path) override;
  std::optional<FileError> rename(const std::string& from, const std::string& to) override;
  std::optional<FileError> remove(const std::string& path) override;
  std::optional<FileError> syncFolder(const std::string& folder) override;
  Result<std::unique_ptr<FolderLock>, LockError> lock(const std::string& path,
                                                      const std::string& owner) override;
  Result<std::unique_ptr<FolderLock>, LockError> lockIfExists(const std::string& path) override;
};

}  // namespace myrtleloft
