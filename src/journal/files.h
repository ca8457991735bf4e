// Every use of the disk goes through `Files`, so that a test can put a file system of its own beneath the
// journal: one in memory, one that fails or ends the process at the n-th operation.
//
//   auto file = files.create(folder + "/a");
//   if (!file) return file.error();
//   const auto [put, error] = (*file)->append(bytes);     // put < bytes.size() with an error
//
// An error says operation, path and errno; nothing here throws. Not safe for several threads, except
// `OutFile::sync`, which one helper thread may call while the loop appends.
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

// A file being written at its end. Closed by its destructor.
class OutFile {
 public:
  struct Written {
    std::size_t put = 0;  // bytes that did reach the file, also with an error
    std::optional<FileError> error;
  };

  virtual ~OutFile() = default;
  virtual Written append(std::string_view bytes) = 0;
  // Cuts the file off at `size`.
  virtual std::optional<FileError> truncate(std::size_t size) = 0;
  // Waits until the file's bytes are on the disk. The one call that may take long.
  virtual std::optional<FileError> sync() = 0;
};

// Locks a folder until it is destroyed; the end of the process, however it comes, unlocks it.
class FolderLock {
 public:
  virtual ~FolderLock() = default;
};

struct LockError {
  FileError error;    // EWOULDBLOCK: another process has the lock
  std::string owner;  // what that process wrote into the file
};

struct FileInfo {
  std::string name;
  std::size_t bytes = 0;
};

class Files {
 public:
  static constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

  virtual ~Files() = default;

  // The plain files in a folder, unsorted. O(entries).
  virtual Result<std::vector<FileInfo>, FileError> list(const std::string& folder) = 0;
  // The file's first bytes, `most` of them where it has as many; ENOENT where there is none. O(what is read).
  virtual Result<std::string, FileError> read(const std::string& path, std::size_t most) = 0;
  Result<std::string, FileError> read(const std::string& path) { return read(path, kUnlimited); }
  // A new, empty file, readable by its owner alone. EEXIST where one has that name already.
  virtual Result<std::shared_ptr<OutFile>, FileError> create(const std::string& path) = 0;
  virtual std::optional<FileError> rename(const std::string& from, const std::string& to) = 0;
  virtual std::optional<FileError> remove(const std::string& path) = 0;
  // Waits until the folder's names are on the disk.
  virtual std::optional<FileError> syncFolder(const std::string& folder) = 0;
  // Locks the file, making it where there is none, and writes `owner` into it for the next one to read. Fails
  // at once and does not wait.
  virtual Result<std::unique_ptr<FolderLock>, LockError> lock(const std::string& path,
                                                              const std::string& owner) = 0;
  // The same, but makes and writes nothing: ENOENT where there is no such file.
  virtual Result<std::unique_ptr<FolderLock>, LockError> lockIfExists(const std::string& path) = 0;
};

// The operating system's. Has no state, so any number may exist.
class PosixFiles : public Files {
 public:
  using Files::read;
  Result<std::vector<FileInfo>, FileError> list(const std::string& folder) override;
  Result<std::string, FileError> read(const std::string& path, std::size_t most) override;
  Result<std::shared_ptr<OutFile>, FileError> create(const std::string& path) override;
  std::optional<FileError> rename(const std::string& from, const std::string& to) override;
  std::optional<FileError> remove(const std::string& path) override;
  std::optional<FileError> syncFolder(const std::string& folder) override;
  Result<std::unique_ptr<FolderLock>, LockError> lock(const std::string& path,
                                                      const std::string& owner) override;
  Result<std::unique_ptr<FolderLock>, LockError> lockIfExists(const std::string& path) override;
};

}  // namespace myrtleloft
