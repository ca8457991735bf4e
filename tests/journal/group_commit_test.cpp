// Durability level `group`: which records a sync covers, and what happens after a failed sync.
#include <doctest/doctest.h>

#include <cerrno>
#include <deque>
#include <map>
#include <set>
#include <sstream>
#include <string>

#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "lab/hand_syncer.h"
#include "tests/journal/journal_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;
using lab::HandClock;

TEST_CASE("group commit: one sync covers many records, and durable records survive a power loss") {
  Disk disk;
  FaultyFiles files(disk);
  lab::HandSyncer syncer(files);
  HandClock clock;
  std::ostringstream log;
  std::deque<PendingRequest> requests;
  std::set<std::string> promised;
  {
    Journal journal({files, clock, log, &syncer}, {"/s", 62500, 0, {}, "first", 5});
    REQUIRE(journal.open());
    std::size_t syncs = 0;
    std::map<std::string, std::uint64_t> waits;
    for (int turn = 0; turn < 120; ++turn) {
      for (int i = 0; i < 5; ++i) {
        PendingRequest& request = requests.emplace_back(pendingRequest(numbered('g', turn * 5 + i), 2));
        if (!journal.recordAccepted(request)) {
          requests.pop_back();
          continue;
        }
        if (i == 0) REQUIRE(journal.recordAttempt(request, {"E1", 0, 1000, 0}));
        waits[request.id] = journal.position();
      }
      journal.sync();
      CHECK(syncer.jobs.size() <= 1);  // one job for all records of this iteration
      if (turn % 3 == 0) {
        syncs += syncer.jobs.size();
        syncer.work();
        REQUIRE(journal.collect());
      }
      journal.compactStep();
      for (const auto& [id, position] : waits)
        if (position <= journal.durable()) promised.insert(id);
      while (requests.size() > 15) {
        promised.erase(requests.front().id);
        journal.recordCompleted(requests.front());
        requests.pop_front();
      }
    }
    CHECK(syncs <= 41);
    CHECK(journal.statistics().deletedSegments > 5);
    CHECK(promised.size() >= 5);
  }
  disk.losePower();
  OpenedJournal opened(disk, 62500);
  REQUIRE(opened.good);
  for (const PendingRequest& request : requests) {
    if (!promised.count(request.id)) continue;
    REQUIRE(opened.found.pending.find(request.id));
    REQUIRE(opened.found.pending.find(request.id)->pending.ambiguousAttempts.size() >=
            request.ambiguousAttempts.size());
  }
}

TEST_CASE(
    "group commit: after a failed sync nothing is durable until all pending requests are in another file") {
  Disk disk;
  FaultyFiles files(disk);
  lab::HandSyncer syncer(files);
  HandClock clock;
  std::ostringstream log;
  std::deque<PendingRequest> requests;
  Journal journal({files, clock, log, &syncer}, {"/s", 1000000, 0, {}, "first", 5});
  REQUIRE(journal.open());
  for (int i = 0; i < 20; ++i)
    REQUIRE(journal.recordAccepted(requests.emplace_back(pendingRequest(numbered('f', i), 2))));
  journal.sync();
  syncer.work();
  REQUIRE(journal.collect());
  const std::uint64_t before = journal.durable();
  // The request is already durable, but the record of this attempt is covered by the sync that fails.
  REQUIRE(journal.recordAttempt(requests[3], {"E1", 0, 1000, 0}));
  files.failAt(files.operations() + 1, 1, EIO);
  journal.sync();
  syncer.work();
  CHECK_FALSE(journal.collect());
  CHECK(journal.durable() == before);
  PendingRequest fresh = pendingRequest("fresh");
  clock.nowMs += 1000;
  CHECK(journal.recordCompleted(requests[0]));  // another record to sync
  journal.sync();
  CHECK_FALSE(journal.recordAccepted(fresh));
  CHECK(syncer.jobs.empty());  // another sync of the same file could wrongly report success
  for (int i = 0; i < 10 && journal.wantsCompaction(); ++i) journal.compactStep();
  REQUIRE(syncer.jobs.size() == 1);
  syncer.work();
  REQUIRE(journal.collect());
  CHECK(journal.durable() == journal.position());
  CHECK(journal.recordAccepted(fresh));
  // After a power loss the file with the failed sync is gone; everything must be in the other one.
  disk.losePower();
  disk.files.erase("/s/" + segmentName(1));
  const auto after = recover(files, "/s");
  REQUIRE(after);
  CHECK(after->pending.size() == 19);
  CHECK(after->pending.find("f3")->pending.ambiguousAttempts.size() == 1);
}

