// Reading cache files with a missing record, flipped bits or a truncated end.
#include <doctest/doctest.h>

#include <string>

#include "journal/segment.h"
#include "tests/discovery/endpoint_directory_fixture.h"

using namespace myrtleloft;
using lab::Disk;

TEST_CASE("a cached list with a missing record is not used though the others are sound") {
  HandClocks clock;
  Disk disk = diskWith(threeEndpoints(), clock);
  std::string& bytes = disk.files.at("/s/members");
  // The header is followed by three records: the begin record, the endpoints and the commit.
  SegmentScanner scanner(bytes, 77, 0, SegmentScanner::kUnknownEnd);
  scanner.next();
  const Piece endpoints = scanner.next();
  REQUIRE(endpoints.payload.front() == 'P');
  bytes.erase(endpoints.offset, endpoints.bytes);
  lab::FaultyFiles files(disk);
  const CachedList cached = readCachedList(files, "/s", &kNames);
  CHECK_FALSE(cached.usable);
  CHECK(
      has(cached.fault ? describe(*cached.fault) : "", "number of endpoints differs from the committed one"));
}

TEST_CASE("a cached list with any bit flipped is not accepted as complete") {
  HandClocks clock;
  Disk disk;
  {
    RelayFixture process(disk, clock);
    process.begin();
    process.onList(threeEndpoints());
    process.finishDue();
    process.onList(listOf(41, {endpoint("b", 7, 3002, EndpointState::kDraining)}, false));
    process.finishDue();
  }
  const std::string good = disk.files.at("/s/members");
  lab::FaultyFiles files(disk);
  const std::string announced = textOf(readCachedList(files, "/s", &kNames).list);
  CHECK(has(announced, "b@127.0.0.1:3002/7-drains"));
  std::size_t rejected = 0, cut = 0;
  for (std::size_t bit = 0; bit < good.size() * 8; bit += 3) {
    std::string& bytes = disk.files["/s/members"];
    bytes = good;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
    const CachedList cached = readCachedList(files, "/s", &kNames);
    CAPTURE(bit);
    rejected += !cached.usable;
    cut += cached.usable && !cached.complete;
    if (!cached.usable) REQUIRE(cached.fault.has_value());
    // The header has two copies, so a bit flipped in one of them is harmless.
    if (cached.usable && cached.complete) REQUIRE(textOf(cached.list) == announced);
  }
  CHECK(rejected > good.size());
  // A file truncated at any byte is unusable, incomplete, or equal to the file at an earlier commit.
  for (std::size_t size = 0; size < good.size(); ++size) {
    disk.files["/s/members"] = good.substr(0, size);
    const CachedList cached = readCachedList(files, "/s", &kNames);
    if (cached.usable && cached.complete) CHECK(textOf(cached.list) == textOf(threeEndpoints()));
  }
}
