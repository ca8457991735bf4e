// The time limit of a compaction step.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <sstream>

#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "tests/journal/journal_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;
using lab::HandClock;

TEST_CASE("a compaction step ends at its time limit, even if its byte limit is not reached") {
  struct SlowClock : HandClock {
    double steadyMs() const override {
      return const_cast<SlowClock*>(this)->nowMs += 0.4;
    }  // advances with each call
  };
  for (const bool slow : {false, true}) {
    Disk disk;
    FaultyFiles files(disk);
    HandClock quick;
    SlowClock ticking;
    std::ostringstream log;
    JournalOptions options{"/s", 1000000, 0, {}, "one", 5};
    options.tuning.freeShare = 1;
    options.tuning.minStepBytes = options.tuning.maxStepBytes = 60000;
    Journal journal({files, slow ? static_cast<Clock&>(ticking) : quick, log}, options);
    REQUIRE(journal.open());
    std::deque<PendingRequest> requests;
    for (int i = 0; i < 600; ++i)
      REQUIRE(journal.recordAccepted(requests.emplace_back(pendingRequest(numbered('s', i)))));
    PendingRequest over = pendingRequest("over");
    while (!journal.wantsCompaction()) {
      REQUIRE(journal.recordAccepted(over));
      REQUIRE(journal.recordCompleted(over));
    }
    std::uint64_t most = 0;  // of several steps: one may end early because its segment is full
    for (int i = 0; i < 4; ++i) {
      const std::uint64_t before = journal.statistics().rewrittenBytes;
      REQUIRE(journal.compactStep());
      most = std::max(most, journal.statistics().rewrittenBytes - before);
    }
    const std::uint64_t maxBetweenClockChecks = 32 * (recordSize(pendingRequest("s500")) + 1);
    CHECK(most > 0);
    CHECK((most <= maxBetweenClockChecks) == slow);
  }
}
