// Test fixture: a journal with name tables on a disk in memory, and pending requests written by an earlier
// process.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <sstream>
#include <string>

#include "exchange/recovered.h"
#include "journal/journal.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"

namespace myrtleloft::testing {

using lab::Disk;
using lab::FaultyFiles;
using lab::HandClock;

inline constexpr double kIdempotencyWindowMs = 5000;

inline ClassEntry classEntry(const char* name, Idempotency classIdempotency,
                             DeduplicationScope scope = DeduplicationScope::kDestination,
                             double windowMs = kIdempotencyWindowMs) {
  return {name, classIdempotency, scope, windowMs};
}
inline const NameTable kOriginalNames{
    {classEntry("status", Idempotency::kIdempotent),
     classEntry("order", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone),
     classEntry("charge", Idempotency::kNonIdempotent)},
    {"costa", "puerto"},
    {"norte", "sur"}};
// The same names, all with other numbers.
inline const NameTable kReorderedNames{
    {classEntry("charge", Idempotency::kNonIdempotent), classEntry("status", Idempotency::kIdempotent),
     classEntry("order", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone)},
    {"puerto", "costa"},
    {"sur", "este", "norte"}};

struct Opened {
  enum class Compaction { kAsUsual, kRewritesAll };  // the latter from the first step on

  Opened(Disk& disk, const NameTable& names, std::size_t limit = 1000000,
         Compaction compaction = Compaction::kAsUsual)
      : files(disk) {
    disk.locks.clear();
    JournalOptions options{"/s", limit, 0, {}, "the test", 7};
    options.names = names;
    if (compaction == Compaction::kRewritesAll) {
      options.tuning.freeShare = 1;
      options.tuning.maxSegments = 1;
    }
    journal = std::make_unique<Journal>(Journal::Parts{files, clock, log}, options);
    auto opened = journal->open();
    good = static_cast<bool>(opened);
    if (good) found = std::move(*opened);
    for (RecoveredRequest& request : found.pending) journal->attach(request.pending);
  }
  const RecoveredRequest& of(const char* id) const {
    const RecoveredRequest* request = found.pending.find(id);
    REQUIRE(request);
    return *request;
  }
  void compact() {
    for (int i = 0; i < 10 && journal->wantsCompaction(); ++i) REQUIRE(journal->compactStep());
  }
  HandClock clock;
  FaultyFiles files;
  std::ostringstream log;
  Recovered found;
  std::unique_ptr<Journal> journal;
  bool good = false;
};

inline PendingRequest pending(const char* id, int cls, int tenant = 0) {
  PendingRequest request;
  request.id = id;
  request.key = id;
  request.body = std::string(100, 'b');
  request.classIndex = cls;
  request.tenant = tenant;
  request.acceptedWallMs = 500;
  return request;
}

// Writes one request of each class with an ambiguous attempt in zone `sur`, and one request without attempts.
inline void writeRequests(Disk& disk, const NameTable& names) {
  Opened opened(disk, names);
  REQUIRE(opened.good);
  PendingRequest all[] = {pending("s", 0, 0), pending("o", 1, 1), pending("c", 2, 0)};
  for (PendingRequest& request : all) {
    REQUIRE(opened.journal->recordAccepted(request));
    REQUIRE(opened.journal->recordAttempt(request, {"E1", 1, 1000, 0}));
  }
  PendingRequest untried = pending("u", 2, 1);
  REQUIRE(opened.journal->recordAccepted(untried));
}

inline Settings settingsOf(const NameTable& names) {
  Settings settings;
  for (const ClassEntry& cls : names.classes) {
    ClassSettings& classSettings = settings.classes.emplace_back();
    classSettings.idempotency = cls.idempotency;
    classSettings.deduplicationScope = cls.deduplicationScope;
    classSettings.idempotencyWindowMs = cls.idempotencyWindowMs;
    classSettings.maxLifetimeMs = 16000;
  }
  return settings;
}

}  // namespace myrtleloft::testing
