// The bounds of the endpoint cache: bytes per slice, disk space and file size; also its recovery from write
// faults.
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "journal/journal.h"
#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

TEST_CASE("slices are bounded, stay within the disk share and recover after each fault") {
  HandClocks clock;
  std::vector<EndpointRecord> many;
  for (int i = 0; i < 3000; ++i)
    many.push_back(endpoint("s-" + std::to_string(100000 + i), i % 40, 2000 + i));
  SUBCASE("each slice writes so many endpoints at most") {
    Disk disk;
    RelayFixture process(disk, clock);
    process.begin();
    process.onList(listOf(1, many));
    std::size_t maxSliceBytes = 0;
    for (std::size_t before = 0; process.directory.dueMs() <= clock.nowMs + 100; clock.nowMs += 2) {
      process.directory.tick();
      const std::size_t written = process.directory.cache().statistics().writtenBytes;
      maxSliceBytes = std::max(maxSliceBytes, written - before);
      before = written;
      // Changes during the rewrite, one before and one after the current position.
      if (clock.nowMs == 4)
        process.onList(listOf(2,
                              {endpoint("s-100000", 1, 2000, EndpointState::kDraining),
                               endpoint("s-102999", 1, 4999, EndpointState::kRemoved)},
                              false));
    }
    CHECK(maxSliceBytes < 256 * 120);
    CHECK(process.directory.cache().statistics().slices >= 3000 / 256);
    lab::FaultyFiles files(disk);
    const CachedList cached = readCachedList(files, "/s", &kNames);
    CHECK(textOf(cached.list) == textOf(process.directory.endpoints().all()));
    CHECK(cached.list.revision == 2);
    CHECK(disk.files.at("/s/members").size() < 3000 * 110);
  }
  SUBCASE("too long for its share: rejected, logged once, nothing left behind") {
    Disk disk;
    EndpointDirectory::Options options;
    options.cache.maxBytes = 100000;
    RelayFixture process(disk, clock, options);
    process.begin();
    process.onList(listOf(1, many));
    process.advance(5000);
    CHECK(disk.files.empty());
    CHECK(process.share.used == 0);
    const std::string log = process.log.str();
    const std::size_t first = log.find("cannot reserve space for the cached endpoint list");
    CHECK(first != std::string::npos);
    CHECK(log.find("cannot reserve space for the cached endpoint list", first + 1) == std::string::npos);
  }
  SUBCASE("a fault at each operation") {
    for (std::uint64_t n = 1; n <= 12; ++n) {
      for (const int error : {ENOSPC, EIO, EROFS}) {
        Disk disk;
        RelayFixture process(disk, clock);
        process.files.failAt(n, 2, error, 40);
        process.begin();
        process.onList(threeEndpoints());
        process.finishDue();
        process.onList(listOf(41, {endpoint("b", 7, 3002, EndpointState::kDraining)}, false));
        process.finishDue();
        process.advance(10000);
        CAPTURE(n);
        lab::FaultyFiles files(disk);
        REQUIRE(textOf(readCachedList(files, "/s", &kNames).list) ==
                textOf(process.directory.endpoints().all()));
        REQUIRE(process.share.used == disk.used());
      }
    }
  }
}

TEST_CASE("the journal's reservations take precedence on the disk") {
  Disk disk;
  lab::FaultyFiles files(disk);
  HandClocks clock;
  std::ostringstream log;
  Journal journal({files, clock, log}, {"/s", 64000, 0, {}, "first", 5});
  REQUIRE(journal.open());
  std::vector<std::unique_ptr<PendingRequest>> accepted;
  for (int i = 0; i < 1000; ++i) {
    auto request = std::make_unique<PendingRequest>();
    request->id = "m" + std::to_string(i);
    request->body = std::string(300, 'b');
    if (!journal.recordAccepted(*request)) break;
    accepted.push_back(std::move(request));
  }
  // The space reserved for accepted requests cannot be reserved for the cache; the remaining space can.
  std::size_t reservedBytes = 0;
  while (journal.reserve(kDiskBlock)) reservedBytes += kDiskBlock;
  CHECK(reservedBytes > 0);
  for (auto& request : accepted) {
    REQUIRE(journal.recordAttempt(*request, {"E1", 0, 1, 0}));
    REQUIRE(journal.recordNotExecuted(*request));
    REQUIRE(journal.recordFinalStatus(*request, FinalStatus::kReturned, 5));
    REQUIRE(journal.recordCompleted(*request));
  }
  journal.release(reservedBytes);
  CHECK(journal.usage().used == disk.used());
}

TEST_CASE("an unreadable cached list counts as disk usage until it is rewritten") {
  HandClocks clock;
  Disk disk = diskWith(threeEndpoints(), clock);
  RelayFixture process(disk, clock);
  process.files.failReadsOf("/s/members", EIO);
  process.begin();
  CHECK(has(process.log.str(), "the cached list is not used: Input/output error"));
  process.onList(listOf(50, {endpoint("z", 7, 3050)}));
  process.finishDue();
  CHECK(process.share.used == disk.used());
}

TEST_CASE("after ten thousand changes the file is bounded and holds the final state") {
  HandClocks clock;
  Disk disk;
  RelayFixture process(disk, clock);
  process.begin();
  process.onList(threeEndpoints());
  for (int i = 0; i < 10000; ++i) {
    const bool drains = i % 2 == 0;
    process.onList(
        listOf(41 + i, {endpoint("a", 7, 3001, drains ? EndpointState::kDraining : EndpointState::kRunning)},
               false));
    if (i % 50 == 0) process.advance(5);
  }
  process.finishDue();
  const EndpointCache::Statistics& statistics = process.directory.cache().statistics();
  CHECK(statistics.commits < 30);  // one second of changes, with a commit every 100 ms
  CHECK(disk.files.at("/s/members").size() < 40000);
  lab::FaultyFiles files(disk);
  CHECK(textOf(readCachedList(files, "/s", &kNames).list) == textOf(process.directory.endpoints().all()));
}
