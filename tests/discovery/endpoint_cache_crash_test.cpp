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
  // A day of changes; what the table was at each commit, by what the file then says.
  const auto day = [](RelayFixture& process, std::vector<std::string>& states) {
    process.begin();
    states.push_back("");
    std::uint64_t commits = 0;
    const auto note = [&] {
      if (process.directory.cache().statistics().commits == commits) return;
      commits = process.directory.cache().statistics().commits;
      states.push_back(textOf(process.directory.endpoints().all()));
    };
    std::vector<EndpointRecord> many;
    for (int i = 0; i < 80; ++i) many.push_back(endpoint("e" + std::to_string(i), i % 3, 3000 + i));
    process.onList(listOf(1, many));
    process.finishDue();
    note();
    for (int i = 0; i < 60; ++i) {
      const std::string uid = "e" + std::to_string(i * 7 % 80);
      const EndpointState state = i % 3 == 0   ? EndpointState::kDraining
                                  : i % 3 == 1 ? EndpointState::kRemoved
                                               : EndpointState::kRunning;
      process.onList(listOf(2 + i, {endpoint(uid, i % 3, 4000 + i, state)}, false));
      process.finishDue();
      note();
      if (i == 30) {
        many.resize(50);
        process.onList(listOf(33, many));
        process.finishDue();
        note();
      }
    }
  };
  HandClocks clock;
  std::uint64_t operations = 0;
  std::vector<std::string> states;
  Disk completeDisk;
  EndpointDirectory::Options options;
  options.cache.tuning.minGrowthBytes = 2000;
  options.cache.tuning.endpointsPerSlice = 8;  // so that changes, too, take several slices
  {
    RelayFixture process(completeDisk, clock, options);
    day(process, states);
    operations = process.files.operations();
    CHECK(process.directory.cache().statistics().rewrites >= 2);
    CHECK(process.share.used == completeDisk.used());
  }
  const std::set<std::string> announced(states.begin(), states.end());
  REQUIRE(operations > 60);
  for (std::uint64_t n = 1; n <= operations; ++n) {
    for (const std::size_t torn : {std::size_t{0}, std::size_t{5}, std::size_t{150}}) {
      Disk disk;
      HandClocks again;
      {
        RelayFixture process(disk, again, options);
        process.files.crashAt(n, torn);
        std::vector<std::string> ignored;
        day(process, ignored);
      }
      lab::FaultyFiles files(disk);
      const CachedList found = readCachedList(files, "/s", &kNames);
      CAPTURE(n);
      CAPTURE(torn);
      REQUIRE((found.usable || !found.fault));  // never damaged by the process's own end
      REQUIRE(announced.count(found.usable ? textOf(found.list) : ""));
      // The next process goes on from there, and gives back what was left behind.
      RelayFixture next(disk, again, options);
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
  // What was announced, and how much of it the list is known to have on the disk.
  const auto day = [](RelayFixture& process, std::vector<std::string>& announced) {
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
    CHECK(day(process, announced) == 24);
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
      durable = day(process, announced);
    }
    disk.losePower();
    lab::FaultyFiles files(disk);
    const CachedList found = readCachedList(files, "/s", &kNames);
    REQUIRE((found.usable || durable == 0));
    const auto at =
        found.usable ? std::find(announced.begin(), announced.end(), textOf(found.list)) : announced.begin();
    REQUIRE(at != announced.end());
    REQUIRE((durable == 0 || static_cast<std::size_t>(at - announced.begin()) + 1 >= durable));
  }
}
