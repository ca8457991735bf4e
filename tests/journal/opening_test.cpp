// Folders that the journal refuses to open.
#include <doctest/doctest.h>

#include <cerrno>
#include <sstream>
#include <string>

#include "lab/faulty_files.h"
#include "lab/hand_clock.h"
#include "tests/journal/journal_site.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;
using lab::Disk;
using lab::FaultyFiles;
using lab::HandClock;

TEST_CASE("a locked folder, a newer version or an unreadable folder is rejected without any change") {
  Disk disk;
  {
    OpenedJournal opened(disk);
    PendingRequest a = pendingRequest("a");
    REQUIRE(opened.journal->recordAccepted(a));
    OpenedJournal second(disk);
    CHECK_FALSE(second.good);
    CHECK(second.error.find("pid 12") != std::string::npos);
  }
  Disk newer = disk;
  // A file of a later version, of which only the format of the first 16 bytes is known.
  newer.files["/s/" + segmentName(9)] = encodePreamble(kJournalVersion + 1) + "whatever it then says";
  const auto before = newer.files;
  OpenedJournal opened(newer);
  CHECK_FALSE(opened.good);
  CHECK(opened.error.find("version " + std::to_string(kJournalVersion + 1) + ";") != std::string::npos);
  Disk unread = disk;
  {
    HandClock clock;
    std::ostringstream log;
    FaultyFiles files(unread);
    files.failReads(EIO);
    Journal journal({files, clock, log}, {"/s", 1000000, 0, {}, "first", 5});
    const auto found = journal.open();
    CHECK_FALSE(found);
    CHECK(found.error().message.find("cannot be read") != std::string::npos);
    CHECK(files.operations() == 0);
  }
  newer.files.erase("/s/journal.lock");
  auto expected = before;
  expected.erase("/s/journal.lock");
  CHECK(newer.files == expected);
}
