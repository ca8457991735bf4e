// The journal on a disk in memory: long runs, crashes at each disk operation, and failing disk operations.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>

#include "lab/faulty_files.h"
#include "tests/journal/journal_day.h"
#include "tests/journal/journal_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;

namespace {

constexpr std::size_t kSteps = 400;

// Runs until the last step or the crash. Returns the difference that `begin` found, or "".
std::string runJournal(RandomJournalRun& run, FaultyFiles& files, std::size_t steps = kSteps) {
  const std::string difference = run.begin(files);
  if (!difference.empty()) return difference;
  for (std::size_t i = 0; i < steps && !files.crashed(); ++i) run.step();
  run.end();
  return "";
}

}  // namespace

TEST_CASE(
    "without faults, the journal stays within its disk budget, is compacted, and is recovered unchanged") {
  for (const std::uint32_t seed : {1u, 2u, 3u}) {
    for (const std::size_t limit : {kSmallDisk, std::size_t{1000000}}) {
      Disk disk;
      RandomJournalRun run(disk, limit, seed);
      FaultyFiles files(disk);
      CAPTURE(seed);
      CAPTURE(limit);
      REQUIRE_EQ(run.begin(files), "");
      for (std::size_t i = 0; i < 6000; ++i) run.step();
      CHECK(run.journal().statistics().deletedSegments > 20);
      CHECK(run.journal().statistics().faults == 0);
      CHECK(disk.most <= limit);
      CHECK(run.acceptedCount > run.rejectedCount);
      run.end();
      FaultyFiles again(disk);
      CHECK_EQ(run.begin(again), "");
      run.completeAll();
      run.end();
      FaultyFiles last(disk);
      CHECK_EQ(run.begin(last), "");
      CHECK(run.pendingById.empty());
    }
  }
}

// Crashes at the n-th disk operation for every n, until a run ends before its crash. This covers all
// operations, including those added later.
TEST_CASE(
    "a crash at any disk operation, with torn writes of several lengths, neither loses nor repeats a "
    "request") {
  std::uint64_t points = 0;
  for (const std::size_t torn : {std::size_t{0}, std::size_t{1}, std::size_t{5}, std::size_t{11},
                                 std::size_t{13}, std::size_t{40}, std::size_t{143}, std::size_t{100000}}) {
    for (std::uint64_t n = 1;; ++n) {
      Disk disk;
      RandomJournalRun run(disk, kSmallDisk, 7);
      bool survived = false;
      {
        FaultyFiles files(disk);
        files.crashAt(n, torn);
        runJournal(run, files);
        survived = !files.crashed();
      }
      ++points;
      CAPTURE(n);
      CAPTURE(torn);
      REQUIRE(disk.most <= kSmallDisk);
      FaultyFiles again(disk);
      REQUIRE_EQ(runJournal(run, again, 30), "");
      FaultyFiles third(disk);
      REQUIRE_EQ(runJournal(run, third, 1), "");
      if (survived) break;
    }
  }
  MESSAGE(points << " crash points");
  CHECK(points > 1000);
}

TEST_CASE("a crash during recovery, and another during the next recovery") {
  for (std::uint64_t first = 5; first < 300; first += 13) {
    for (std::uint64_t second = 1; second < 6; ++second) {
      Disk disk;
      RandomJournalRun run(disk, kSmallDisk, 11);
      {
        FaultyFiles files(disk);
        files.crashAt(first, 9);
        runJournal(run, files);
      }
      for (int again = 0; again < 2; ++again) {
        FaultyFiles files(disk);
        files.crashAt(second, 20);
        runJournal(run, files);
      }
      CAPTURE(first);
      CAPTURE(second);
      FaultyFiles last(disk);
      REQUIRE_EQ(runJournal(run, last, 5), "");
    }
  }
}

TEST_CASE(
    "while disk operations fail, new requests are rejected and pending ones continue; afterwards requests "
    "are accepted again") {
  for (const int error : {ENOSPC, EIO, EDQUOT, EROFS}) {
    for (std::uint64_t n = 1; n < 400; n += 3) {
      Disk disk;
      RandomJournalRun run(disk, kSmallDisk, 5);
      FaultyFiles files(disk);
      CAPTURE(error);
      CAPTURE(n);
      files.failAt(n, 1 + n % 40, error, n % 30);
      run.stepMs = 20;
      if (!run.begin(files).empty()) {  // the journal does not open if the first operations fail
        REQUIRE(n < 4);
        continue;
      }
      // Half of the runs are recovered before compaction deletes the segments with traces of the fault.
      const std::uint64_t over = n + 1 + n % 40;
      while (files.operations() < over) run.step();
      if (n % 2 == 0) {
        for (int i = 0; i < 20; ++i) run.step();
        run.end();
        FaultyFiles again(disk);
        REQUIRE_EQ(run.begin(again), "");
        continue;
      }
      for (std::size_t i = 0; i < 1200; ++i) run.step();
      REQUIRE(disk.most <= kSmallDisk);
      const std::uint64_t before = run.acceptedCount;
      for (std::size_t i = 0; i < 300; ++i) run.step();
      REQUIRE(run.acceptedCount > before);
      for (auto& [id, expected] : run.pendingById) expected.possibleAttempts.clear();
      run.end();
      FaultyFiles again(disk);
      REQUIRE_EQ(run.begin(again), "");
    }
  }
}

TEST_CASE("a request is rejected while the completion of an earlier request with the same id is unrecorded") {
  Disk disk;
  {
    FaultyFiles files(disk);
    HandClock clock;
    std::ostringstream log;
    Journal journal({files, clock, log}, {"/s", 1000000, 0, {}, "one", 5});
    REQUIRE(journal.open());
    PendingRequest request;
    request.id = "again";
    REQUIRE(journal.recordAccepted(request));
    files.failAt(files.operations() + 1, 2, EIO);
    CHECK_FALSE(journal.recordCompleted(request));
    clock.nowMs += 1000;  // the pause is over; the next attempt fails as well
    CHECK_FALSE(journal.recordAccepted(request));
    clock.nowMs += 1000;
    CHECK(journal.recordAccepted(request));
  }
  FaultyFiles files(disk);
  const auto found = recover(files, "/s");
  REQUIRE(found);
  CHECK(found->pending.find("again"));
}
