// Writes the endpoint list to the state folder: what a process begins with while discovery is away.
//
//   EndpointCache cache({files, clock, disk, log}, {folder, maxBytes, salt, names});
//   cache.begin();
//   cache.markChanged(uids); cache.markConfirmed();   // after the table has applied an answer
//   if (nowMs >= cache.dueMs()) cache.step(table);    // one slice
//
// The file `members` is a log (endpoint_cache_format.h). What stands behind its last commit does not count. A
// process rewrites the list once, beside the old file, which the new one replaces when it is complete; then
// it appends changes, until they take more than the list itself. Slices are bounded, however long the list;
// after a failed write the list is rewritten later, and meanwhile the old file states its age.
//
// With a syncer (the level `group`), a rewritten list replaces the old one only once it is durable, and
// appended changes are synced in the background; the latest commits may be lost with the power.
//
// Not thread-safe: one thread uses an instance. Nothing throws or waits. A step costs O(slice), the rest
// O(uids).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "discovery/cached_list.h"
#include "discovery/endpoint_table.h"
#include "journal/disk_budget.h"
#include "journal/files.h"
#include "journal/syncer.h"
#include "log/log.h"
#include "net/clock.h"

namespace myrtleloft {

struct CacheTuning {
  double debounceMs = 100;          // after a commit, changes are collected for so long
  double confirmIntervalMs = 30e3;  // how often the confirmation of an unchanged list is written
  double minRetryMs = 1000;         // the pause after a failure; doubles with each further one
  double maxRetryMs = 60e3;
  std::size_t endpointsPerSlice = 256;
  std::size_t minGrowthBytes = 16384;     // appended changes up to which even a short list is not rewritten
  std::size_t maxPendingChanges = 65536;  // uids during a hanging sync; with more, the list is rewritten
};

enum class CacheOperation { kCreate, kReserve, kWrite, kRename, kSync };
// An operation on the cache's files that failed.
struct CacheError {
  CacheOperation operation = CacheOperation::kWrite;
  int number = 0;  // errno; 0: a short write without one
  bool operator==(const CacheError&) const = default;
};

class EndpointCache {
 public:
  // References outlive the instance.
  struct Parts {
    Files& files;
    const Clock& clock;
    DiskBudget& disk;
    Log log;
    Syncer* syncer = nullptr;  // nullptr: nothing is synced
  };
  struct Options {
    std::string folder;
    std::size_t maxBytes = 0;  // of both files together during a rewrite
    std::uint64_t salt = 1;
    IndexNames names;
    CacheTuning tuning;
  };
  // Since the start.
  struct Statistics {
    std::uint64_t commits = 0;
    std::uint64_t rewrites = 0;
    std::uint64_t slices = 0;
    std::uint64_t faults = 0;
    std::uint64_t writtenBytes = 0;
  };

  EndpointCache(const Parts& parts, Options options) : parts_(parts), options_(std::move(options)) {}

  // Accounts for an existing file, which stays until the first rewrite, and removes an unfinished one. Call
  // once.
  void begin();
  // These endpoints are new, different or removed.
  void markChanged(const std::vector<std::string>& uids);
  // Discovery confirmed the complete list `agoMs` ago.
  void markConfirmed(double agoMs = 0);
  // When there is work to do, on the steady clock in ms; infinite: none.
  double dueMs() const;
  // Writes one slice, if due. Failures are logged and retried.
  void step(const EndpointTable& table);
  // The syncer has a result to collect. `dueMs` may have changed afterwards.
  void onSynced();

  const Statistics& statistics() const { return statistics_; }
  std::size_t fileBytes() const { return current_.bytes; }

 private:
  struct File {
    std::shared_ptr<OutFile> out;
    std::size_t bytes = 0;
  };
  enum class RewriteState {
    kNone,
    kWriting,      // `next_` is being written
    kAwaitingSync  // `next_` is complete, but not durable yet
  };

  std::string path(const char* name) const { return options_.folder + "/" + name; }
  // A rewrite is under way, or nothing may be appended to a file of another process.
  bool needsRewrite() const { return rewrite_ != RewriteState::kNone || !currentIsOwn_; }
  void rewrite(const EndpointTable& table);
  // Creates `next_` and gives its first bytes; false: it failed.
  bool beginRewrite(std::string& frames);
  // Appends the next slice of the table as frames; true: it ends with the table.
  bool appendSlice(const EndpointTable& table, EndpointTable::Endpoints::const_iterator at,
                   std::string& frames);
  void append(const EndpointTable& table);
  // The next changed uids as frames, and a commit once none is left.
  std::string takeDirty(const EndpointTable& table);
  bool write(File& file, const std::string& frames);
  // Reserves disk space for so many bytes more; false: there is none.
  bool reserveGrowth(const File& file, std::size_t bytes);
  void discardNext();
  void fail(const CacheError& error);
  // The rewritten list replaces the old one.
  void replace();
  void committed();
  // Submits what is not durable yet, unless the syncer has a job.
  void sync();

  Parts parts_;
  Options options_;
  File current_;
  File next_;
  RewriteState rewrite_ = RewriteState::kNone;
  bool currentIsOwn_ = false;      // `current_` was written by this process
  bool unsynced_ = false;          // `current_` has more than was synced
  bool renameUnsynced_ = false;    // the folder was not synced since the last rename
  bool syncing_ = false;           // the syncer has a job
  std::uint64_t attempt_ = 1;      // counts failures; a sync of an earlier attempt replaces nothing
  std::string cursor_;             // the last uid written to `next_`
  std::size_t baseBytes_ = 0;      // of `current_` after the rewrite
  std::size_t leftoverBytes_ = 0;  // of an unfinished file that could not be removed
  std::set<std::string, std::less<>> dirty_;
  Stamp confirmedAt_;     // by discovery, last
  bool pending_ = false;  // something is not committed yet
  double lastCommitMs_ = -1e18;
  double retryAtMs_ = -1e18;
  double retryMs_ = 0;
  std::optional<CacheError> lastError_;  // logged already
  Statistics statistics_;
};

}  // namespace myrtleloft
