// The idempotency window and the deadline hold although time passes between the decision and the call's first
// byte, or between the call and its answer: during a slow sync, or while no process runs.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "tests/discovery/endpoint_directory_fixture.h"
#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

namespace {

constexpr double kWindowMs = 1000;
constexpr double kConnectMs = 100;

// Submits requests with a key at the durability level `group`; syncs run when the test calls `sync`.
class RequestsWithKey {
 public:
  RequestsWithKey()
      : site(true, 1, 4, true, {}, [](Settings& settings) {
          settings.connectTimeoutMs = kConnectMs;
          settings.classes[1].idempotencyWindowMs = kWindowMs;
        }) {}
  void submit() {
    IncomingRequest request;
    request.id = "m";
    request.key = "k";
    request.body = "body";
    request.classIndex = 1;
    request.destination = 7;
    request.arrivedMs = site.clock.nowMs;
    request.timeLeftMs = 10e3;
    site.manager->onRequest(std::move(request), [](const Answer&) {});
  }
  void sync() {
    for (int i = 0; i < 3; ++i) {
      site.syncer.work();
      site.manager->onSynced();
      site.advance(10);
    }
  }
  // Accepts the connection of the next call and reads the call.
  Fd acceptCall() {
    int errorNumber = 0;
    Fd fd = acceptFrom(site.endpoint, errorNumber);
    std::string bytes;
    if (fd) readSome(fd, bytes);
    arrivedCalls += bytes.find("\r\nX-Request-ID: m\r\n") != std::string::npos;
    return fd;
  }

  Site site;
  int arrivedCalls = 0;
};

}  // namespace

TEST_CASE("group: a retry with a key is not sent if its sync outlasts the idempotency window") {
  for (const double syncMs :
       {50.0, kWindowMs - kConnectMs - 50, kWindowMs - kConnectMs + 100, 3 * kWindowMs}) {
    CAPTURE(syncMs);
    RequestsWithKey keyed;
    Site& site = keyed.site;
    const double firstMs = site.clock.nowMs;
    keyed.submit();
    site.advance(10);
    keyed.sync();
    REQUIRE(keyed.acceptCall());  // closed without an answer, so the call may have been executed
    REQUIRE(keyed.arrivedCalls == 1);
    // The retry is decided and recorded at once; its sync takes `syncMs`.
    while (site.syncer.jobs.empty() && site.clock.nowMs < firstMs + 200) site.advance(5);
    REQUIRE(!site.syncer.jobs.empty());
    REQUIRE(site.outbound.pendingCalls() == 0);
    site.advance(firstMs + syncMs - site.clock.nowMs);
    keyed.sync();
    const bool inTime = site.clock.nowMs <= firstMs + kWindowMs - kConnectMs;
    const Fd second = keyed.acceptCall();
    CHECK(keyed.arrivedCalls == (inTime ? 2 : 1));
    CHECK(site.outbound.pendingCalls() == (inTime ? 1 : 0));
  }
}

TEST_CASE("a wall clock set back by less than the downtime is detected from the cached list's timestamps") {
  const Stamp then{1e12, 1000, "run"};
  CHECK(wallSetBackMs(then, {1e12 + 2300, 4000, "run"}) == 700);
  CHECK(wallSetBackMs(then, {1e12 + 9000, 4000, "run"}) == 0);      // set forward
  CHECK(wallSetBackMs(then, {1e12 + 2300, 4000, "another"}) == 0);  // another boot of the machine
  lab::Disk disk;
  HandClocks clock;
  {
    RelayFixture first(disk, clock);
    first.begin();
    first.onList(listOf(41, {endpoint("a")}));
    first.finishDue();
  }
  clock.nowMs += 1000;
  clock.wall -= 700;
  RelayFixture second(disk, clock);
  second.begin();
  CHECK(second.directory.wallSetBackMs() == 700);
}

// Guards against an answer that arrives at the deadline and counts as a delivery for the relay but as too
// late for the endpoint: by then the call must have ended and the request must be completed.
TEST_CASE("a call without an answer is ended before the deadline of its request") {
  Site site;
  IncomingRequest request;  // non-idempotent, so its call may take all the time left
  request.id = "m";
  request.classIndex = 2;
  request.destination = 7;
  request.arrivedMs = site.clock.nowMs;
  request.timeLeftMs = 100;
  site.manager->onRequest(std::move(request), [](const Answer&) {});
  site.advance(10);
  int errorNumber = 0;
  const Fd fd = acceptFrom(site.endpoint, errorNumber);
  REQUIRE(fd);
  site.advance(80);
  CHECK(site.outbound.pendingCalls() == 1);
  site.advance(5);  // 95 of the 100 ms have passed
  std::string bytes;
  for (Io progress = Io::kProgress; progress == Io::kProgress;) progress = readSome(fd, bytes);
  CHECK(readSome(fd, bytes) == Io::kClosed);  // the relay has ended the call
  site.advance(60);                           // it still waits for an answer that is in transit
  CHECK(site.outbound.pendingCalls() == 0);
  CHECK(site.counters.delivered == 0);
  CHECK(site.counters.failed + site.counters.returned == 1);
}

// The request's first record (`taken`) is written; the attempt, the sync and the completion fail.
TEST_CASE("group: a rejection that waits for its completion record drops the send that waits for the disk") {
  Site site(true);
  site.files.failAt(site.files.operations() + 2, 1 << 20, EIO);
  site.submit("m");
  site.advance(10);
  site.syncer.work();
  site.manager->onSynced();
  site.advance(600);  // two retries of the deferred send
  CHECK(site.answers.empty());
  site.repairDisk();
  site.advance(600);
  REQUIRE(site.answers.size() == 1);
  CHECK(site.answers[0] == Answer::Kind::kRejected);
  for (int sync = 0; sync < 5; ++sync) {  // rewrites the records that the failed sync should have covered
    site.syncer.work();
    site.manager->onSynced();
    site.advance(300);
  }
  site.submit("n");  // the call slot is free
  site.advance(10);
  site.syncer.work();
  site.manager->onSynced();
  REQUIRE(site.answers.size() == 2);
  CHECK(site.answers[1] == Answer::Kind::kAccepted);
  CHECK(site.outbound.pendingCalls() == 1);
}

// The call is given up 5 ms before the request's deadline, and its endpoint answers just then. By the
// client's clock the deadline may have passed already; the client then learns the result only from the
// platform.
TEST_CASE("an answer in transit at the deadline does not prevent the notification") {
  Site site;
  site.submit("m", 100);
  site.advance(10);
  int errorNumber = 0;
  const Fd call = acceptFrom(site.endpoint, errorNumber);
  REQUIRE(call);
  site.advance(90);
  CHECK(site.outbound.pendingCalls() == 1);  // half-closed
  std::size_t written = 0;
  writeSome(call, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", written);
  site.advance(30);
  CHECK(site.outbound.pendingCalls() == 0);
  CHECK(site.counters.delivered == 0);
  CHECK(site.counters.failed + site.counters.returned == 1);
}