namespace {

// Requests pending on a nearly full disk, each with an attempt that no sync has covered yet.
struct NearlyFullJournal {
  NearlyFullJournal() {
    REQUIRE(journal.open());
    // Every third request is completed, so that live records are spread over many segments.
    for (int i = 0; i < 60; ++i) {
      accept(i);
      if (i % 3 == 0) complete(requests.back());
      for (int syncs = 0; syncs < 2; ++syncs) {
        journal.sync();
        syncer.work();
        REQUIRE(journal.collect());
      }
    }
    complete(requests.back());  // makes space for another request
    for (PendingRequest& request : requests) REQUIRE(journal.recordAttempt(request, {"E1", 0, 1000, 0}));
    // The disk has no space to rewrite all live records: each further segment also costs its start and its
    // last block.
    const DiskUsage usage = journal.usage();
    const std::size_t more = usage.live / usage.segmentBytes + 1;
    REQUIRE(usage.used + usage.live + more * (usage.headBytes + kDiskBlock) > kSmallDisk);
  }

  void accept(int number) {
    PendingRequest& request = requests.emplace_back(pendingRequest(numbered('n', number), 2));
    request.body.resize(700);
    if (!journal.recordAccepted(request)) requests.pop_back();
  }
  void complete(PendingRequest& request) {
    journal.recordCompleted(request);
    requests.pop_back();
  }
  // Returns false if the sync failed.
  bool syncOnce() {
    syncer.work();
    return journal.collect();
  }
  void failNextSync() {
    files.failAt(files.operations() + 1, 1, EIO);
    journal.sync();
    REQUIRE(syncer.jobs.size() == 1);
    CHECK_FALSE(syncOnce());
  }
  // Checks that after a power loss at this moment all pending requests would be recovered.
  void checkNothingLost(std::size_t attempts) {
    Disk lost = disk;
    lost.losePower();
    FaultyFiles lostFiles(lost);
    const auto found = recover(lostFiles, "/s");
    REQUIRE(found);
    for (const PendingRequest& request : requests) {
      const RecoveredRequest* const recovered = found->pending.find(request.id);
      REQUIRE(recovered);
      REQUIRE(recovered->pending.ambiguousAttempts.size() >= attempts);
    }
  }

  Disk disk;
  FaultyFiles files{disk};
  lab::HandSyncer syncer{files};
  HandClock clock;
  std::ostringstream log;
  std::deque<PendingRequest> requests;
  Journal journal{{files, clock, log, &syncer}, {"/s", kSmallDisk, 4096, {}, "first", 5}};
};

}  // namespace

// Guards against a journal that never accepts requests again after a failed sync on a nearly full disk. There
// is space to rewrite the uncertain records only once older segments are deleted, and that requires a sync.
TEST_CASE(
    "group commit: after a failed sync on a nearly full disk, requests are accepted again and none is lost") {
  constexpr int kNoSecondFault = -1;
  for (int secondFault = kNoSecondFault; secondFault < 12; ++secondFault) {
    CAPTURE(secondFault);
    NearlyFullJournal nearlyFull;
    nearlyFull.failNextSync();
    PendingRequest fresh = pendingRequest("fresh");
    bool accepted = false;
    int syncs = 0;
    for (int step = 0; step < 400 && !accepted; ++step) {
      CAPTURE(step);
      nearlyFull.clock.nowMs += 5;
      nearlyFull.journal.compactStep();
      if (!nearlyFull.syncer.jobs.empty()) {
        if (syncs == secondFault) nearlyFull.files.failAt(nearlyFull.files.operations() + 1, 1, EIO);
        CHECK(nearlyFull.syncOnce() == (syncs != secondFault));
        ++syncs;
      }
      nearlyFull.checkNothingLost(0);
      accepted = nearlyFull.journal.recordAccepted(fresh);
    }
    CHECK(accepted);
    CHECK(syncs > 1);
    for (int i = 0; i < 3; ++i) {
      nearlyFull.journal.sync();
      CHECK(nearlyFull.syncOnce());
    }
    CHECK(nearlyFull.journal.durable() == nearlyFull.journal.position());
    nearlyFull.checkNothingLost(1);
  }
}
