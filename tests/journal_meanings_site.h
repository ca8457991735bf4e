// A journal whose numbers have names, on a disk in memory, and what an earlier process left in it.
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

inline constexpr double kSpanMs = 5000;

inline ClassMeaning meaning(const char* name, Repeat repeat, Group group = Group::kAll,
                            double spanMs = kSpanMs) {
  return {name, repeat, group, spanMs};
}
inline const Meanings kThen{
    {meaning("status", Repeat::kRepeatable), meaning("order", Repeat::kByKey, Group::kZone),
     meaning("charge", Repeat::kOnce)},
    {"costa", "puerto"},
    {"norte", "sur"}};
// The same names, all at other numbers.
inline const Meanings kTurned{{meaning("charge", Repeat::kOnce), meaning("status", Repeat::kRepeatable),
                               meaning("order", Repeat::kByKey, Group::kZone)},
                              {"puerto", "costa"},
                              {"sur", "este", "norte"}};

struct Opened {
  Opened(Disk& disk, const Meanings& meanings, std::size_t limit = 1000000) : files(disk) {
    disk.locks.clear();
    JournalOptions options{"/s", limit, 0, {}, "the test", 7};
    options.meanings = meanings;
    journal = std::make_unique<Journal>(Journal::Parts{files, clock, log}, options);
    good = journal->open(found, error);
    for (RecoveredRequest& request : found.owed) journal->settle(request.owed);
  }
  const RecoveredRequest& of(const char* id) const {
    const RecoveredRequest* request = found.owed.find(id);
    REQUIRE(request);
    return *request;
  }
  HandClock clock;
  FaultyFiles files;
  std::ostringstream log;
  Recovered found;
  std::string error;
  std::unique_ptr<Journal> journal;
  bool good = false;
};

inline OwedRequest owed(const char* id, int cls, int tenant = 0) {
  OwedRequest request;
  request.id = id;
  request.key = id;
  request.body = std::string(100, 'b');
  request.cls = cls;
  request.tenant = tenant;
  request.takenWallMs = 500;
  return request;
}

// One of each class with an attempt out in zone `sur`, and one that was never tried.
inline void leave(Disk& disk, const Meanings& meanings) {
  Opened opened(disk, meanings);
  REQUIRE(opened.good);
  OwedRequest all[] = {owed("s", 0, 0), owed("o", 1, 1), owed("c", 2, 0)};
  for (OwedRequest& request : all) {
    REQUIRE(opened.journal->taken(request));
    REQUIRE(opened.journal->attempt(request, {"E1", 1, 1000, 0}));
  }
  OwedRequest untried = owed("u", 2, 1);
  REQUIRE(opened.journal->taken(untried));
}

inline Settings settingsOf(const Meanings& meanings) {
  Settings settings;
  for (const ClassMeaning& cls : meanings.classes) {
    ClassSettings& c = settings.classes.emplace_back();
    c.repeat = cls.repeat;
    c.group = cls.group;
    c.memorySpanMs = cls.memorySpanMs;
    c.hardLimitMs = 16000;
  }
  return settings;
}

}  // namespace myrtleloft::testing
