// The journal on a disk in memory: long runs, crashes at each operation, and a disk that refuses.
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

// Plays a day to its end or to its crash; what differs at its begin.
std::string play(RandomJournalRun& day, FaultyFiles& files, std::size_t steps = kSteps) {
  const std::string difference = day.begin(files);
  if (!difference.empty()) return difference;
  for (std::size_t i = 0; i < steps && !files.crashed(); ++i) day.step();
  day.end();
  return "";
}

}  // namespace

TEST_CASE("without faults, the journal stays within its limit, is compacted, and is read back as it was") {
  for (const std::uint32_t seed : {1u, 2u, 3u}) {
    for (const std::size_t limit : {kSmallDisk, std::size_t{1000000}}) {
      Disk disk;
      RandomJournalRun day(disk, limit, seed);
      FaultyFiles files(disk);
      CAPTURE(seed);
      CAPTURE(limit);
      REQUIRE_EQ(day.begin(files), "");
      for (std::size_t i = 0; i < 6000; ++i) day.step();
      CHECK(day.journal().statistics().deletedSegments > 20);
      CHECK(day.journal().statistics().faults == 0);
      CHECK(disk.most <= limit);
      CHECK(day.acceptedCount > day.rejectedCount);
      day.end();
      FaultyFiles again(disk);
      CHECK_EQ(day.begin(again), "");
      day.finishAll();
      day.end();
      FaultyFiles last(disk);
      CHECK_EQ(day.begin(last), "");
      CHECK(day.pendingById.empty());
    }
  }
}

// Counted up until a day survives: no operation is left out, and a new one is covered by itself.
TEST_CASE("a crash at each operation, torn at each kind of place, loses nothing and repeats nothing") {
  std::uint64_t points = 0;
  for (const std::size_t torn : {std::size_t{0}, std::size_t{1}, std::size_t{5}, std::size_t{11},
                                 std::size_t{13}, std::size_t{40}, std::size_t{143}, std::size_t{100000}}) {
    for (std::uint64_t n = 1;; ++n) {
      Disk disk;
      RandomJournalRun day(disk, kSmallDisk, 7);
      bool survived = false;
      {
        FaultyFiles files(disk);
        files.crashAt(n, torn);
        play(day, files);
        survived = !files.crashed();
      }
      ++points;
      CAPTURE(n);
      CAPTURE(torn);
      REQUIRE(disk.most <= kSmallDisk);
      FaultyFiles again(disk);
      REQUIRE_EQ(play(day, again, 30), "");
      FaultyFiles third(disk);
      REQUIRE_EQ(play(day, third, 1), "");
      if (survived) break;
    }
  }
  MESSAGE(points << " crash points");
  CHECK(points > 1000);
}

TEST_CASE("a crash during recovery, and during the recovery from that") {
  for (std::uint64_t first = 5; first < 300; first += 13) {
    for (std::uint64_t second = 1; second < 6; ++second) {
      Disk disk;
      RandomJournalRun day(disk, kSmallDisk, 11);
      {
        FaultyFiles files(disk);
        files.crashAt(first, 9);
        play(day, files);
      }
      for (int again = 0; again < 2; ++again) {
        FaultyFiles files(disk);
        files.crashAt(second, 20);
        play(day, files);
      }
      CAPTURE(first);
      CAPTURE(second);
      FaultyFiles last(disk);
      REQUIRE_EQ(play(day, last, 5), "");
    }
  }
}

TEST_CASE(
    "while the disk refuses, new requests are rejected and pending ones go on; afterwards it accepts again") {
  for (const int error : {ENOSPC, EIO, EDQUOT, EROFS}) {
    for (std::uint64_t n = 1; n < 400; n += 3) {
      Disk disk;
      RandomJournalRun day(disk, kSmallDisk, 5);
      FaultyFiles files(disk);
      CAPTURE(error);
      CAPTURE(n);
      files.failAt(n, 1 + n % 40, error, n % 30);
      day.stepMs = 20;
      if (!day.begin(files).empty()) {  // the very first operations: it says so and does not start
        REQUIRE(n < 4);
        continue;
      }
      // Some are read back before compaction has come past what the fault left.
      const std::uint64_t over = n + 1 + n % 40;
      while (files.operations() < over) day.step();
      if (n % 2 == 0) {
        for (int i = 0; i < 20; ++i) day.step();
        day.end();
        FaultyFiles again(disk);
        REQUIRE_EQ(day.begin(again), "");
        continue;
      }
      for (std::size_t i = 0; i < 1200; ++i) day.step();
      REQUIRE(disk.most <= kSmallDisk);
      const std::uint64_t before = day.acceptedCount;
      for (std::size_t i = 0; i < 300; ++i) day.step();
      REQUIRE(day.acceptedCount > before);
      for (auto& [id, expected] : day.pendingById) expected.maybe.clear();
      day.end();
      FaultyFiles again(disk);
      REQUIRE_EQ(day.begin(again), "");
    }
  }
}

TEST_CASE("an id that comes again before the completion of its predecessor is recorded is rejected") {
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
    clock.nowMs += 1000;  // rested; the next try fails once more
    CHECK_FALSE(journal.recordAccepted(request));
    clock.nowMs += 1000;
    CHECK(journal.recordAccepted(request));
  }
  FaultyFiles files(disk);
  const auto found = recover(files, "/s");
  REQUIRE(found);
  CHECK(found->pending.find("again"));
}
