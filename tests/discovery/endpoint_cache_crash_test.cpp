// The endpoint cache after a crash or a loss of power at each of its file operations.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

TEST_CASE("a crash at any file operation leaves a cached list that was announced") {
  // Applies a sequence of updates, and records the content of the table at each commit.
  const auto applyUpdates = [](RelayFixture& process, std::vector<std::string>& states) {
    process.begin();
    states.push_back("");
    std::uint64_t commits = 0;
    const auto recordState = [&] {
      if (process.directory.cache().statistics().commits == commits) return;
      commits = process.directory.cache().statistics().commits;
      states.push_back(textOf(process.directory.endpoints().all()));
    };
    std::vector<EndpointRecord> many;
    for (int i = 0; i < 80; ++i) many.push_back(endpoint("e" + std::to_string(i), i % 3, 3000 + i));
    process.onList(listOf(1, many));
    process.finishDue();
    recordState();
    for (int i = 0; i < 60; ++i) {
      const std::string uid = "e" + std::to_string(i * 7 % 80);
      const EndpointState state = i % 3 == 0   ? EndpointState::kDraining
                                  : i % 3 == 1 ? EndpointState::kRemoved
                                               : EndpointState::kRunning;
      process.onList(listOf(2 + i, {endpoint(uid, i % 3, 4000 + i, state)}, false));
      process.finishDue();
      recordState();
      if (i == 30) {
        many.resize(50);
        process.onList(listOf(33, many));
        process.finishDue();
        recordState();
      }
    }
  };
  HandClocks clock;
  std::uint64_t operations = 0;
  std::vector<std::string> states;
  Disk completeDisk;
  EndpointDirectory::Options options;
  options.cache.tuning.minGrowthBytes = 2000;
  options.cache.tuning.endpointsPerSlice = 8;  // small, so that changes take several slices too
  {
    RelayFixture process(completeDisk, clock, options);
    applyUpdates(process, states);
    operations = process.files.operations();
    CHECK(process.directory.cache().statistics().rewrites >= 2);
    CHECK(process.share.used == completeDisk.used());
  }
  const std::set<std::string> announced(states.begin(), states.end());
  REQUIRE(operations > 60);
  for (std::uint64_t n = 1; n <= operations; ++n) {
    for (const std::size_t tornBytes : {std::size_t{0}, std::size_t{5}, std::size_t{150}}) {
      Disk disk;
      HandClocks laterClock;
      {
        RelayFixture process(disk, laterClock, options);
        process.files.crashAt(n, tornBytes);
        std::vector<std::string> ignored;
        applyUpdates(process, ignored);
      }
      lab::FaultyFiles files(disk);
      const CachedList cached = readCachedList(files, "/s", &kNames);
      CAPTURE(n);
      CAPTURE(tornBytes);
      REQUIRE((cached.usable || !cached.fault));  // a crash never corrupts the file
      REQUIRE(announced.count(cached.usable ? textOf(cached.list) : ""));
      // The next process continues with the file, and frees the space of leftover files.
      RelayFixture next(disk, laterClock, options);
      next.begin();
      next.onList(threeEndpoints());
      next.finishDue();
      REQUIRE(disk.files.size() == 1);
      REQUIRE(next.share.used == disk.used());
    }
  }
}

TEST_CASE("with group sync, power loss at any operation loses nothing durable") {
  EndpointDirectory::Options options;
  options.cache.tuning.minGrowthBytes = 300;
  // Applies a sequence of updates, and records the table after each. Returns the number of updates that are
  // durable.
  const auto applyUpdates = [](RelayFixture& process, std::vector<std::string>& announced) {
    std::size_t durable = 0;
    process.begin();
    for (int i = 0; i < 24; ++i) {
      const EndpointState state = i % 3 == 0 ? EndpointState::kDraining : EndpointState::kRunning;
      process.onList(
          i == 0 ? threeEndpoints()
                 : listOf(40 + i, {endpoint("e" + std::to_string(i % 5), 7, 3000 + i, state)}, false));
      announced.push_back(textOf(process.directory.endpoints().all()));
      for (int round = 0; round < 4; ++round) {
        process.finishDue();
        process.finishSyncs();
        if (process.files.crashed()) return durable;
      }
      durable = announced.size();
    }
    return durable;
  };
  std::uint64_t operations = 0;
  {
    Disk disk;
    HandClocks clock;
    std::vector<std::string> announced;
    RelayFixture process(disk, clock, options, true);
    CHECK(applyUpdates(process, announced) == 24);
    CHECK(process.directory.cache().statistics().rewrites >= 3);
    operations = process.files.operations();
  }
  REQUIRE(operations > 40);
  for (std::uint64_t n = 1; n <= operations; ++n) {
    CAPTURE(n);
    Disk disk;
    HandClocks clock;
    std::vector<std::string> announced;
    std::size_t durable = 0;
    {
      RelayFixture process(disk, clock, options, true);
      process.files.crashAt(n, 30);
      durable = applyUpdates(process, announced);
    }
    disk.losePower();
    lab::FaultyFiles files(disk);
    const CachedList cached = readCachedList(files, "/s", &kNames);
    REQUIRE((cached.usable || durable == 0));
    const auto at = cached.usable ? std::find(announced.begin(), announced.end(), textOf(cached.list))
                                  : announced.begin();
    REQUIRE(at != announced.end());
    REQUIRE((durable == 0 || static_cast<std::size_t>(at - announced.begin()) + 1 >= durable));
  }
}
