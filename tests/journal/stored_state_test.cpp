// Compatibility with journals written by the program of commit d274781 and by earlier ones. The expected
// lines were produced by the programs that wrote the folders; see stored_state.h.
#include "tests/journal/stored_state.h"

#include <doctest/doctest.h>

#include <array>

using namespace myrtleloft;
using namespace myrtleloft::testing;

namespace {

struct Counts {
  std::array<std::size_t, 5> classes{};
  std::array<std::size_t, 3> tenants{}, statuses{};  // undecided, failed, returned
  std::size_t keyed = 0, retries = 0, ambiguous = 0, ambiguousAttempts = 0, attempts = 0, bodyBytes = 0;
  bool operator==(const Counts&) const = default;
};
Counts countsOf(const Recovered& found) {
  Counts counts;
  for (const RecoveredRequest& request : found.pending) {
    const PendingRequest& pending = request.pending;
    ++counts.classes.at(static_cast<std::size_t>(pending.classIndex));
    ++counts.tenants.at(static_cast<std::size_t>(pending.tenant));
    ++counts.statuses.at(static_cast<std::size_t>(pending.status));
    counts.keyed += !pending.key.empty();
    counts.retries += pending.isRetry;
    counts.ambiguous += !pending.ambiguousAttempts.empty();
    counts.ambiguousAttempts += pending.ambiguousAttempts.size();
    counts.attempts += static_cast<std::size_t>(pending.attempts);
    counts.bodyBytes += pending.body.size();
  }
  return counts;
}

constexpr std::array<const char*, 4> kFolders = {"version-1", "upgraded", "current", "program"};

// Returns the name table in a folder, or that of the programs that continued it if it has none.
NameTable namesIn(const std::string& name) {
  const Recovered found = read((kStoredStates / name).string());
  return found.nameTables.empty() ? kWriterNames : found.nameTables.front();
}

}  // namespace

TEST_CASE("stored state: each folder is read as it was written") {
  for (const std::string name : kFolders) {
    CAPTURE(name);
    const std::string folder = (kStoredStates / name).string();
    checkSame(linesOf(folder, read(folder)), expectedLines(name + ".txt"));
  }
}

TEST_CASE("stored state: the number of requests of each kind") {
  CHECK((countsOf(read((kStoredStates / "version-1").string())) ==
         Counts{{11, 10, 10, 10, 10}, {17, 17, 17}, {41, 6, 4}, 30, 5, 34, 51, 76, 11117}));
  CHECK((countsOf(read((kStoredStates / "upgraded").string())) ==
         Counts{{42, 42, 40, 44, 43}, {69, 68, 74}, {143, 41, 27}, 126, 23, 158, 261, 383, 44209}));
  CHECK((countsOf(read((kStoredStates / "current").string())) ==
         Counts{{58, 60, 59, 60, 58}, {95, 100, 100}, {225, 43, 27}, 179, 29, 207, 332, 487, 55583}));
  CHECK((countsOf(read((kStoredStates / "program").string())) ==
         Counts{{34, 33, 33, 0, 0}, {50, 50, 0}, {63, 3, 34}, 100, 0, 17, 18, 165, 6730}));
}

TEST_CASE("stored state: opening each folder recovers the same requests") {
  for (const std::string name : kFolders) {
    CAPTURE(name);
    const StoredCopy copy(name.c_str());
    // Times are converted to the clock of the last process. For the other folders they equal the recorded
    // ones.
    const Lines expected = name == "current" ? expectedLines("current-served.txt")
                                             : withoutSegment(expectedLines(name + ".txt"));
    OpenedFolder service(copy.path, clockOfLast(name), namesIn(name));
    REQUIRE_EQ(service.error, "");
    REQUIRE(service.open);
    CHECK(service.journal->writable());
    CHECK(service.found.corruptions.empty());
    CHECK_EQ(service.journal->statistics().faults, 0);
    checkSame(withoutSegment(requestLines(service.found)), expected);
    // Opening the folder lost nothing: a later recovery finds the same requests.
    checkSame(withoutSegment(requestLines(read(copy.path))), withoutSegment(expectedLines(name + ".txt")));
    CHECK_FALSE(std::filesystem::exists(copy.path + "/" + kVersionOneName));
  }
}

TEST_CASE(
    "stored state: times are known for segments with a clock record from the same boot of the machine") {
  for (const bool sameRun : {true, false}) {
    for (const std::string name : kFolders) {
      CAPTURE(name);
      const StoredCopy copy(name.c_str());
      lab::HandClock clock = clockOfLast(name);
      if (!sameRun) clock.run = "another run";
      OpenedFolder service(copy.path, clock, namesIn(name));
      REQUIRE(service.open);
      std::size_t known = 0;
      for (const RecoveredRequest& request : service.found.pending) known += request.timesKnown;
      // In the folder `upgraded` only segments 7 to 9 have version 4, and with it clock records.
      CHECK_EQ(known, !sameRun ? 0 : name == "upgraded" ? 60 : name == "current" ? 295 : 0);
      if (!sameRun)
        checkSame(withoutSegment(requestLines(service.found)), withoutSegment(expectedLines(name + ".txt")));
    }
  }
}

TEST_CASE("stored state: further attempts, compaction and completions continue the stored journal") {
  for (const std::string name : kFolders) {
    CAPTURE(name);
    const StoredCopy copy(name.c_str());
    Lines expected;
    std::uint64_t newest = 0;
    {
      OpenedFolder service(copy.path, clockOfLast(name), namesIn(name));
      REQUIRE(service.open);
      for (RecoveredRequest& request : service.found.pending) {
        PendingRequest& pending = request.pending;
        if (pending.status != FinalStatus::kUndecided) continue;
        const int before = pending.attempts;
        REQUIRE(service.journal->recordAttempt(pending, {"G1", 2, service.journal->nowMs(), 0}));
        CHECK_EQ(pending.attempts, before + 1);
        CHECK_EQ(pending.ambiguousAttempts.back().attempt, before);
      }
      expected = withoutSegment(requestLines(service.found));
      newest = service.journal->newestSegment();
    }
    {
      OpenedFolder service(copy.path, clockOfLast(name), namesIn(name), 2);
      REQUIRE(service.open);
      checkSame(withoutSegment(requestLines(service.found)), expected);
      for (int i = 0; i < 100 && service.journal->wantsCompaction(); ++i)
        REQUIRE(service.journal->compactStep());
      CHECK(service.journal->oldestSegment() > newest);  // all earlier segments were rewritten
    }
    {
      OpenedFolder service(copy.path, clockOfLast(name), namesIn(name));
      REQUIRE(service.open);
      CHECK(service.found.corruptions.empty());
      checkSame(withoutSegment(requestLines(service.found)), expected);
      for (RecoveredRequest& request : service.found.pending)
        REQUIRE(service.journal->recordCompleted(request.pending));
    }
    CHECK(read(copy.path).pending.empty());
  }
}
