// Waits for the disk on behalf of a loop that must not: the level `group`.
//
//   ThreadSyncer syncer(files, folder);
//   loop.watch(syncer.fd(), POLLIN, [&](short) { journal.collect(); ... });
//   syncer.submit({{file}, false, position});      // returns at once
//
// One job at a time: the next is submitted when the one before has been collected. One thread submits and
// collects; neither call waits. Each syncer but a test's has one helper thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "journal/files.h"

namespace myrtleloft {

struct SyncJob {
  std::vector<std::shared_ptr<OutFile>> files;  // in the order in which they were written
  bool folder = false;                          // new names too
  std::uint64_t position = 0;                   // what is on the disk once it is done
};

struct SyncResult {
  std::uint64_t position = 0;
  // Some of it may not be on the disk, and never will be by another sync.
  std::optional<FileError> error;
};

class Syncer {
 public:
  virtual ~Syncer() = default;
  // Begins a job; none is running or uncollected.
  virtual void submit(SyncJob job) = 0;
  // The job that has ended since the last call; nothing where none has.
  virtual std::optional<SyncResult> collect() = 0;
};

class ThreadSyncer : public Syncer {
 public:
  ThreadSyncer(Files& files, std::string folder);
  ~ThreadSyncer() override;  // waits for the job in hand
  void submit(SyncJob job) override;
  std::optional<SyncResult> collect() override;
  // Readable while something is to be collected; -1: no descriptor could be had.
  int fd() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// One job, in the thread that calls: for tests, and what ThreadSyncer's thread does.
SyncResult syncNow(Files& files, const std::string& folder, const SyncJob& job);

}  // namespace myrtleloft
