// Test fixture: a journal on a disk in memory, and requests for it.
#pragma once

#include <memory>
#include <sstream>
#include <string>

#include "journal/journal.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"

namespace myrtleloft::testing {

constexpr std::size_t kSmallDisk = 62500;

inline std::string segmentPath(std::uint64_t sequence) { return "/s/" + segmentName(sequence); }

inline std::string segmentBytes(lab::Disk& disk, std::uint64_t sequence) {
  return disk.files.at(segmentPath(sequence));
}

inline std::string numbered(char letter, int number) {
  return std::string(1, letter).append(std::to_string(number));
}

inline PendingRequest pendingRequest(const std::string& id, int classIndex = 0) {
  PendingRequest request;
  request.id = id;
  request.key = id;
  request.body = std::string(100, 'b');
  request.classIndex = classIndex;
  request.acceptedWallMs = 500;
  return request;
}

inline std::size_t recordSize(const PendingRequest& request) { return kFrameBytes + encodedSize(request); }

// Opens the journal of the disk's folder as a process would, and attaches all recovered requests.
struct OpenedJournal {
  explicit OpenedJournal(lab::Disk& disk, std::size_t limit = 1000000) : files(disk) {
    JournalOptions options;
    options.folder = "/s";
    options.diskBytes = limit;
    options.salt = 7;
    options.owner = "pid 12";
    journal = std::make_unique<Journal>(Journal::Parts{files, clock, log}, options);
    auto opened = journal->open();
    good = static_cast<bool>(opened);
    if (good)
      found = std::move(*opened);
    else
      error = opened.error().message;
    for (RecoveredRequest& request : found.pending) journal->attach(request.pending);
  }

  lab::HandClock clock;
  lab::FaultyFiles files;
  std::ostringstream log;
  Recovered found;
  std::string error;
  std::unique_ptr<Journal> journal;
  bool good = false;
};

}  // namespace myrtleloft::testing
