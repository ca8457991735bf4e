// Which of several directories to ask, and when: the one that answered last, or the next after a failure,
// with a pause that doubles while none answers. Without I/O; randomness is passed in.
//
//   Directories turn(addresses.size(), {100, 5000}, random);
//   ask(turn.current());
//   turn.answered();                       // stays with it
//   after(turn.failed(), [&] { ask(turn.current()); });
//
// The pause has full jitter (AWS Architecture Blog, "Exponential Backoff And Jitter", 2015) above its least:
// relays that lost the same directory do not come back to it together. O(1).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace myrtleloft {

struct BackOff {
  double leastMs = 100, mostMs = 100;  // equal: no back-off, as on the platform, where asking costs nothing
};

class Directories {
 public:
  // `random` gives numbers in [0, 1).
  Directories(std::size_t count, const BackOff& backOff, std::function<double()> random);

  std::size_t current() const { return current_; }
  void answered() { failures_ = 0; }
  // The next one's turn, after so many ms. All have their turn once before the pause grows.
  double failed();

 private:
  std::size_t count_, current_ = 0;
  std::uint64_t failures_ = 0;  // in a row
  BackOff backOff_;
  std::function<double()> random_;
};

}  // namespace myrtleloft
