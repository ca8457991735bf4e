// Conversion of a journal of format version 1.
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <string>

#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "tests/journal/journal_site.h"
#include "tests/journal/version_one_writer.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;
using lab::HandClock;

namespace {

Disk versionOneFolder() {
  VersionOne old;
  PendingRequest a = pendingRequest("a", 2), b = pendingRequest("b"), c = pendingRequest("c"),
                 d = pendingRequest("d", 2);
  a.attempts = 2;
  a.ambiguousAttempts.push_back({"E0", 1, 900, 0});
  for (const PendingRequest* request : {&a, &b, &c, &d}) old.accepted(*request);
  old.attempt("a", {"E1", 0, 1000, 0});
  old.attempt("d", {"E1", 0, 1000, 0});
  old.notExecuted("d");
  old.status("b", FinalStatus::kReturned, 250);
  old.completed("c");
  Disk disk;
  disk.files["/s/journal"] = old.bytes + "torn";
  disk.files["/s/journal.new"] = "left by a compaction";
  return disk;
}

void checkConverted(const Recovered& found) {
  REQUIRE(found.pending.size() == 3);
  const PendingRequest &a = found.pending.find("a")->pending, &b = found.pending.find("b")->pending,
                       &d = found.pending.find("d")->pending;
  REQUIRE(a.ambiguousAttempts.size() == 2);
  CHECK(a.ambiguousAttempts[0].endpoint == "E0");
  CHECK(a.ambiguousAttempts[1].endpoint == "E1");
  CHECK(a.attempts == 3);
  CHECK(a.body.size() == 100);
  CHECK((b.status == FinalStatus::kReturned && b.retryAfterMs == 250));
  CHECK((d.ambiguousAttempts.empty() && d.attempts == 1));
}

}  // namespace

TEST_CASE("a version 1 folder is converted, even with a crash at any operation of the conversion") {
  for (const std::size_t torn : {std::size_t{0}, std::size_t{50}, std::size_t{200}, std::size_t{100000}}) {
    for (std::uint64_t n = 1; n < 20; ++n) {
      Disk disk = versionOneFolder();
      {
        OpenedJournal opened(disk);
        if (n == 1) checkConverted(opened.found);
        if (n == 1)
          CHECK(opened.log.str().find("converted from version 1, 3 requests pending") != std::string::npos);
      }
      CHECK(disk.files.count("/s/journal") == 0);
      disk = versionOneFolder();
      for (int crashes = 0; crashes < 2; ++crashes) {
        FaultyFiles files(disk);
        files.crashAt(n, torn);
        HandClock clock;
        std::ostringstream log;
        Journal journal({files, clock, log}, {"/s", 1000000, 0, {}, "first", 5});
        journal.open();
      }
      CAPTURE(n);
      CAPTURE(torn);
      OpenedJournal opened(disk);
      REQUIRE(opened.good);
      checkConverted(opened.found);
      CHECK(disk.files.count("/s/journal") == 0);
      CHECK(disk.files.count("/s/journal.new") == 0);
      CHECK(disk.files.count("/s/journal.takeover") == 0);
    }
  }
}

TEST_CASE("a version 1 file that cannot be deleted is not converted again, even after many other records") {
  Disk disk = versionOneFolder();
  for (int start = 0; start < 3; ++start) {
    HandClock clock;
    std::ostringstream log;
    FaultyFiles files(disk);
    files.failRemovalOf("/s/journal", EPERM);
    Journal journal({files, clock, log}, {"/s", 62500, 0, {}, "first", 5});
    auto opened = journal.open();
    REQUIRE(opened);
    Recovered& found = *opened;
    CHECK(found.pending.size() == (start == 0 ? 3 : 0));
    for (RecoveredRequest& request : found.pending) journal.attach(request.pending);
    for (RecoveredRequest& request : found.pending) REQUIRE(journal.recordCompleted(request.pending));
    clock.nowMs += 1000;
    for (int i = 0; i < 300; ++i) {
      PendingRequest request = pendingRequest(numbered('n', i));
      REQUIRE(journal.recordAccepted(request));
      REQUIRE(journal.recordCompleted(request));
      journal.compactStep();
    }
    CHECK(journal.oldestSegment() > 1);  // the segment with the converted requests was deleted
  }
}

TEST_CASE("a version 1 file that cannot be converted for lack of space is left unchanged") {
  Disk disk = versionOneFolder();
  const std::string before = disk.files["/s/journal"];
  disk.capacity = disk.used() + 100;
  {
    OpenedJournal opened(disk);
    CHECK_FALSE(opened.good);
    CHECK(opened.error.find("cannot convert") != std::string::npos);
  }
  CHECK(disk.files["/s/journal"] == before);
  CHECK(disk.files.count("/s/journal.takeover") == 0);
  disk.capacity = 1000000;
  OpenedJournal opened(disk);
  REQUIRE(opened.good);
  checkConverted(opened.found);
}

TEST_CASE(
    "damage in a version 1 file: requests recorded before it become ambiguous, and the bytes are "
    "quarantined") {
  Disk disk = versionOneFolder();
  const std::size_t hit = disk.files["/s/journal"].find("E1");
  disk.files["/s/journal"][hit] ^= 1;
  OpenedJournal opened(disk);
  REQUIRE(opened.good);
  REQUIRE(opened.found.pending.size() == 4);
  for (const RecoveredRequest& request : opened.found.pending) {
    REQUIRE(!request.pending.ambiguousAttempts.empty());
    CHECK(request.pending.ambiguousAttempts[0].attempt == RecordedAttempt::kLostAttempt);
    CHECK(request.pending.ambiguousAttempts[0].sentWallMs == 0);  // version 1 had no time of acceptance
  }
  CHECK(std::any_of(disk.files.begin(), disk.files.end(),
                    [](const auto& f) { return f.first.starts_with("/s/damaged-v1-"); }));
}
