// Damaged bytes in the journal: what is recovered in spite of them, and how they are quarantined.
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/faulty_files.h"
#include "tests/journal/journal_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;

namespace {

// The undamaged state. Recovery from damaged files must never make a request look less ambiguous than it is
// here.
struct ExpectedState {
  std::map<std::string, int> attempts;  // of pending requests, by id
  std::set<std::string> decided;
};

}  // namespace

TEST_CASE("after a flipped bit at any of 500 positions, no attempt is silently lost") {
  Disk undamaged;
  ExpectedState expected;
  {
    OpenedJournal opened(undamaged, 62500);
    std::map<std::string, PendingRequest> all;
    for (int i = 0; i < 60; ++i) {
      const std::string id = numbered('m', i);
      all[id] = pendingRequest(id, i % 3);
      REQUIRE(opened.journal->recordAccepted(all[id]));
      if (i % 2 == 0) REQUIRE(opened.journal->recordAttempt(all[id], {"E1", 0, 1000, 0}));
      if (i % 6 == 0) {
        REQUIRE(opened.journal->recordNotExecuted(all[id]));
        REQUIRE(opened.journal->recordAttempt(all[id], {"E2", 0, 1001, 0}));
      }
      if (i % 5 == 0) REQUIRE(opened.journal->recordFinalStatus(all[id], FinalStatus::kFailed, 0));
      if (i % 7 == 0) {
        opened.journal->recordCompleted(all[id]);
        all.erase(id);
      }
    }
    for (const auto& [id, request] : all)
      if (request.status == FinalStatus::kUndecided)
        expected.attempts[id] = static_cast<int>(request.ambiguousAttempts.size());
      else
        expected.decided.insert(id);
  }
  std::vector<std::pair<std::string, std::size_t>> places;
  for (const auto& [path, bytes] : undamaged.files)
    if (path.ends_with(".seg"))
      for (std::size_t at = 0; at < bytes.size(); ++at) places.emplace_back(path, at);
  std::mt19937 random(3);
  std::shuffle(places.begin(), places.end(), random);
  places.resize(500);
  std::size_t recovered = 0;
  for (const auto& [path, at] : places) {
    Disk disk = undamaged;
    disk.locks.clear();
    disk.files[path][at] = static_cast<char>(disk.files[path][at] ^ (1 << (at % 8)));
    CAPTURE(path);
    CAPTURE(at);
    const bool header = at < kSegmentHeaderBytes;
    for (int start = 0; start < 2; ++start) {  // the second start must detect the damage as well
      OpenedJournal opened(disk, 62500);
      REQUIRE(opened.good);
      if (start == 0) REQUIRE(opened.found.corruptions.size() == (header ? 0 : 1));
      if (start == 0 && !header) {
        CHECK(opened.log.str().find(path.substr(3) + " is damaged at byte ") != std::string::npos);
        CHECK(std::any_of(disk.files.begin(), disk.files.end(),
                          [](const auto& f) { return f.first.starts_with("/s/damaged-"); }));
      }
      std::size_t lost = 0;
      for (const auto& [id, attempts] : expected.attempts) {
        const RecoveredRequest* found = opened.found.pending.find(id);
        if (!found) {
          ++lost;  // its accepted record was damaged, and no other record refers to it
          REQUIRE(attempts == 0);
          continue;
        }
        const PendingRequest& request = found->pending;
        if (request.status == FinalStatus::kUndecided) {
          REQUIRE(request.ambiguousAttempts.size() >= static_cast<std::size_t>(attempts));
          REQUIRE(request.body.size() == 100);
        } else {
          REQUIRE(request.status == FinalStatus::kFailed);  // only its id was recovered
        }
      }
      REQUIRE(lost <= 1);
      for (const std::string& id : expected.decided) {
        const RecoveredRequest* found = opened.found.pending.find(id);
        REQUIRE(found);
        const PendingRequest& request = found->pending;
        REQUIRE((request.status == FinalStatus::kFailed || !request.ambiguousAttempts.empty()));
      }
      recovered += opened.found.pending.size();
    }
  }
  CHECK(recovered > 2 * 500 * 50);  // records after the damage are read
}
TEST_CASE("a journal record inside a request body is never recovered as a record") {
  Disk disk;
  std::string forged;
  const std::size_t at = openFrame(forged);
  encode(CompletedRecord{"victim"}, forged);
  closeFrame(forged, at, 0, 1);  // everything except the salt is public knowledge
  std::size_t hit = 0;
  {
    OpenedJournal opened(disk);
    PendingRequest victim = pendingRequest("victim"), attacker = pendingRequest("mean");
    attacker.body = forged + forged;
    REQUIRE(opened.journal->recordAccepted(victim));
    hit = segmentBytes(disk, 1).size() + 6;
    REQUIRE(opened.journal->recordAccepted(attacker));
  }
  disk.files["/s/" + segmentName(1)][hit] ^= 1;
  OpenedJournal opened(disk);
  CHECK(opened.found.pending.find("victim"));
  CHECK(opened.found.corruptions.size() == 1);
}

TEST_CASE("quarantined bytes stay within their limits, and the oldest files are deleted first") {
  Disk disk;
  constexpr std::size_t kLimit = 250000;
  std::deque<PendingRequest> requests;
  {
    OpenedJournal opened(disk, kLimit);
    for (int i = 0; i < 120; ++i)
      REQUIRE(opened.journal->recordAccepted(requests.emplace_back(pendingRequest(numbered('k', i)))));
  }
  std::size_t corrupt = 0;
  for (auto& [path, bytes] : disk.files)
    for (std::size_t at = kSegmentHeaderBytes + 40; path.ends_with(".seg") && at + 1000 < bytes.size();
         at += 700) {
      bytes[at] ^= 1;
      ++corrupt;
    }
  REQUIRE(corrupt > 20);
  for (int start = 0; start < 3; ++start) {
    OpenedJournal opened(disk, kLimit);
    REQUIRE(opened.good);
    CHECK(opened.found.corruptions.size() == corrupt);
    std::size_t files = 0, sum = 0;
    for (const auto& [path, bytes] : disk.files) {
      if (!path.starts_with("/s/damaged-")) continue;
      ++files;
      sum += roundUpToBlocks(bytes.size());
    }
    CHECK(files > 5);
    CHECK(files <= 16);
    CHECK(sum <= kLimit / 32);
    CHECK(disk.most <= kLimit);
  }
}
