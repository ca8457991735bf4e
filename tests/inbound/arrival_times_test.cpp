// When the requests of a connection came, by what is known at each read.
#include "inbound/arrival_times.h"

#include <doctest/doctest.h>

#include <optional>

using myrtleloft::ArrivalTimes;

namespace {

constexpr bool kNothingBehind = true, kMoreBehind = false, kDrained = true, kMoreUnread = false;

// A read at `nowMs` of a connection that was last seen quiet at `quietAtMs`.
ArrivalTimes afterRead(double nowMs, double quietAtMs, std::optional<double> ageMs, bool drained = kDrained) {
  ArrivalTimes times(0);
  times.beforeRead({nowMs, quietAtMs, ageMs});
  times.afterRead(drained);
  return times;
}

}  // namespace

// Guards against a time that runs from the reading.
TEST_CASE("a request came when the last bytes of its read came") {
  CHECK(afterRead(1000, 640, 350).requestMs(kNothingBehind) == 650);
  CHECK(afterRead(1000, 640, 0).requestMs(kNothingBehind) == 1000);
}

TEST_CASE("where the system does not tell, a request came no earlier than the connection was last quiet") {
  CHECK(afterRead(1000, 640, std::nullopt).requestMs(kNothingBehind) == 640);
  CHECK(afterRead(1000, 640, std::nullopt).lastByteMs() == 640);
}

// Guards against the time of the later one of two requests that lay unread together.
TEST_CASE("a request with more bytes behind it may have come at any time since the connection was quiet") {
  CHECK(afterRead(1000, 640, 10).requestMs(kMoreBehind) == 640);
  CHECK(afterRead(1000, 640, 10, kMoreUnread).requestMs(kNothingBehind) == 640);
}

TEST_CASE("no bound is earlier than a client waits for its answer") {
  CHECK(afterRead(5000, 0, std::nullopt).requestMs(kNothingBehind) == 4600);
  CHECK(afterRead(5000, 0, 10).requestMs(kMoreBehind) == 4600);
  CHECK(afterRead(5000, 0, 900).requestMs(kNothingBehind) == 4100);  // known, and no bound
}

// The process stands between its look at the clock and that at the socket: the age is that of a later moment.
TEST_CASE("an age that was told late makes no request older than its connection was quiet") {
  CHECK(afterRead(1000, 980, 350).requestMs(kNothingBehind) == 980);
}

TEST_CASE("what comes behind a read that took all has come since that read") {
  ArrivalTimes times = afterRead(1000, 990, 5);
  times.beforeRead({1200, 0, std::nullopt});
  times.afterRead(kDrained);
  CHECK(times.requestMs(kNothingBehind) == 1000);
  ArrivalTimes partial = afterRead(1000, 990, 5, kMoreUnread);
  partial.beforeRead({1200, 0, std::nullopt});
  partial.afterRead(kDrained);
  CHECK(partial.requestMs(kNothingBehind) == 990);
}

TEST_CASE("a time never lies in the future") {
  CHECK(afterRead(1000, 2000, 5).requestMs(kNothingBehind) == 1000);
  CHECK(afterRead(1000, 2000, std::nullopt).requestMs(kMoreBehind) == 1000);
}
