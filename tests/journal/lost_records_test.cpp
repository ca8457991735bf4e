// Records lost in damaged, truncated or missing segments, and the ambiguous attempts added for them.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "lab/faulty_files.h"
#include "tests/journal/journal_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;

TEST_CASE(
    "a lost attempt is recovered as an ambiguous one, unless later records prove that none is missing") {
  Disk disk;
  std::size_t hit = 0;
  {
    OpenedJournal opened(disk);
    PendingRequest a = pendingRequest("a"), b = pendingRequest("b"), c = pendingRequest("c"),
                   d = pendingRequest("d"), e = pendingRequest("e");
    REQUIRE(opened.journal->recordAccepted(a));
    REQUIRE(opened.journal->recordAccepted(b));
    REQUIRE(opened.journal->recordAccepted(d));
    REQUIRE(opened.journal->recordAccepted(e));
    REQUIRE(opened.journal->recordAttempt(e, {"E1", 0, 1000, 0}));
    hit = segmentBytes(disk, 1).size() + kFrameBytes + 3;
    REQUIRE(opened.journal->recordAttempt(e, {"E2", 0, 1000, 0}));
    const std::size_t second = segmentBytes(disk, 1).size() + kFrameBytes + 3;
    REQUIRE(opened.journal->recordAttempt(a, {"E1", 0, 1000, 0}));
    disk.files["/s/" + segmentName(1)][second] ^= 4;
    REQUIRE(opened.journal->recordNotExecuted(a));
    REQUIRE(opened.journal->recordNotExecuted(e));
    REQUIRE(opened.journal->recordAttempt(b, {"E1", 0, 1000, 0}));
    REQUIRE(opened.journal->recordAccepted(c));
    REQUIRE(opened.journal->recordAttempt(c, {"E1", 0, 1000, 0}));
  }
  disk.files["/s/" + segmentName(1)][hit] ^= 4;
  for (int start = 0; start < 3; ++start) {
    OpenedJournal opened(disk);
    REQUIRE(opened.good);
    const auto request = [&](const char* id) -> PendingRequest& {
      return opened.found.pending.find(id)->pending;
    };
    // The record that an attempt was not executed refers to a lost attempt and must not remove any other.
    REQUIRE(request("a").ambiguousAttempts.size() == 1 + (start > 1 ? 1 : 0));
    CHECK(request("a").ambiguousAttempts[0].attempt == RecordedAttempt::kLostAttempt);
    CHECK(request("a").ambiguousAttempts[0].zone == RecordedAttempt::kLostZone);
    CHECK(request("a").ambiguousAttempts[0].sentWallMs == 500);  // the time at which it was accepted
    REQUIRE(request("b").ambiguousAttempts.size() == 1);         // attempt 0 is recorded: none is missing
    CHECK(request("b").ambiguousAttempts[0].attempt == 0);
    CHECK(request("c").ambiguousAttempts.size() == 1);  // accepted after the damaged record
    CHECK(request("d").ambiguousAttempts.size() == 1);
    // Its second attempt is lost and its first is not: that the second was not executed must not remove the
    // first.
    CHECK(std::any_of(request("e").ambiguousAttempts.begin(), request("e").ambiguousAttempts.end(),
                      [](const RecordedAttempt& attempt) { return attempt.attempt == 0; }));
    // An attempt by the process that recovered the damaged journal must not be taken as proof that none was
    // lost.
    if (start == 1) REQUIRE(opened.journal->recordAttempt(request("a"), {"E3", 1, 2000, 0}));
  }
}

TEST_CASE("damage at the end of the log is still detected at the second and third start") {
  enum class How { kFlipped, kCutInside, kCutBetween };
  for (const How how : {How::kFlipped, How::kCutInside, How::kCutBetween}) {
    Disk disk;
    std::size_t beforeAttempt = 0;
    {
      OpenedJournal opened(disk);
      PendingRequest charge = pendingRequest("charge", 2);
      REQUIRE(opened.journal->recordAccepted(charge));
      beforeAttempt = segmentBytes(disk, 1).size();
      REQUIRE(opened.journal->recordAttempt(charge, {"E1", 0, 1000, 0}));
    }
    if (how != How::kFlipped)
      OpenedJournal another(disk);  // creates the next segment, whose header records the length of this one
    std::string& bytes = disk.files["/s/" + segmentName(1)];
    if (how == How::kFlipped)
      bytes[bytes.size() - 3] ^= 1;
    else
      bytes.resize(how == How::kCutInside ? bytes.size() - 20 : beforeAttempt);
    for (int start = 0; start < 3; ++start) {
      CAPTURE(start);
      OpenedJournal opened(disk);
      REQUIRE(opened.found.corruptions.size() == 1);
      REQUIRE(opened.found.pending.find("charge")->pending.ambiguousAttempts.size() == 1);
    }
  }
}

TEST_CASE(
    "a missing or truncated segment is reported, and requests that may have had records in it become "
    "ambiguous") {
  for (const bool cut : {false, true}) {
    Disk disk;
    PendingRequest first = pendingRequest("first");
    std::vector<PendingRequest> others;
    {
      OpenedJournal opened(disk, 62500);
      REQUIRE(opened.journal->recordAccepted(first));
      others.reserve(100);
      for (int i = 0; i < 40; ++i) {
        others.push_back(pendingRequest(numbered('o', i)));
        REQUIRE(opened.journal->recordAccepted(others.back()));
        REQUIRE(opened.journal->recordAttempt(others.back(), {"E1", 0, 1000, 0}));
      }
      REQUIRE(opened.journal->usage().segments > 2);
    }
    std::string& second = disk.files["/s/" + segmentName(2)];
    if (cut)
      second.resize(second.size() / 2);
    else
      disk.files.erase("/s/" + segmentName(2));
    OpenedJournal opened(disk, 62500);
    REQUIRE(opened.good);
    REQUIRE(!opened.found.corruptions.empty());
    CHECK(opened.found.corruptions[0].file == segmentName(2));
    REQUIRE(opened.found.pending.find("first"));
    CHECK(opened.found.pending.find("first")->pending.ambiguousAttempts.size() == 1);
    CHECK(opened.found.pending.find("o39")->pending.ambiguousAttempts.size() == 1);  // its own attempt
  }
}
