// Writes the endpoint list to the state folder, so that the next process can start while discovery is
// unavailable.
//
//   EndpointCache cache({files, clock, disk, log}, {folder, maxBytes, salt, names});
//   cache.begin();
//   cache.markChanged(uids); cache.markConfirmed();   // after the table applied an answer
//   if (nowMs >= cache.dueMs()) cache.step(table);    // writes one slice
//
// The file `members` is a log (endpoint_cache_format.h); a reader ignores the records after its last commit.
// Each process first writes the whole list to a new file, which replaces the old one once it is complete.
// Then it appends changes, until they take more space than the list, and the list is rewritten. A step writes
// a slice of bounded size, however long the list is. If a write fails, the list is rewritten later; until
// then the old file remains, from which a reader can tell how old its list is.
//
// With a syncer (durability level `group`), a rewritten list replaces the old one only once it is durable,
// and appended changes are synced in the background, so a power loss may lose the latest commits.
//
// Not thread-safe: an instance is used by one thread. No function throws or blocks. A step is O(slice), the
// other functions are O(uids) at most.
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
  double debounceMs = 100;          // the minimum time between a commit and the write of later changes
  double confirmIntervalMs = 30e3;  // how often the confirmation of an unchanged list is written
  double minRetryMs = 1000;         // the pause after a failure; doubles with each consecutive failure
  double maxRetryMs = 60e3;
  std::size_t endpointsPerSlice = 256;
  std::size_t minGrowthBytes = 16384;     // even a short list is not rewritten for fewer appended bytes
  std::size_t maxPendingChanges = 65536;  // if more uids change during a sync, the sync counts as failed
};

enum class CacheOperation { kCreate, kReserve, kWrite, kRename, kSync };
// A failed operation on the files of the cache.
struct CacheError {
  CacheOperation operation = CacheOperation::kWrite;
  int number = 0;  // the errno; 0 for a short write that set none
  bool operator==(const CacheError&) const = default;
};

class EndpointCache {
 public:
  // The objects that the cache uses; they must outlive it.
  struct Parts {
    Files& files;
    const Clock& clock;
    DiskBudget& disk;
    Log log;
    Syncer* syncer = nullptr;  // nullptr if files are not synced
  };
  struct Options {
    std::string folder;
    std::size_t maxBytes = 0;  // the limit for the old and the new file together
    std::uint64_t salt = 1;    // of the file header and the checksums
    IndexNames names;
    CacheTuning tuning;
  };
  // Counted since the start of the process.
  struct Statistics {
    std::uint64_t commits = 0;
    std::uint64_t rewrites = 0;
    std::uint64_t slices = 0;
    std::uint64_t faults = 0;
    std::uint64_t writtenBytes = 0;
  };

  EndpointCache(const Parts& parts, Options options) : parts_(parts), options_(std::move(options)) {}

  // Accounts for the disk space of an existing file, which remains until the first rewrite, and removes the
  // file of an unfinished rewrite. Call once.
  void begin();
  // Has the endpoints of these uids, which are new, changed or removed, written with the next steps.
  void markChanged(const std::vector<std::string>& uids);
  // Records that discovery confirmed the complete list `agoMs` milliseconds ago.
  void markConfirmed(double agoMs = 0);
  // When `step` has work to do: milliseconds on the steady clock, or infinity if there is none.
  double dueMs() const;
  // Writes one slice, if one is due. Failures are logged and retried.
  void step(const EndpointTable& table);
  // Must be called when the syncer has a result to collect. May change `dueMs`.
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
    kAwaitingSync  // `next_` is complete but not yet durable
  };

  std::string path(const char* name) const { return options_.folder + "/" + name; }
  // Whether the next step writes to `next_`: a rewrite is in progress, or `current_` was not written by this
  // process, so nothing may be appended to it.
  bool needsRewrite() const { return rewrite_ != RewriteState::kNone || !currentIsOwn_; }
  void rewrite(const EndpointTable& table);
  // Creates `next_`, and sets `frames` to its first bytes. Returns false if the file cannot be created.
  bool beginRewrite(std::string& frames);
  // Appends the next slice of the table as frames. Returns true if the slice reaches the end of the table.
  bool appendSlice(const EndpointTable& table, EndpointTable::Endpoints::const_iterator at,
                   std::string& frames);
  void append(const EndpointTable& table);
  // Removes a slice of uids from `dirty_`, and returns their records as frames; with the last slice, also a
  // commit.
  std::string takeDirty(const EndpointTable& table);
  bool write(File& file, const std::string& frames);
  // Reserves disk space for `bytes` more bytes of the file. Returns false if they do not fit.
  bool reserveGrowth(const File& file, std::size_t bytes);
  // Closes and removes `next_`.
  void discardNext();
  // Logs and counts the failure, and schedules a rewrite. The file on disk remains, with the time at which
  // its list was confirmed.
  void fail(const CacheError& error);
  // Replaces the old file with the rewritten one.
  void replace();
  // Updates the state after a commit.
  void committed();
  // Submits the files that are not yet durable, unless the syncer is busy with a job.
  void sync();

  Parts parts_;
  Options options_;
  File current_;
  File next_;
  RewriteState rewrite_ = RewriteState::kNone;
  bool currentIsOwn_ = false;    // `current_` was written by this process
  bool unsynced_ = false;        // data was appended to `current_` since its last sync
  bool renameUnsynced_ = false;  // the folder was not synced since the last rename
  bool syncing_ = false;         // the syncer is busy with a job of this cache
  std::uint64_t attempt_ = 1;  // incremented by each failure, so that the result of an older sync is ignored
  std::string cursor_;         // the last uid written to `next_`
  std::size_t baseBytes_ = 0;  // the size of `current_` after the last rewrite
  std::size_t leftoverBytes_ = 0;             // the size of an unfinished file that could not be removed
  std::set<std::string, std::less<>> dirty_;  // uids of endpoints that changed since they were written
  Stamp confirmedAt_;                         // when discovery last confirmed the list
  bool pending_ = false;                      // whether there are changes or confirmations to commit
  double lastCommitMs_ = -1e18;
  double retryAtMs_ = -1e18;
  double retryMs_ = 0;
  std::optional<CacheError> lastError_;  // logged already; not logged again if it repeats
  Statistics statistics_;
};

}  // namespace myrtleloft
