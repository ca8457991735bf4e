// The removal guard in the endpoint directory: what it retains, for how long, and after a restart.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

TEST_CASE("the guard retains a mass omission for a bounded time, not explicit removals") {
  HandClocks clock;
  Disk disk;
  EndpointDirectory::Options options;
  options.guard = {0.5, 60e3, 3};
  RelayFixture process(disk, clock, options);
  process.begin();
  std::vector<EndpointRecord> ten;
  for (int i = 0; i < 10; ++i) ten.push_back(endpoint("e" + std::to_string(i), 7, 3000 + i));
  process.onList(listOf(1, ten));
  process.onList(listOf(2, {}));
  CHECK(process.directory.endpoints().all().size() == 10);
  CHECK(has(process.log.str(), "a complete list omits 10 of 10 endpoints; retaining them for now"));
  // Explicit removals and drains are applied immediately.
  process.onList(listOf(
      3,
      {endpoint("e0", 7, 3000, EndpointState::kRemoved), endpoint("e1", 7, 3001, EndpointState::kDraining)},
      false));
  CHECK_FALSE(process.directory.endpoints().findByUid("e0"));
  process.submit("m", 0);
  process.advance(1000);
  CHECK(process.forbiddenSends.empty());
  CHECK(process.sent.size() == 1);
  // Endpoints that a list contains again are not missing any more. The others are removed when the guard
  // expires, even if another list omits them too.
  process.onList(listOf(4, {ten[2], ten[3]}));
  process.advance(30e3);
  process.onList(listOf(5, {ten[2], ten[3]}));
  process.advance(31e3);
  CHECK(textOf(process.directory.endpoints().all()) == "e2@127.0.0.1:3002/7\ne3@127.0.0.1:3003/7\n");
  // Half of the endpoints does not exceed the threshold, so they are removed immediately.
  process.onList(listOf(6, ten));
  process.onList(listOf(7, {ten.begin(), ten.begin() + 5}));
  CHECK(process.directory.endpoints().all().size() == 5);
}

TEST_CASE("endpoints retained by the guard before a restart go with the next complete list") {
  HandClocks clock;
  Disk disk;
  EndpointDirectory::Options options;
  options.guard = {0.5, 60e3, 3};
  const EndpointList four = listOf(
      1, {endpoint("a", 7, 3001), endpoint("b", 7, 3002), endpoint("c", 7, 3003), endpoint("d", 7, 3004)});
  {
    RelayFixture process(disk, clock, options);
    process.begin();
    process.onList(four);
    process.onList(listOf(2, {four.endpoints[0]}));
    process.finishDue();
  }
  RelayFixture process(disk, clock, options);
  process.begin();
  CHECK(process.directory.endpoints().all().size() == 4);
  CHECK(process.directory.needsCompleteList());
  process.onList(listOf(2, {four.endpoints[0]}));
  CHECK_FALSE(process.directory.needsCompleteList());
  process.advance(61e3);
  CHECK(process.directory.endpoints().all().size() == 1);
  // The removal at the end of the guard is written to the cache, although discovery sent no answer since.
  lab::FaultyFiles files(disk);
  CHECK(textOf(readCachedList(files, "/s", &kNames).list) == textOf(process.directory.endpoints().all()));
}
