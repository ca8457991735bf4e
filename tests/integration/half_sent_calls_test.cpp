// A request that is over before its call has left, beside others that are not.
#include <doctest/doctest.h>
#include <poll.h>

#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;
using lab::endpointRecord, lab::SaturatedListener, lab::Outcomes;

namespace {

constexpr std::size_t kMoreThanTheSystemHolds = 32 * 1024 * 1024;  // for a peer that does not read

// An outbound on a clock moved by hand, before an endpoint that accepts and does what the test says.
struct CallSite {
  CallSite() { outbound.setListener(outcomes); }

  void pass(double ms) {
    clock.nowMs += ms;
    loop.after(0, [] {});
    loop.runOnce();
  }
  EndpointRecord endpoint() const { return endpointRecord("a", *parseAddress(localAddress(listener))); }
  // The connection of the call, once something of it has come there.
  Fd accepted() {
    int code = 0;
    Fd fd = acceptFrom(listener, code);
    REQUIRE(fd);
    while (!hasInput(fd)) pass(0);
    return fd;
  }
  void readUntil(const Fd& fd, const std::string& text) {
    while (bytes.find(text) == bytes.npos) {
      pass(0);
      readSome(fd, bytes);
    }
  }
  void readAll(const Fd& fd) {
    for (Io io = Io::kProgress; io == Io::kProgress;) io = readSome(fd, bytes);
  }

  lab::HandClock clock;
  Loop loop{clock};
  Counters counters;
  UpstreamClient outbound{loop, counters, {60000, {}}};
  Outcomes outcomes;
  std::string error, bytes;
  Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
};

}  // namespace

// Forces the instant at which one of a call's requests is over while its connection is still half-way up:
// told as never sent, it is refused to its client, and then nothing of it may reach the endpoint.
TEST_CASE("a request whose time is up before its call's connection is up does not leave with the others") {
  CallSite site;
  Outcomes& outcomes = site.outcomes;
  SaturatedListener saturated;
  site.outbound.call(endpointRecord("a", saturated.address),
                     {{"soon", "", "x", 100}, {"later", "", "y", 60000}});
  site.pass(50);
  CHECK(outcomes.all.empty());
  site.pass(60);
  REQUIRE(outcomes.all.size() == 1);
  CHECK(outcomes.all[0].second.id == "soon");
  CHECK(outcomes.all[0].second.outcome == Outcome::kConnectFailed);
  // Now there is room: the system asks for the connection again after a second, or three.
  std::vector<Fd> accepted;
  std::string bytes;
  for (int turns = 0; turns < 20000 && bytes.find("later") == bytes.npos; ++turns) {
    int code = 0;
    if (hasPendingConnection(saturated.fd)) accepted.push_back(acceptFrom(saturated.fd, code));
    for (const Fd& fd : accepted) readSome(fd, bytes);
    ::poll(nullptr, 0, 1);
    site.pass(0);
  }
  CHECK(bytes.find("later") != bytes.npos);
  CHECK(bytes.find("soon") == bytes.npos);
  CHECK(bytes.find("X-Timeout: 59.890") != bytes.npos);  // of the one that is left
  CHECK(outcomes.all.size() == 1);
}

// Forces the instant at which one of a call's requests is over while its bytes are half out: they cannot be
// taken back one by one, so the call does not go on.
TEST_CASE("a call of which a part is written is given up whole once one of its requests is over") {
  CallSite site;
  const std::string body(kMoreThanTheSystemHolds, 'x');
  site.outbound.call(site.endpoint(), {{"soon", "", body, 100}, {"later", "", "y", 60000}});
  const Fd fd = site.accepted();
  site.pass(110);
  REQUIRE(site.outcomes.all.size() == 2);
  for (const auto& [uid, outcome] : site.outcomes.all) CHECK(outcome.outcome == Outcome::kConnectFailed);
  CHECK(site.outbound.pendingCalls() == 0);
  site.readAll(fd);
  CHECK(site.bytes.size() < body.size());
}

constexpr double kPartingMs = 50;  // outbound.cpp's

