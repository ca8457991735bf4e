// ArrivalTimes: estimates of when requests arrived, from what is known at each read.
#include "inbound/arrival_times.h"

#include <doctest/doctest.h>

#include <optional>

using myrtleloft::ArrivalTimes;

namespace {

constexpr bool kIsLast = true, kIsNotLast = false, kDrained = true, kMoreUnread = false;

// Returns the state after a read at `nowMs` of a connection that last had no unread input at `quietAtMs`.
ArrivalTimes afterRead(double nowMs, double quietAtMs, std::optional<double> ageMs, bool drained = kDrained) {
  ArrivalTimes times(0);
  times.beforeRead({nowMs, quietAtMs, ageMs});
  times.afterRead(drained);
  return times;
}

}  // namespace

// Guards against timeouts that are counted from the read instead of the arrival.
TEST_CASE("a request arrived when the last bytes of its read arrived") {
  CHECK(afterRead(1000, 640, 350).requestMs(kIsLast) == 650);
  CHECK(afterRead(1000, 640, 0).requestMs(kIsLast) == 1000);
}

TEST_CASE("without an arrival age, a request is dated to when its connection was last quiet") {
  CHECK(afterRead(1000, 640, std::nullopt).requestMs(kIsLast) == 640);
  CHECK(afterRead(1000, 640, std::nullopt).lastByteMs() == 640);
}

// Guards against using the arrival of the later of two requests that were unread together.
TEST_CASE("a request followed by more bytes may have arrived at any time since the connection was quiet") {
  CHECK(afterRead(1000, 640, 10).requestMs(kIsNotLast) == 640);
  CHECK(afterRead(1000, 640, 10, kMoreUnread).requestMs(kIsLast) == 640);
}

TEST_CASE("no lower bound is earlier than the time for which a client waits") {
  CHECK(afterRead(5000, 0, std::nullopt).requestMs(kIsLast) == 4600);
  CHECK(afterRead(5000, 0, 10).requestMs(kIsNotLast) == 4600);
  CHECK(afterRead(5000, 0, 900).requestMs(kIsLast) == 4100);  // known exactly, so no bound applies
}

// The process is stopped between reading the clock and the age, so the age belongs to a later time.
TEST_CASE("an age that is read late does not date a request before its connection was quiet") {
  CHECK(afterRead(1000, 980, 350).requestMs(kIsLast) == 980);
}

TEST_CASE("bytes after a read that took all input arrived after that read") {
  ArrivalTimes times = afterRead(1000, 990, 5);
  times.beforeRead({1200, 0, std::nullopt});
  times.afterRead(kDrained);
  CHECK(times.requestMs(kIsLast) == 1000);
  ArrivalTimes partial = afterRead(1000, 990, 5, kMoreUnread);
  partial.beforeRead({1200, 0, std::nullopt});
  partial.afterRead(kDrained);
  CHECK(partial.requestMs(kIsLast) == 990);
}

TEST_CASE("an arrival time is never in the future") {
  CHECK(afterRead(1000, 2000, 5).requestMs(kIsLast) == 1000);
  CHECK(afterRead(1000, 2000, std::nullopt).requestMs(kIsNotLast) == 1000);
}
