// Name tables at the start of segments: crashes, damage and the disk budget.
#include <doctest/doctest.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/journal/name_table_site.h"
#include "tests/journal/version_one_writer.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

TEST_CASE("restarts without any record leave a single segment") {
  Disk disk;
  for (int start = 0; start < 5; ++start) {
    Opened opened(disk, start % 2 == 0 ? kOriginalNames : kReorderedNames);
    REQUIRE(opened.good);
    CHECK(opened.journal->newestSegment() == 1);
  }
}

TEST_CASE(
    "a damaged name table is read from its other copy; with both damaged, no request of the segment is "
    "sent") {
  Disk undamaged;
  writeRequests(undamaged, kOriginalNames);
  const std::string path = "/s/" + segmentName(1);
  const std::size_t copy = (Journal::headBytes(kOriginalNames) - kSegmentHeaderBytes) / 2;
  for (std::size_t at = kSegmentHeaderBytes; at < Journal::headBytes(kOriginalNames); ++at) {
    Disk disk = undamaged;
    disk.files[path][at] = static_cast<char>(disk.files[path][at] ^ (1 << (at % 8)));
    Opened opened(disk, kReorderedNames);
    REQUIRE(opened.good);
    CHECK(opened.found.corruptions.size() == 1);
    REQUIRE(opened.found.pending.size() == 4);
    CHECK(opened.of("c").pending.classIndex == 0);
    CHECK(opened.of("u").pending.ambiguousAttempts.empty());  // its records follow the damage
  }
  Disk disk = undamaged;
  disk.files[path][kSegmentHeaderBytes + 20] ^= 1;
  disk.files[path][kSegmentHeaderBytes + copy + 20] ^= 1;
  Opened opened(disk, kOriginalNames);  // the settings are the same, but nothing proves that
  REQUIRE(opened.good);
  REQUIRE(opened.found.pending.size() == 4);
  for (RecoveredRequest& request : opened.found.pending)
    CHECK_FALSE(mayContinue(request.pending, request.permission, settingsOf(kOriginalNames), {2000, 0, 0}));
}

TEST_CASE(
    "a crash at any operation while another configuration opens the folder does not confuse the numbers") {
  Disk undamaged;
  writeRequests(undamaged, kOriginalNames);
  for (int at = 1; at < 40; ++at) {
    Disk disk = undamaged;
    {
      FaultyFiles files(disk);
      files.crashAt(at, static_cast<std::size_t>(at) * 37);
      HandClock clock;
      std::ostringstream log;
      JournalOptions options{"/s", 62500, 0, {}, "the test", 7};
      options.names = kReorderedNames;
      options.tuning.freeShare = 1;
      options.tuning.maxSegments = 1;
      Journal journal({files, clock, log}, options);
      if (auto found = journal.open()) {
        for (RecoveredRequest& request : found->pending) journal.attach(request.pending);
        for (int i = 0; i < 10 && journal.wantsCompaction(); ++i) journal.compactStep();
      }
    }
    CAPTURE(at);
    Opened opened(disk, kOriginalNames);
    REQUIRE(opened.good);
    REQUIRE(opened.found.pending.size() == 4);
    CHECK(opened.found.corruptions.empty());
    CHECK(opened.of("c").pending.classIndex == 2);
    CHECK(opened.of("o").pending.classIndex == 1);
    CHECK(opened.of("o").pending.tenant == 1);
    CHECK(opened.of("o").pending.ambiguousAttempts.front().zone == 1);
  }
}

TEST_CASE("with name tables of the largest permitted size, the disk budget holds") {
  NameTable large = kOriginalNames;
  while (Journal::headBytes(large) < 62500 / 32 - 100)
    large.tenants.push_back("tenant-" + std::to_string(large.tenants.size()));
  Disk disk;
  Opened opened(disk, large, 62500);
  REQUIRE(opened.good);
  std::vector<std::unique_ptr<PendingRequest>> requests;
  for (int i = 0; i < 4000; ++i) {
    auto request = std::make_unique<PendingRequest>(pending(("r" + std::to_string(i)).c_str(), 0));
    if (opened.journal->recordAccepted(*request)) requests.push_back(std::move(request));
    if (requests.size() > 4 || opened.journal->usage().used > 60000) {
      REQUIRE(opened.journal->recordCompleted(*requests.front()));
      requests.erase(requests.begin());
    }
    for (int i = 0; i < 100 && opened.journal->wantsCompaction(); ++i) REQUIRE(opened.journal->compactStep());
    std::size_t used = 0;
    for (const auto& [path, bytes] : disk.files) used += roundUpToBlocks(bytes.size());
    REQUIRE(used <= 62500);
    REQUIRE(!requests.empty());
  }
}

TEST_CASE(
    "a version 1 file is converted to a segment with a name table: its numbers are those of the current "
    "settings") {
  VersionOne old;
  old.accepted(pending("a", 2));
  old.attempt("a", {"E1", 1, 1000, 0});
  Disk undamaged;
  undamaged.files["/s/journal"] = old.bytes;
  for (int at = 0; at < 12; ++at) {  // 0: no crash
    Disk disk = undamaged;
    {
      FaultyFiles files(disk);
      if (at > 0) files.crashAt(static_cast<std::uint64_t>(at), static_cast<std::size_t>(at) * 50);
      HandClock clock;
      std::ostringstream log;
      JournalOptions options{"/s", 62500, 0, {}, "the test", 7};
      options.names = kOriginalNames;
      Journal journal({files, clock, log}, options);
      if (auto found = journal.open()) CHECK(found->pending.find("a")->pending.classIndex == 2);
    }
    CAPTURE(at);
    const bool converted = disk.files.count("/s/journal") == 0;
    Opened opened(disk, kReorderedNames);
    REQUIRE(opened.good);
    // After the conversion its numbers are translated by the names of the converting process.
    if (converted) CHECK(opened.of("a").pending.classIndex == 0);
    if (converted) CHECK(opened.of("a").pending.ambiguousAttempts.front().zone == 0);
    CHECK(opened.of("a").pending.ambiguousAttempts.size() == 1);
  }
}
