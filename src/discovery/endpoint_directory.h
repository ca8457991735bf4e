// The relay's view of the endpoints: the table of endpoints, where it came from, how old it is, and which
// request classes are rejected because of its age.
//
//   EndpointDirectory directory(parts, options);
//   EndpointListEvent first = directory.begin(config.known, config.writtenWallMs);
//   if (auto event = directory.onList(list, directoryIndex)) ...  // for each answer of discovery
//   if (auto event = directory.tick()) ...                        // at dueMs()
//   if (auto retryAfterMs = directory.rejects(classIndex)) ...    // reject the request
//
// The answers of all discovery directories are applied to one EndpointTable. decideUpdate (freshness.h)
// decides whether an answer is applied, RemovalGuard whether endpoints that a complete list omits are kept
// for a while, and FreshnessPolicy which classes are rejected. EndpointCache stores the table in a file, the
// only I/O.
//
// Not thread-safe: an instance is used by one thread. The costs are those of EndpointTable and EndpointCache.
// No function blocks, and only `rejects` throws.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "counters/counters.h"
#include "discovery/endpoint_cache.h"
#include "discovery/endpoint_table.h"
#include "discovery/freshness.h"
#include "discovery/removal_guard.h"
#include "log/log.h"
#include "net/clock.h"

namespace myrtleloft {

class EndpointDirectory {
 public:
  // The objects that the instance uses; they must outlive it.
  struct Parts {
    Files& files;
    const Clock& clock;
    DiskBudget& disk;
    Counters& counters;
    Log log;
    Syncer* syncer = nullptr;  // nullptr if the cache is not synced
  };
  // The properties of a request class that decide for how long it is accepted as the list ages.
  struct Class {
    std::string name;
    Idempotency idempotency = Idempotency::kNonIdempotent;
  };
  struct Options {
    EndpointCache::Options cache;
    bool cacheEnabled = true;  // if false, the cache file is neither read nor written
    FreshnessTuning freshness;
    GuardTuning guard;
    std::vector<Class> classes;  // by class index
  };
  EndpointDirectory(const Parts& parts, Options options);

  // Returns the errno if there is a cached list that cannot be read now, std::nullopt otherwise.
  std::optional<int> cacheReadError() const;
  // Loads the initial list: the cached one or `configured`. `configuredWallMs` is the latest time at which
  // `configured` can have been announced, in milliseconds on the wall clock, or 0 if it is unknown. Faults of
  // the cache file are logged. Call once, before any other function.
  EndpointListEvent begin(const EndpointList& configured, double configuredWallMs);
  // Handles an answer of the discovery directory with the index `directory`. Returns std::nullopt if the
  // answer is not accepted, or if it changes nothing and is not the first one since the start: that one
  // confirms the initial list.
  std::optional<EndpointListEvent> onList(const EndpointList& list, std::size_t directory);
  // Whether an answer of discovery has been applied since `begin`.
  bool confirmed() const { return answered_; }
  // Whether the next poll must request the complete list.
  bool needsCompleteList() const { return needsCompleteList_; }
  // Whether the last answer was not accepted. An immediate poll would probably get the same answer again.
  bool lastUpdateRejected() const { return lastUpdateRejected_; }
  // When `tick` has work to do: milliseconds on the steady clock, or infinity if there is none.
  double dueMs() const;
  // Writes a slice of bounded size to the cache, and removes missing endpoints once the guard has expired.
  // Returns std::nullopt if no endpoint was removed.
  std::optional<EndpointListEvent> tick();
  // Must be called when the cache's syncer has a result to collect. May change `dueMs`.
  void onSynced() { cache_.onSynced(); }

  // Returns after how many milliseconds the client should retry if new requests of the class are rejected
  // because of the list's age, or std::nullopt if they are accepted. O(classes). Throws std::out_of_range if
  // there is no class with this index.
  std::optional<double> rejects(int classIndex);
  Freshness freshness() const;
  // The time since discovery last confirmed the list. Endpoints that the guard retains were confirmed
  // earlier.
  ListAge age() const;
  // By how many milliseconds the wall clock was set back between the last commit of the cache and `begin`.
  // Never negative; 0 if it is unknown.
  double wallSetBackMs() const { return wallSetBackMs_; }
  const EndpointTable& endpoints() const { return table_; }
  const EndpointCache& cache() const { return cache_; }

 private:
  Stamp now() const;
  // Reads the cached list, and logs its faults.
  CachedList readCache();
  void logInitialList(InitialSource source, std::int64_t revision);
  void logFreshness();
  void logDecision(UpdateDecision decision, std::int64_t revision, std::size_t directory);
  // Whether the guard retains the endpoints that this complete list omits.
  bool guardKeepsMissing(const EndpointList& list);

  Parts parts_;
  Options options_;
  EndpointTable table_;
  EndpointCache cache_;
  FreshnessPolicy freshnessPolicy_;
  RemovalGuard guard_;
  std::string machineRun_;
  Stamp confirmedAt_;      // when discovery last confirmed the list
  bool complete_ = true;   // false if the latest changes may be missing from the table
  bool answered_ = false;  // whether an answer of discovery has been applied since the start
  double wallSetBackMs_ = 0;
  std::size_t lastDirectory_ = 0;  // the directory whose answer was last applied; valid if answered_
  bool needsCompleteList_ = false;
  bool lastUpdateRejected_ = false;
  // Whether an answer of an earlier revision was ignored, and no answer has been applied since.
  bool rollbackSuspected_ = false;
  Freshness loggedFreshness_ = Freshness::kFresh;
};

}  // namespace myrtleloft
