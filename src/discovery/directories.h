// Which of several directories to ask, and when: the one that answered last, or the next after a failure,
// with a pause that doubles while none answers. Without I/O; randomness is passed in.
//
//   Directories turn(addresses.size(), {100, 5000}, random);
//   after(turn.begins(), [&] { ask(turn.current()); });
//   turn.answered();                       // stays with it
//   after(turn.failed(), [&] { ask(turn.current()); });
//
// The pause has full jitter (AWS Architecture Blog, "Exponential Backoff And Jitter", 2015) above its least,
// with `firstMs` the first one too: relays that lost the same directory, or were refused by it together, do
// not come back to it together. A directory that is asked for more than it can serve serves nobody: what it
// works off are calls whose callers have gone. O(1).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace myrtleloft {

struct BackOff {
  double leastMs = 100, mostMs = 100;  // equal: no back-off
  double firstMs = 0;                  // the most of the first pause, where that is over `leastMs`
  double spreadMs = 0;                 // the most of what a first call waits
};

// What a fleet of so many relays needs, whose operator sets nothing: all together start no more watches than
// one relay alone may, which is one in kAskMs.
constexpr double kAskMs = 50;
// Nothing may be sent to an endpoint once the grace for drains is over since this relay could have been told
// that it drains: by then the first call after a start, a reload or a silence must have been answered, for
// which this much is left.
constexpr double kAnswerMs = 500;
// The most of the first pause after a failure, and of any: a relay that asked in vain counts as told later,
// the latest after 40 s.
constexpr double kMostFirstMs = 5000, kMostPauseMs = 35000;
// `drainGraceMs`: the settings' guarantees.drainGraceMs; up to kAnswerMs the fleet asks together.
BackOff backOffOf(int relays, double leastMs, double drainGraceMs);

class Directories {
 public:
  // `random` gives numbers in [0, 1).
  Directories(std::size_t count, const BackOff& backOff, std::function<double()> random);

  std::size_t current() const { return current_; }
  // So many ms before a first call that can wait: at a random moment of the spread.
  double begins() { return random_() * backOff_.spreadMs; }
  void answered() { failures_ = 0; }  // or nothing is held against any of them any more
  // The next one's turn, after so many ms. All have their turn once before the pause grows.
  double failed();

 private:
  std::size_t count_, current_ = 0;
  std::uint64_t failures_ = 0;  // in a row
  BackOff backOff_;
  std::function<double()> random_;
};

}  // namespace myrtleloft
