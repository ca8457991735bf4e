// Runs fdatasync for an event loop that must not block; used at the durability level `group`.
//
//   ThreadSyncer syncer(files, folder);
//   loop.watch(syncer.fd(), POLLIN, [&](short) { journal.collect(); ... });
//   syncer.submit({{file}, false, position});   // returns immediately
//
// There is one job at a time: the next may be submitted after the previous one has been collected. `submit`
// and `collect` are called by one thread and never wait. ThreadSyncer has one thread of its own.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "journal/files.h"

namespace myrtleloft {

// Files to sync.
struct SyncJob {
  std::vector<std::shared_ptr<OutFile>> files;  // in the order of writing
  bool folder = false;                          // also sync the folder, after files were created or renamed
  std::uint64_t position = 0;                   // position of the log that is durable after the job
};

// The result of a job.
struct SyncResult {
  std::uint64_t position = 0;
  // If set, some of the data may not be on the disk, and another sync of the same files cannot change that.
  std::optional<FileError> error;
};

class Syncer {
 public:
  virtual ~Syncer() = default;
  // Starts a job. The previous one must have been collected.
  virtual void submit(SyncJob job) = 0;
  // Returns the result of the job that has finished since the last call, or std::nullopt if none has.
  virtual std::optional<SyncResult> collect() = 0;
};

// Runs the jobs on its own thread.
class ThreadSyncer : public Syncer {
 public:
  ThreadSyncer(Files& files, std::string folder);
  ~ThreadSyncer() override;  // waits for a running job
  void submit(SyncJob job) override;
  std::optional<SyncResult> collect() override;
  // A descriptor that is readable while a result can be collected; -1 if it or the thread could not be
  // created.
  int fd() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Runs a job on the calling thread. Used by ThreadSyncer and by tests.
SyncResult syncNow(Files& files, const std::string& folder, const SyncJob& job);

}  // namespace myrtleloft