// Forces the instant at which one of a call's requests is over while the endpoint works on all of them: the
// call is given up, which its endpoint sees at once, and an answer that was on its way is waited for a
// moment.
TEST_CASE("a call that has left is given up whole once one of its requests is over") {
  CallSite site;
  site.outbound.call(site.endpoint(), {{"later", "", "x", 60000}, {"soon", "", "y", 100}});
  const Fd fd = site.accepted();
  site.readUntil(fd, "soon");
  CHECK(site.bytes.find("X-Timeout: 0.100") != std::string::npos);  // so the endpoint is told
  CHECK(site.outcomes.all.empty());
  site.pass(110);
  CHECK(readSome(fd, site.bytes) == Io::kClosed);
  CHECK(site.outcomes.all.empty());
  site.pass(kPartingMs + 1);
  REQUIRE(site.outcomes.all.size() == 2);
  for (const auto& [uid, outcome] : site.outcomes.all) CHECK(outcome.outcome == Outcome::kTimeout);
  CHECK(site.outbound.pendingCalls() == 0);
}

namespace {

// What becomes of a call that is given up after 100 ms, where `answer` is written on its connection just
// then.
CallOutcome outcomeOf(const std::string& answer, bool closes) {
  CallSite site;
  site.outbound.call(site.endpoint(), {{"m", "", "x", 100}});
  Fd fd = site.accepted();
  site.readUntil(fd, "\r\n\r\nx");
  site.pass(110);
  CHECK(readSome(fd, site.bytes) == Io::kClosed);
  std::size_t put = 0;
  writeSome(fd, answer, put);
  if (closes) fd.reset();
  for (int turns = 0; turns < 100 && site.outcomes.all.empty(); ++turns) site.pass(1);
  REQUIRE(site.outcomes.all.size() == 1);
  CHECK(site.outbound.pendingCalls() == 0);
  return site.outcomes.all[0].second;
}

}  // namespace

// Forces the instant at which an answer and the end of its call cross.
TEST_CASE("an answer that was on its way when its call was given up still counts") {
  const CallOutcome wait =
      outcomeOf("HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", false);
  CHECK(wait.outcome == Outcome::kRejected);
  CHECK(wait.retryAfterMs == 2500);
  CHECK(outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false).completed);
  CHECK(outcomeOf("", false).outcome == Outcome::kTimeout);
  CHECK(outcomeOf("", true).outcome == Outcome::kTimeout);
  CHECK(outcomeOf("HTTP/1.1 4", false).outcome == Outcome::kFailure);  // it may have run
}

// Forces the instant at which an endpoint tells a wait while another call to it is half out: the endpoint
// does not read, and what it reads later arrives inside the wait.
TEST_CASE("a call of which a part is written is taken back by a wait") {
  CallSite site;
  const std::string body(kMoreThanTheSystemHolds, 'x');
  site.outbound.call(site.endpoint(), {{"long", "", body, 60000}});
  const Fd fd = site.accepted();
  site.pass(0);
  site.outbound.cancelUnsent([](const std::string&) { return true; });
  REQUIRE(site.outcomes.all.size() == 1);
  CHECK(site.outcomes.all[0].second.outcome == Outcome::kNotSent);
  CHECK(site.outbound.pendingCalls() == 0);
  site.readAll(fd);
  CHECK(site.bytes.size() < body.size());
}

// Forces the instant at which an answer comes between the loop's look at its descriptors and the timer that
// gives the call up: closed unread, the wait that it tells would be broken by the next call.
TEST_CASE("an answer that has come when its call's time is up still counts") {
  CallSite site;
  site.outbound.call(site.endpoint(), {{"m", "", "x", 100}});
  const Fd fd = site.accepted();
  site.readUntil(fd, "\r\n\r\nx");
  site.loop.after(90, [&] {
    std::size_t put = 0;
    writeSome(fd, "HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", put);
  });
  site.pass(110);  // both timers are due in one turn
  REQUIRE(site.outcomes.all.size() == 1);
  CHECK(site.outcomes.all[0].second.outcome == Outcome::kRejected);
  CHECK(site.outcomes.all[0].second.retryAfterMs == 2500);
  CHECK(site.outbound.pendingCalls() == 0);
}
