// Compacts the journal in steps: one with each batch and each sync, and by a timer in between as long as
// there is something to compact, so that a full journal frees its space even without traffic.
//
// Single-threaded; a step costs as much as Journal::compactStep.
#pragma once

#include "counters/counters.h"
#include "journal/journal.h"
#include "net/loop.h"

namespace myrtleloft {

class JournalCompactor {
 public:
  struct Parts {
    Loop& loop;
    Journal& journal;
    Counters& counters;
  };
  explicit JournalCompactor(const Parts& parts) : parts_(parts) {}

  // Makes one step if there is something to compact. The step also writes completion records that could not
  // be written before.
  void step();

 private:
  Parts parts_;
  Loop::Timer timer_ = Loop::kNoTimer;
};

}  // namespace myrtleloft
