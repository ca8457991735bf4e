// Every touch of the disk goes through `Files`, so that a test can put a file system of its own beneath the
// journal: one in memory, one that fails or ends the process at the n-th operation.
//
//   std::shared_ptr<OutFile> out;
//   if (const int fault = files.create(folder + "/a", out)) return fault;   // an errno, 0: done
//   const auto [put, fault] = out->append(bytes);                            // put < size with a fault
//
// Errors are errno values; nothing here throws. Not safe for several threads, except `OutFile::sync`, which
// one helper thread may call while the loop appends.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace myrtleloft {

// A file being written at its end. Closed by its destructor.
class OutFile {
 public:
  struct Written {
    std::size_t put = 0;  // bytes that did reach the file, also where `fault` is set
    int fault = 0;
  };

  virtual ~OutFile() = default;
  virtual Written append(std::string_view bytes) = 0;
  // Cuts the file off at `size`.
  virtual int truncate(std::size_t size) = 0;
  // Waits until the file's bytes are on the disk. The one call that may take long.
  virtual int sync() = 0;
};

// Held until it is destroyed; the end of the process, however it comes, releases it.
class FolderLock {
 public:
  virtual ~FolderLock() = default;
};

struct FileSeen {
  std::string name;
  std::size_t bytes = 0;
};

class Files {
 public:
  static constexpr std::size_t kWhole = static_cast<std::size_t>(-1);

  virtual ~Files() = default;

  // The plain files in a folder, unsorted. O(entries).
  virtual int list(const std::string& folder, std::vector<FileSeen>& files) = 0;
  // The file's first bytes, `most` of them where it has as many; ENOENT where there is none. O(what is read).
  virtual int read(const std::string& path, std::string& bytes, std::size_t most) = 0;
  int read(const std::string& path, std::string& bytes) { return read(path, bytes, kWhole); }
  // A new, empty file, readable by its owner alone. EEXIST where one has that name already.
  virtual int create(const std::string& path, std::shared_ptr<OutFile>& out) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int remove(const std::string& path) = 0;
  // Waits until the folder's names are on the disk.
  virtual int syncFolder(const std::string& folder) = 0;
  // Fails at once and does not wait: EWOULDBLOCK where another process holds the lock, with what that one
  // wrote as `owner`; else `owner`, unless it is empty, is written to the file for the next one to read.
  virtual int lock(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) = 0;
  // The same, but makes and writes nothing: ENOENT where there is no such file.
  virtual int lockIfThere(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) = 0;
};

// The operating system's. Keeps no state, so any number may exist.
class PosixFiles : public Files {
 public:
  using Files::read;
  int list(const std::string& folder, std::vector<FileSeen>& files) override;
  int read(const std::string& path, std::string& bytes, std::size_t most) override;
  int create(const std::string& path, std::shared_ptr<OutFile>& out) override;
  int rename(const std::string& from, const std::string& to) override;
  int remove(const std::string& path) override;
  int syncFolder(const std::string& folder) override;
  int lock(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) override;
  int lockIfThere(const std::string& path, std::string& owner, std::unique_ptr<FolderLock>& lock) override;
};

}  // namespace myrtleloft
