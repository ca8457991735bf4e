// A random sequence of journal operations, determined by a seed, on a disk in memory, together with a model
// of the requests that recovery must return.
#pragma once

#include <cmath>
#include <list>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>

#include "journal/journal.h"
#include "lab/faulty_files.h"
#include "lab/hand_clock.h"

namespace myrtleloft::testing {

using lab::HandClock;

class RandomJournalRun {
 public:
  struct Expected {
    PendingRequest pending;          // the journal has a pointer to it
    std::set<int> attempts;          // numbers of recorded attempts that are not known not executed
    std::set<int> possibleAttempts;  // numbers of attempts whose record a failed operation may have written
    bool maybeCompleted = false;
    bool unrecorded = false;  // a final status could not be written, so the disk may not have it
  };

  RandomJournalRun(lab::Disk& disk, std::size_t diskBytes, std::uint32_t seed) : disk_(disk), random_(seed) {
    options_.folder = "/s";
    options_.diskBytes = diskBytes;
    options_.owner = "the test";
    options_.salt = 42;
  }

  // Opens the journal, and compares the recovered requests with the expected ones. Returns a description of
  // the error or of the first difference, or "" if there is none.
  std::string begin(lab::FaultyFiles& files) {
    files_ = &files;
    journal_ = std::make_unique<Journal>(Journal::Parts{files, clock, log}, options_);
    auto opened = journal_->open();
    if (!opened) return "cannot open: " + opened.error().message;
    Recovered& found = *opened;
    const std::string difference = compare(found);
    pendingById.clear();
    for (RecoveredRequest& request : found.pending) {
      Expected& expected = pendingById[request.pending.id];
      expected.pending = std::move(request.pending);
      for (const RecordedAttempt& recorded : expected.pending.ambiguousAttempts)
        expected.attempts.insert(recorded.attempt);
      journal_->attach(expected.pending);
    }
    return difference;
  }
  void end() {
    journal_.reset();
    files_ = nullptr;
  }

  // Performs a random operation on a random request, followed by a compaction step.
  void step() {
    clock.nowMs += stepMs;
    const unsigned operation = random_() % 100;
    if (pendingById.empty() || operation < 38) {
      accept();
    } else {
      auto at = pendingById.begin();
      std::advance(at, random_() % pendingById.size());
      Expected& expected = at->second;
      if (expected.pending.status != FinalStatus::kUndecided || operation < 65) {
        complete(at);
      } else if (operation < 85 && expected.attempts.size() < 4) {
        attempt(expected);
      } else if (operation < 92 && !expected.pending.ambiguousAttempts.empty() &&
                 expected.pending.ambiguousAttempts.back().attempt >= 0) {
        const int number = expected.pending.ambiguousAttempts.back().attempt;
        expected.attempts.erase(number);
        if (!journal_->recordNotExecuted(expected.pending)) expected.possibleAttempts.insert(number);
      } else {
        if (!journal_->recordFinalStatus(expected.pending, FinalStatus::kReturned, 250))
          expected.unrecorded = true;
      }
    }
    journal_->compactStep();
  }

  // Completes all pending requests, as in a drain, and compacts the journal.
  void completeAll() {
    while (!pendingById.empty()) complete(pendingById.begin());
    for (int i = 0; i < 1000 && journal_->wantsCompaction(); ++i) {
      clock.nowMs += 1;
      journal_->compactStep();
    }
  }

  // Returns a description of the first difference between recovered and expected requests, or "" if there is
  // none.
  std::string compare(const Recovered& found) const {
    if (!found.corruptions.empty())
      return found.corruptions[0].file + " wrongly reported as " + found.corruptions[0].what + " at byte " +
             std::to_string(found.corruptions[0].offset);
    for (const auto& [id, expected] : pendingById) {
      const RecoveredRequest* there = found.pending.find(id);
      if (!there) {
        if (expected.maybeCompleted) continue;
        return id + " is lost";
      }
      const PendingRequest& pending = there->pending;
      std::set<int> attempts;
      for (const RecordedAttempt& recorded : pending.ambiguousAttempts) attempts.insert(recorded.attempt);
      for (const int wanted : expected.attempts)
        if (!attempts.count(wanted))
          return id + " was recovered without its attempt " + std::to_string(wanted);
      for (const int there : attempts)
        if (!expected.attempts.count(there) && !expected.possibleAttempts.count(there))
          return id + " was recovered with an unexpected attempt: " + std::to_string(there);
      if (!expected.unrecorded && pending.status != expected.pending.status)
        return id + " was recovered with a different final status";
      if (pending.status == FinalStatus::kUndecided && pending.body != expected.pending.body &&
          !expected.unrecorded)
        return id + " was recovered with a different body";
    }
    for (const RecoveredRequest& request : found.pending)
      if (!pendingById.count(request.pending.id) && !maybeAccepted.count(request.pending.id))
        return request.pending.id + " was recovered unexpectedly";
    return "";
  }

  HandClock clock;
  double stepMs = 1;
  std::map<std::string, Expected> pendingById;  // a map, whose nodes have stable addresses
  std::set<std::string> maybeAccepted;  // ids whose acceptance or completion failed and may be on the disk
  std::ostringstream log;
  std::uint64_t acceptedCount = 0, rejectedCount = 0;
  Journal& journal() { return *journal_; }

 private:
  void accept() {
    const std::string id = "m" + std::to_string(++serial_);
    Expected& expected = pendingById[id];
    expected.pending.id = id;
    expected.pending.key = std::string(random_() % 33, 'k');
    expected.pending.body = std::string(random_() % 1500, static_cast<char>('a' + random_() % 26));
    expected.pending.classIndex = static_cast<int>(random_() % 3);
    expected.pending.deadlineWallMs = clock.wallMs() + 1000;
    expected.pending.acceptedWallMs = clock.wallMs();
    if (journal_->recordAccepted(expected.pending)) {
      ++acceptedCount;
      return;
    }
    ++rejectedCount;
    maybeAccepted.insert(id);
    pendingById.erase(id);
  }
  void attempt(Expected& expected) {
    const int number = expected.pending.attempts;
    if (journal_->recordAttempt(expected.pending, {"E1", 1, clock.wallMs(), 0}))
      expected.attempts.insert(number);
    else
      expected.possibleAttempts.insert(number);
  }
  void complete(std::map<std::string, Expected>::iterator at) {
    if (!journal_->recordCompleted(at->second.pending)) maybeAccepted.insert(at->first);
    pendingById.erase(at);
  }

  lab::Disk& disk_;
  std::mt19937 random_;
  JournalOptions options_;
  lab::FaultyFiles* files_ = nullptr;
  std::unique_ptr<Journal> journal_;
  std::uint64_t serial_ = 0;
};

}  // namespace myrtleloft::testing
