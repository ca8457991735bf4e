// A day of a journal, played from a seed on a disk in memory, beside a plain record of what has to come back.
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
    PendingRequest pending;  // where the journal points to
    std::set<int> attempts;  // attempts that were recorded and not withdrawn
    std::set<int> maybe;     // the attempt whose record the fault may have cut off
    bool maybeCompleted = false;
    bool unrecorded = false;  // a final status or a withdrawal that found no space: disk may know less
  };

  RandomJournalRun(lab::Disk& disk, std::size_t diskBytes, std::uint32_t seed) : disk_(disk), random_(seed) {
    options_.folder = "/s";
    options_.diskBytes = diskBytes;
    options_.owner = "the test";
    options_.salt = 42;
  }

  // Opens with what is there; an error where that is rejected. What is pending must be just what the day
  // knows. Returns what differs, or "".
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

  // One step: something happens to some request, then a compaction step.
  void step() {
    clock.nowMs += stepMs;
    const unsigned what = random_() % 100;
    if (pendingById.empty() || what < 38) {
      take();
    } else {
      auto at = pendingById.begin();
      std::advance(at, random_() % pendingById.size());
      Expected& expected = at->second;
      if (expected.pending.status != FinalStatus::kUndecided || what < 65) {
        finish(at);
      } else if (what < 85 && expected.attempts.size() < 4) {
        attempt(expected);
      } else if (what < 92 && !expected.pending.ambiguousAttempts.empty() &&
                 expected.pending.ambiguousAttempts.back().attempt >= 0) {
        const int number = expected.pending.ambiguousAttempts.back().attempt;
        expected.attempts.erase(number);
        if (!journal_->recordNotExecuted(expected.pending)) expected.maybe.insert(number);
      } else {
        if (!journal_->recordFinalStatus(expected.pending, FinalStatus::kReturned, 250))
          expected.unrecorded = true;
      }
    }
    journal_->compactStep();
  }

  // Completes all that is pending, as a drained relay would.
  void finishAll() {
    while (!pendingById.empty()) finish(pendingById.begin());
    for (int i = 0; i < 1000 && journal_->wantsCompaction(); ++i) {
      clock.nowMs += 1;
      journal_->compactStep();
    }
  }

  // What a reading of the disk has that it should not, or lacks; "" where it is right.
  std::string compare(const Recovered& found) const {
    if (!found.corruptions.empty())
      return found.corruptions[0].file + " taken for " + found.corruptions[0].what + " at " +
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
        if (!attempts.count(wanted)) return id + " lacks its attempt " + std::to_string(wanted);
      for (const int there : attempts)
        if (!expected.attempts.count(there) && !expected.maybe.count(there))
          return id + " has an attempt too many: " + std::to_string(there);
      if (!expected.unrecorded && pending.status != expected.pending.status)
        return id + " has another final status";
      if (pending.status == FinalStatus::kUndecided && pending.body != expected.pending.body &&
          !expected.unrecorded)
        return id + " has another body";
    }
    for (const RecoveredRequest& request : found.pending)
      if (!pendingById.count(request.pending.id) && !maybeAccepted.count(request.pending.id))
        return request.pending.id + " should not be there";
    return "";
  }

  HandClock clock;
  double stepMs = 1;
  std::map<std::string, Expected> pendingById;  // nodes stay where they are
  std::set<std::string> maybeAccepted;  // not accepted, or completed, by an operation that failed half-way
  std::ostringstream log;
  std::uint64_t acceptedCount = 0, rejectedCount = 0;
  Journal& journal() { return *journal_; }

 private:
  void take() {
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
      expected.maybe.insert(number);
  }
  void finish(std::map<std::string, Expected>::iterator at) {
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
