// The process is suspended within a turn of its event loop, and meanwhile a message arrives that forbids a
// call decided before. The manual clock jumps at that point; sockets are real.
#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>

#include "tests/exchange/exchange_site.h"
#include "tests/net/pipe.h"

using namespace myrtleloft;
using myrtleloft::testing::Pipe;
using myrtleloft::testing::Site;

namespace {

constexpr double kSuspendedMs = 140;
constexpr const char* kRetryAfterAnswer =
    "HTTP/1.1 429 Wait\r\nRetry-After: 0.300\r\nContent-Length: 0\r\n\r\n";

// Two endpoints share the limit of their destination. One call has reached its endpoint; a second one has
// been decided, and its descriptor has a lower number than that of the first.
struct TwoCalls {
  TwoCalls() : site(false, 1, 8, false) {
    std::optional<Pipe> lowNumbers(std::in_place);
    site.submit("first");
    site.advance(10);
    firstPeer = accept();
    readAll(firstPeer);
    lowNumbers.reset();
    site.submit("second");
    for (int i = 0; i < 100 && site.outbound.pendingCalls() < 2; ++i) site.advance(5);
    REQUIRE(site.outbound.pendingCalls() == 2);
    secondPeer = accept();
  }
  Fd accept() const {
    int error = 0;
    Fd fd = acceptFrom(site.endpoint, error);
    REQUIRE(fd);
    return fd;
  }
  static std::string readAll(const Fd& fd) {
    std::string bytes;
    while (readSome(fd, bytes) == Io::kProgress) {
    }
    return bytes;
  }
  void answerFirst() const {
    std::size_t written = 0;
    REQUIRE(writeSome(firstPeer, kRetryAfterAnswer, written) == Io::kProgress);
  }
  void turn() {
    site.loop.after(0, [] {});
    site.loop.runOnce();
  }
  // Suspends the process in a read (POLLIN) or write (POLLOUT) handler of the next turn.
  void suspendIn(const Pipe& pipe, short events, const std::function<void()>& meanwhile) {
    if (events & POLLIN) pipe.fill();
    site.loop.watch(pipe.here.get(), events, [this, &pipe, meanwhile](short) {
      site.loop.unwatch(pipe.here.get());
      site.clock.nowMs += kSuspendedMs;
      meanwhile();
    });
  }

  Site site;
  Fd firstPeer, secondPeer;
};

}  // namespace

// Guards against a call that ignores a Retry-After which the poll of the same turn has reported.
TEST_CASE("a call is not sent if the same poll reported a Retry-After on a higher descriptor") {
  TwoCalls calls;
  calls.answerFirst();
  calls.turn();
  calls.site.advance(50);
  CHECK(TwoCalls::readAll(calls.secondPeer).empty());
  CHECK(calls.site.counters.outcomes.at(static_cast<std::size_t>(Outcome::kRejected)) == 1);
}

// Guards against a call that ignores a Retry-After which arrived after the poll, while the process was
// suspended.
TEST_CASE("a call is not sent if a Retry-After arrived while a read handler of its turn was suspended") {
  TwoCalls calls;
  const Pipe suspending;
  calls.suspendIn(suspending, POLLIN, [&] { calls.answerFirst(); });
  calls.turn();
  calls.site.advance(50);
  CHECK(TwoCalls::readAll(calls.secondPeer).empty());
}

TEST_CASE("a call is not sent if a Retry-After arrived while a write handler of its turn was suspended") {
  std::optional<Pipe> suspending(std::in_place);  // its descriptors are lower than those of the calls
  TwoCalls calls;
  calls.suspendIn(*suspending, POLLOUT, [&] { calls.answerFirst(); });
  calls.turn();
  calls.site.advance(50);
  CHECK(TwoCalls::readAll(calls.secondPeer).empty());
}

// Guards against a call to an endpoint that drains according to an endpoint list that has arrived unread.
TEST_CASE("a call is not sent if a list that drains its endpoint arrived while its turn was suspended") {
  std::optional<Pipe> suspending(std::in_place);
  TwoCalls calls;
  const Pipe list;
  calls.site.loop.watch(list.here.get(), POLLIN, [&](short) {
    calls.site.loop.unwatch(list.here.get());
    calls.site.setEndpointState(EndpointState::kDraining);
  });
  calls.suspendIn(*suspending, POLLOUT, [&] { list.fill(); });
  calls.turn();
  calls.site.advance(50);
  CHECK(TwoCalls::readAll(calls.secondPeer).empty());
}

TEST_CASE("a call that is still permitted is sent in the turn after a suspended one") {
  std::optional<Pipe> suspending(std::in_place);
  TwoCalls calls;
  calls.suspendIn(*suspending, POLLOUT, [] {});
  calls.turn();
  CHECK(TwoCalls::readAll(calls.secondPeer).empty());
  calls.turn();
  CHECK(TwoCalls::readAll(calls.secondPeer).find("X-Request-ID: second") != std::string::npos);
}

// Guards against calls that are never sent because each turn of an overloaded process takes too long.
TEST_CASE("a call is sent in the fourth turn even if every turn is suspended") {
  std::optional<Pipe> suspending(std::in_place);
  TwoCalls calls;
  for (int turns = 1; turns <= 4; ++turns) {
    calls.suspendIn(*suspending, POLLOUT, [] {});
    calls.turn();
    CHECK(TwoCalls::readAll(calls.secondPeer).empty() == (turns < 4));
  }
}

// Guards against a notification that is sent again although its confirmation has arrived unread.
TEST_CASE(
    "a confirmation that arrived while a turn was suspended is read before the notification times out") {
  lab::HandClock clock;
  Loop loop(clock);
  Counters counters;
  std::ostringstream log;
  std::string error;
  const Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
  const Address platform = *parseAddress(localAddress(listener));
  NotificationSender notifications(loop, platform, counters, log);
  notifications.onConfirmed([](const std::string&) {});
  const auto turn = [&] {
    loop.after(0, [] {});
    loop.runOnce();
  };
  notifications.add("m", FinalStatus::kFailed, 0);
  for (int i = 0; i < 5; ++i) turn();
  int code = 0;
  const Fd peer = acceptFrom(listener, code);
  REQUIRE(peer);
  const Pipe suspending;
  loop.watch(suspending.here.get(), POLLOUT, [&](short) {
    loop.unwatch(suspending.here.get());
    clock.nowMs += 600;  // longer than the timeout of a notification
    std::size_t written = 0;
    REQUIRE(writeSome(peer, "HTTP/1.1 204 No Content\r\n\r\n", written) == Io::kProgress);
  });
  turn();
  CHECK(counters.notifications == 1);
  CHECK(counters.notificationRetries == 0);
}
