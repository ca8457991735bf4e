// The endpoint cache with a syncer whose jobs fail, hang or complete late.
#include <doctest/doctest.h>

#include <cerrno>
#include <string>

#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

TEST_CASE("failed or late syncs while further changes arrive") {
  Disk disk;
  HandClocks clock;
  EndpointDirectory::Options options;
  options.cache.tuning.minGrowthBytes = 300;
  options.cache.tuning.maxPendingChanges = 50;
  RelayFixture process(disk, clock, options, true);
  const auto cachedText = [&] { return textOf(readCachedList(process.files, "/s", &kNames).list); };
  const auto tableText = [&] { return textOf(process.directory.endpoints().all()); };
  const auto allSynced = [&] {
    for (int round = 0; round < 4; ++round) {
      process.finishDue();
      process.finishSyncs();
    }
  };
  const auto drain = [&](std::int64_t rev, const char* uid) {
    process.onList(listOf(rev, {endpoint(uid, 7, 3002, EndpointState::kDraining)}, false));
    process.finishDue();
  };
  process.begin();
  process.onList(threeEndpoints());
  process.finishDue();
  CHECK(disk.files.count("/s/members") == 0);  // written, but not durable yet
  REQUIRE(process.syncer.jobs.size() == 1);
  drain(41, "b");

  SUBCASE("changes during the sync of a rewritten list are appended to it") {
    allSynced();
    disk.losePower();
    CHECK(cachedText() == tableText());
  }
  SUBCASE("a sync that fails has the list written anew") {
    process.files.failAt(process.files.operations() + 1, 1, EIO);
    process.finishSyncs();
    CHECK(has(process.log.str(), "cannot sync the cached endpoint list"));
    CHECK(disk.files.empty());
    process.advance(1500);
    allSynced();
    disk.losePower();
    CHECK(cachedText() == tableText());
  }
  SUBCASE(
      "a sync of the old file puts no new one in its place, and one of a file given up counts for nothing") {
    allSynced();
    drain(42, "a");  // starts a sync of the old file
    for (int i = 0; i < 40; ++i)
      process.directory.onList(listOf(43 + i, {endpoint("f" + std::to_string(i))}, false), 0);
    process.finishDue();  // the appended changes take more space than the list
    drain(90, "c");       // starts a rewrite
    REQUIRE(disk.files.count("/s/members.new") == 1);
    process.finishSyncs();
    CHECK(disk.files.count("/s/members.new") == 1);
    allSynced();
    disk.losePower();
    CHECK(cachedText() == tableText());
  }
  SUBCASE("while a sync hangs, so many changes wait at most, and its late end replaces nothing") {
    for (int i = 0; i < 60; ++i)
      process.directory.onList(listOf(42 + i, {endpoint("f" + std::to_string(i))}, false), 0);
    CHECK(has(process.log.str(), "cannot sync the cached endpoint list: Connection timed out"));
    process.advance(1500);
    process.finishDue();  // rewrites the list
    process.onList(listOf(102, {endpoint("a", 7, 3001, EndpointState::kRemoved)}, false));
    process.finishSyncs();
    CHECK(disk.files.count("/s/members") == 0);
    allSynced();
    disk.losePower();
    CHECK(cachedText() == tableText());
  }
  CHECK(process.share.used == disk.used());
}
