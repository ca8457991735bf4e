// Answers of discovery that contradict the known list: reused uids, earlier revisions, other directories.
#include <doctest/doctest.h>

#include <string>

#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

TEST_CASE("a uid reused for another destination is a different endpoint with its own calls") {
  HandClocks clock;
  Disk disk;
  RelayFixture process(disk, clock);
  process.begin();
  process.onList(listOf(1, {endpoint("a", 7, 3001)}));
  process.submit("m1", 0, 7);
  process.outcome("m1", Outcome::kSuccess);
  for (int round = 0; round < 4; ++round) {
    const std::int64_t serves = round % 2 ? 7 : 8, not_ = 15 - serves;
    process.onList(listOf(2 + round, {endpoint("a", serves, 3001)}, round % 3 == 0));
    CHECK(process.submit("to" + std::to_string(round), 0, serves));
    CHECK(process.submit("not" + std::to_string(round), 0, not_));
    process.advance(500);
    CHECK(process.forbiddenSends.empty());
    CHECK(process.sent.back().id == "to" + std::to_string(round));
    process.outcome("to" + std::to_string(round), Outcome::kSuccess);
    process.advance(20000);
  }
  // If a list contains a uid twice, the last entry counts.
  process.onList(listOf(9, {endpoint("a", 7, 3001), endpoint("a", 8, 3002)}));
  process.submit("last", 0, 8);
  process.advance(500);
  CHECK(process.sent.back().address == "127.0.0.1:3002");
  CHECK(process.forbiddenSends.empty());
}

TEST_CASE("revisions that go back, and directories that contradict each other") {
  HandClocks clock;
  Disk disk;
  RelayFixture process(disk, clock);
  process.begin();
  process.onList(threeEndpoints(), 0);
  // A delta that does not follow is not applied; the complete list is polled.
  process.onList(listOf(12, {endpoint("b", 7, 3002, EndpointState::kRemoved)}, false), 0);
  CHECK(process.directory.needsCompleteList());
  CHECK(process.directory.lastUpdateRejected());
  CHECK(process.directory.endpoints().findByUid("b"));
  // The older list of another directory is ignored while the known list is fresh.
  process.onList(listOf(30, {endpoint("z", 7, 3050)}), 1);
  CHECK_FALSE(process.directory.endpoints().findByUid("z"));
  // The same directory was restored from a backup, and is authoritative.
  process.onList(listOf(30, {endpoint("z", 7, 3050)}), 0);
  CHECK(process.directory.endpoints().findByUid("z"));
  CHECK_FALSE(process.directory.needsCompleteList());
  CHECK(process.counters.listsRejected == 2);
  // The older list of another directory is applied once the known list is not fresh any more.
  clock.nowMs += 3 * kHour;
  process.onList(listOf(20, {endpoint("y", 7, 3051)}), 1);
  CHECK(process.directory.endpoints().findByUid("y"));
  // A delta of another directory is not applied, because the revisions of different directories are not
  // comparable.
  process.onList(listOf(35, {endpoint("x", 7, 3052)}, false), 0);
  CHECK_FALSE(process.directory.endpoints().findByUid("x"));
  CHECK(process.directory.needsCompleteList());
}
