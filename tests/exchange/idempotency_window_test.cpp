// The idempotency window and the deadline against what lies between the decision and a call's first byte, or
// between a call and its answer: a sync that takes long, an earlier process.
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

// Requests with a key at the level `group`; syncs are done when the test says so.
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
  // The call that has arrived, read completely.
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

TEST_CASE("group: a retry with a key whose sync outlasts the idempotency window does not leave") {
  for (const double syncMs :
       {50.0, kWindowMs - kConnectMs - 50, kWindowMs - kConnectMs + 100, 3 * kWindowMs}) {
    CAPTURE(syncMs);
    RequestsWithKey keyed;
    Site& site = keyed.site;
    const double firstMs = site.clock.nowMs;
    keyed.submit();
    site.advance(10);
    keyed.sync();
    REQUIRE(keyed.acceptCall());  // and closed unanswered: it may have been executed
    REQUIRE(keyed.arrivedCalls == 1);
    // Its retry is decided at once, and recorded; now the disk hangs.
    while (site.syncer.jobs.empty() && site.clock.nowMs < firstMs + 200) site.advance(5);
    REQUIRE(!site.syncer.jobs.empty());
    REQUIRE(site.outbound.callsOut() == 0);
    site.advance(firstMs + syncMs - site.clock.nowMs);
    keyed.sync();
    const bool inTime = site.clock.nowMs <= firstMs + kWindowMs - kConnectMs;
    const Fd second = keyed.acceptCall();
    CHECK(keyed.arrivedCalls == (inTime ? 2 : 1));
    CHECK(site.outbound.callsOut() == (inTime ? 1 : 0));
  }
}

TEST_CASE("a wall clock set back by less than the downtime shows in the cached list's two clocks") {
  const Stamp then{1e12, 1000, "run"};
  CHECK(wallSetBackMs(then, {1e12 + 2300, 4000, "run"}) == 700);
  CHECK(wallSetBackMs(then, {1e12 + 9000, 4000, "run"}) == 0);      // set forward
  CHECK(wallSetBackMs(then, {1e12 + 2300, 4000, "another"}) == 0);  // nothing in common
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

// Forces the instant at which an answer comes with its request's deadline: the call is over by then, and the
// request completed, so that no answer can count as its delivery here and as late where it was written.
TEST_CASE("a call ends before the deadline of its request, which an answer would then not reach in time") {
  Site site;
  IncomingRequest request;  // non-idempotent: its call is waited for as long as it has time
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
  CHECK(site.outbound.callsOut() == 1);
  site.advance(5);  // 95 of the 100 ms
  std::string bytes;
  for (Io progress = Io::kProgress; progress == Io::kProgress;) progress = readSome(fd, bytes);
  CHECK(readSome(fd, bytes) == Io::kClosed);  // for its endpoint the call is over
  site.advance(60);                           // an answer that was on its way is awaited
  CHECK(site.outbound.callsOut() == 0);
  CHECK(site.counters.delivered == 0);
  CHECK(site.counters.failed + site.counters.returned == 1);
}

// The record `taken` is written, and everything after it fails: the attempt, the sync, and the completion.
TEST_CASE(
    "group: a rejection that waits for its completion to be recorded drops the send that waits for the "
    "disk") {
  Site site(true);
  site.files.failAt(site.files.operations() + 2, 1 << 20, EIO);
  site.submit("m");
  site.advance(10);
  site.syncer.work();
  site.manager->onSynced();
  site.advance(600);  // the send is tried again, twice
  CHECK(site.answers.empty());
  site.repairDisk();
  site.advance(600);
  REQUIRE(site.answers.size() == 1);
  CHECK(site.answers[0] == Answer::Kind::kRejected);
  for (int sync = 0; sync < 5; ++sync) {  // what the failed sync was to cover is written again
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
  CHECK(site.outbound.callsOut() == 1);
}

// The call is given up 5 ms before its request's deadline; its endpoint answers just then. By its clock the
// deadline may have passed, and then the platform's notification is all that the client learns.
TEST_CASE("an answer that was on its way at the deadline does not prevent the notification") {
  Site site;
  site.submit("m", 100);
  site.advance(10);
  int errorNumber = 0;
  const Fd call = acceptFrom(site.endpoint, errorNumber);
  REQUIRE(call);
  site.advance(90);
  CHECK(site.outbound.callsOut() == 1);  // half-closed
  std::size_t written = 0;
  writeSome(call, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", written);
  site.advance(30);
  CHECK(site.outbound.callsOut() == 0);
  CHECK(site.counters.delivered == 0);
  CHECK(site.counters.failed + site.counters.returned == 1);
}
