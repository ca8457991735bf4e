// A file system in memory beneath the journal, which fails or ends the "process" at a chosen operation. For
// tests.
//
//   Disk disk;                                   // what outlasts the process
//   {
//     FaultyFiles files(disk);
//     files.crashAt(17, 5);                      // the 17th operation: of a write, 5 bytes still reach the
//     disk
//     ... a journal on `files` ...               // from then on each operation fails and changes nothing
//   }
//   FaultyFiles again(disk);                     // the next process
//
// After a failed sync, what the file had not stored is lost, and later syncs of it succeed all the same.
//
// Operations that change the disk are counted from 1: create, append, truncate, sync, rename, remove. Reading
// operations are counted apart, for faults in them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal/files.h"

namespace myrtleloft::lab {

struct Disk {
  std::map<std::string, std::string> files;   // by path
  std::map<std::string, std::string> synced;  // as a loss of power would leave them
  // Synced under another name, by the one that the folder does not have for sure yet.
  std::map<std::string, std::string> renamed;
  std::set<std::string> locks;
  std::size_t capacity = static_cast<std::size_t>(-1);  // in bytes, beyond the journal's own limit
  std::size_t most = 0;                                 // the largest sum of files ever, in blocks of 512

  std::size_t used() const;
  // What a machine finds that lost its power: each file as last synced.
  void losePower();
};

class FaultyFiles : public Files {
 public:
  struct Operation {
    std::string what, path;
    std::size_t bytes = 0;
  };

  explicit FaultyFiles(Disk& disk) : disk_(disk) {}

  // The n-th changing operation ends the process; of an append, `torn` bytes still reach the disk.
  void crashAt(std::uint64_t n, std::size_t torn = 0);
  // Operations from the n-th on, `count` of them, fail with that errno; of an append, `put` bytes reach the
  // disk.
  void failAt(std::uint64_t n, std::uint64_t count, int error, std::size_t put = 0);
  void failRemovalOf(const std::string& path, int error) { kept_ = path, keptFault_ = error; }
  void failReads(int error) { readFault_ = error; }
  void failReadsOf(const std::string& path, int error) { unreadable_ = path, unreadableFault_ = error; }
  bool crashed() const { return crashed_; }
  std::uint64_t operations() const { return count_; }
  const std::vector<Operation>& log() const { return log_; }

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

 private:
  friend class FaultyOut;

  // Counts an operation; an errno where it is not to be done. `partly`: of how many bytes it still is.
  int begin(const char* what, const std::string& path, std::size_t bytes, std::size_t& partly);
  void measure();

  Disk& disk_;
  std::uint64_t count_ = 0, crashAt_ = 0, failFrom_ = 0, failCount_ = 0;
  std::size_t torn_ = 0, failPut_ = 0;
  int failWith_ = 0, readFault_ = 0, unreadableFault_ = 0;
  std::string unreadable_;
  bool crashed_ = false;
  std::string kept_;
  int keptFault_ = 0;
  std::vector<Operation> log_;
  std::vector<std::weak_ptr<class FaultyOut>> open_;
};

}  // namespace myrtleloft::lab
