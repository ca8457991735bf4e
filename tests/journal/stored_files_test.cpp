// Compatibility with the other state files written by the program of commit d274781: lock file, endpoint list
// and incarnation.
#include <doctest/doctest.h>

#include <cerrno>
#include <memory>

#include "fleet/incarnation.h"
#include "journal/files.h"
#include "journal/journal.h"
#include "lab/module_site.h"
#include "tests/journal/stored_state.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

TEST_CASE("stored state: the lock file is locked, and identifies the process that holds it") {
  const StoredCopy copy("current");
  const std::string path = copy.path + "/journal.lock";
  CHECK_EQ(contentOf(path), "pid 4103, relay n3\n");
  PosixFiles files;
  auto lock = files.lockIfExists(path);
  REQUIRE(lock);
  // The program of d274781 locked the same file in the same way, with flock(2).
  std::ostringstream log;
  const lab::HandClock clock = clockOfLast("current");
  const JournalOptions options{copy.path, 1200000, 16384, {}, "the test", 7};
  Journal lockedOut({files, clock, log}, options);
  const auto rejected = lockedOut.open();
  REQUIRE_FALSE(rejected);
  CHECK_EQ(rejected.error().cause.number, EWOULDBLOCK);
  CHECK_EQ(rejected.error().message,
           "the journal in " + copy.path + " is held by another process: pid 4103, relay n3");
  lock->reset();
  Journal journal({files, clock, log}, options);
  CHECK(journal.open());
  CHECK_EQ(contentOf(path), "the test\n");
}

TEST_CASE("stored state: the endpoint list is read as it was written") {
  PosixFiles files;
  for (const std::string name : {"current", "program"}) {
    CAPTURE(name);
    const CachedList found = readCachedList(files, (kStoredStates / name).string(), nullptr);
    CHECK(found.usable);
    CHECK(found.complete);
    CHECK_FALSE(found.fault);
    CHECK(found.list.complete);
    CHECK_EQ(found.unknownNames, 0);
    checkSame(linesOf(found), expectedLines(name + "-members.txt"));
    if (name != "current") continue;
    CHECK_EQ(found.list.revision, 4120);
    CHECK_EQ(found.list.endpoints.size(), 47);
    CHECK_EQ(found.confirmedAt.wallMs, 1764623668005.75);
    CHECK_EQ(found.confirmedAt.machineMs, 91061005.75);
  }
}

TEST_CASE("stored state: zones and kinds of the endpoint list are translated by name") {
  PosixFiles files;
  const IndexNames names{{"este", "norte"}, {"other", "large"}};  // "sur" is missing
  const CachedList found = readCachedList(files, (kStoredStates / "current").string(), &names);
  REQUIRE(found.usable);
  Lines expected, endpoints;
  std::size_t gone = 0;
  for (const std::string& line : expectedLines("current-members.txt")) {
    Lines fields = splitFields(line);
    if (fields[0] != "endpoint") continue;
    gone += fields[3] == "1";
    if (fields[3] == "1") continue;
    fields[3] = fields[3] == "0" ? "1" : "0";
    fields[4] = fields[4] == "0" ? "1" : "0";
    expected.push_back(joinFields(fields));
  }
  for (const EndpointRecord& endpoint : found.list.endpoints) endpoints.push_back(lineOf(endpoint));
  checkSame(endpoints, expected);
  CHECK_EQ(gone, 16);
  CHECK_EQ(found.unknownNames, gone);
}

TEST_CASE("stored state: the incarnation continues from the stored one") {
  const StoredCopy copy("current");
  PosixFiles files;
  lab::CountedShare share;
  constexpr std::uint64_t kStoredNumber = 0x5ca1ab1e0ddba115, kNew = 12;
  for (const std::uint64_t start : {4, 5}) {
    const StoredIncarnation next = nextIncarnation({files, share}, copy.path, kNew);
    CHECK((next.incarnation == Incarnation{kStoredNumber, start}));
    CHECK_EQ(next.damage, "");
    CHECK_EQ(next.fault, "");
  }
}
