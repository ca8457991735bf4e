// The relay as `myrtleloft serve` runs it, over a file layer that ends the process at a chosen operation:
// LAB_KILL_AT, from 1, and LAB_TORN, how many bytes of a write still reach the disk. LAB_WALL_BACK
// sets its wall clock back, in ms. With LAB_FAIL_WITH, an errno, LAB_FAIL_COUNT operations from
// there on, and all within LAB_FAIL_MS, fail instead.
#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include "lab/killing_files.h"
#include "myrtleloft/relay.h"
#include "net/clock.h"

namespace {

class BackClock : public myrtleloft::Clock {
 public:
  explicit BackClock(double backMs) : backMs_(backMs) {}
  double wallMs() const override { return Clock::wallMs() - backMs_; }

 private:
  double backMs_;
};

}  // namespace

int main() {
  myrtleloft::Environment environment = myrtleloft::environmentOf(environ);
  const auto number = [&](const char* name) {
    return static_cast<std::uint64_t>(std::atoll(environment[name].c_str()));
  };
  myrtleloft::lab::KillingFiles files(number("LAB_KILL_AT"), number("LAB_TORN"));
  if (const auto error = number("LAB_FAIL_WITH"))
    files.failInstead(number("LAB_FAIL_COUNT"), static_cast<double>(number("LAB_FAIL_MS")),
                      static_cast<int>(error));
  const BackClock clock(static_cast<double>(number("LAB_WALL_BACK")));
  return myrtleloft::Relay(environment, std::cerr, {&files, &clock}).run();
}
