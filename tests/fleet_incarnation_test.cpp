// Tests of the run number in the state folder: across restarts, damaged files, a full disk, and a crash at
// each file operation.
#include <doctest/doctest.h>

#include <cerrno>
#include <set>
#include <string>

#include "fleet/incarnation.h"
#include "journal/planner.h"
#include "lab/faulty_files.h"
#include "lab/module_site.h"

using namespace myrtleloft;
using lab::Disk;
using lab::FaultyFiles;

namespace {

StoredIncarnation start(Disk& disk, lab::CountedShare& share, std::uint64_t salt) {
  FaultyFiles files(disk);
  return nextIncarnation({files, share}, "/s", salt);
}

}  // namespace

TEST_CASE("starts are counted in one folder, and an empty one begins another life") {
  Disk disk;
  lab::CountedShare share;
  CHECK((start(disk, share, 11).incarnation == Incarnation{11, 1}));
  CHECK((start(disk, share, 12).incarnation == Incarnation{11, 2}));
  disk.losePower();  // the number was durable before it was used
  CHECK((start(disk, share, 13).incarnation == Incarnation{11, 3}));
  CHECK_EQ(disk.files.size(), 1);
  disk.files.clear();
  const StoredIncarnation anew = start(disk, share, 14);
  CHECK((anew.incarnation == Incarnation{14, 1}));
  CHECK((anew.damage.empty() && anew.fault.empty()));
}

TEST_CASE("any damage begins a new life, and is told") {
  Disk good;
  lab::CountedShare share;
  start(good, share, 11);
  const std::string bytes = good.files.begin()->second;
  for (std::size_t at = 0; at <= bytes.size(); ++at) {
    Disk disk = good;
    std::string& file = disk.files.begin()->second;
    if (at < bytes.size())
      file[at] = static_cast<char>(file[at] ^ 4);
    else
      file += 'x';
    const StoredIncarnation kept = start(disk, share, 22);
    CHECK((kept.incarnation == Incarnation{22, 1}));
    CHECK_FALSE(kept.damage.empty());
    CHECK((start(disk, share, 23).incarnation == Incarnation{22, 2}));
  }
}

TEST_CASE(
    "an end at any operation: no start has the number of another, and the folder's room is kept count of") {
  for (std::uint64_t n = 1; n <= 8; ++n)
    for (const bool powerLost : {false, true}) {
      Disk disk;
      lab::CountedShare share;
      std::set<std::pair<std::uint64_t, std::uint64_t>> given;
      const auto give = [&](const StoredIncarnation& kept) {
        CHECK(given.emplace(kept.incarnation.life, kept.incarnation.start).second);
      };
      give(start(disk, share, 11));
      {
        FaultyFiles files(disk);
        files.crashAt(n, 7);
        lab::CountedShare gone;
        const StoredIncarnation kept = nextIncarnation({files, gone}, "/s", 12);
        if (kept.fault.empty()) give(kept);  // otherwise the process ended before it used the number
      }
      if (powerLost) disk.losePower();
      give(start(disk, share, 13));
      give(start(disk, share, 14));
      CHECK_EQ(disk.files.size(), 1);
    }
}

TEST_CASE("a disk that refuses: a life of this process alone, the room given back") {
  Disk disk;
  lab::CountedShare share;
  start(disk, share, 11);
  const std::size_t before = share.used;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    FaultyFiles files(disk);
    files.failAt(n, 1, ENOSPC);
    const StoredIncarnation kept = nextIncarnation({files, share}, "/s", 20 + n);
    if (kept.fault.empty()) continue;  // the failed operation was the removal of a missing file
    CHECK((kept.incarnation == Incarnation{20 + n, 1}));
    CHECK_EQ(share.used, before);
  }
  share.most = share.used;
  const StoredIncarnation kept = start(disk, share, 31);
  CHECK((kept.incarnation == Incarnation{31, 1}));
  CHECK_FALSE(kept.fault.empty());
}
