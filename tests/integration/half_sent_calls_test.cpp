// Calls that are given up before they are connected, while they are written, or before they are answered:
// because the deadline of one of their requests passes, or because their endpoint states a Retry-After.
#include <doctest/doctest.h>
#include <poll.h>

#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "tests/outbound_site.h"

using namespace myrtleloft;
using lab::endpointRecord, lab::SaturatedListener, lab::Outcomes;

namespace {

// More bytes than the socket buffers hold while the peer does not read.
constexpr std::size_t kMoreThanSocketBuffers = 32 * 1024 * 1024;

// An upstream client on a manual clock, and the listening socket of its endpoint, whose side the test plays.
struct CallSite {
  CallSite() { upstreamClient.setListener(outcomes); }

  void advance(double ms) {
    clock.nowMs += ms;
    loop.after(0, [] {});
    loop.runOnce();
  }
  EndpointRecord endpoint() const { return endpointRecord("a", *parseAddress(localAddress(listener))); }
  // Accepts the connection of the call, and returns it when the first bytes have arrived.
  Fd accepted() {
    int code = 0;
    Fd fd = acceptFrom(listener, code);
    REQUIRE(fd);
    while (!hasInput(fd)) advance(0);
    return fd;
  }
  void readUntil(const Fd& fd, const std::string& text) {
    while (bytes.find(text) == bytes.npos) {
      advance(0);
      readSome(fd, bytes);
    }
  }
  void readAll(const Fd& fd) {
    for (Io io = Io::kProgress; io == Io::kProgress;) io = readSome(fd, bytes);
  }

  lab::HandClock clock;
  Loop loop{clock};
  Counters counters;
  UpstreamClient upstreamClient{loop, counters, {60000, {}}};
  Outcomes outcomes;
  std::string error, bytes;
  Fd listener = listenOn(*parseAddress("127.0.0.1:0"), error);
};

}  // namespace

// Guards against a request that reaches the endpoint after it was reported as not sent: its deadline passes
// while the connection of its call is being established.
TEST_CASE("a request whose deadline passes before its call is connected is not sent with the others") {
  CallSite site;
  Outcomes& outcomes = site.outcomes;
  SaturatedListener saturated;
  site.upstreamClient.call(endpointRecord("a", saturated.address),
                           {{"soon", "", "x", 100}, {"later", "", "y", 60000}});
  site.advance(50);
  CHECK(outcomes.all.empty());
  site.advance(60);
  REQUIRE(outcomes.all.size() == 1);
  CHECK(outcomes.all[0].second.id == "soon");
  CHECK(outcomes.all[0].second.outcome == Outcome::kConnectFailed);
  // Frees the listener's backlog; the kernel retries the connection after one second or three.
  std::vector<Fd> accepted;
  std::string bytes;
  for (int turns = 0; turns < 20000 && bytes.find("later") == bytes.npos; ++turns) {
    int code = 0;
    if (hasPendingConnection(saturated.fd)) accepted.push_back(acceptFrom(saturated.fd, code));
    for (const Fd& fd : accepted) readSome(fd, bytes);
    ::poll(nullptr, 0, 1);
    site.advance(0);
  }
  CHECK(bytes.find("later") != bytes.npos);
  CHECK(bytes.find("soon") == bytes.npos);
  CHECK(bytes.find("X-Timeout: 59.890") != bytes.npos);  // of the remaining request
  CHECK(outcomes.all.size() == 1);
}

// The deadline of one request passes when only a part of its call has been written. A single request cannot
// be removed from a call whose bytes are being sent, so the whole call is given up.
TEST_CASE("a partly written call is given up as a whole at the deadline of one of its requests") {
  CallSite site;
  const std::string body(kMoreThanSocketBuffers, 'x');
  site.upstreamClient.call(site.endpoint(), {{"soon", "", body, 100}, {"later", "", "y", 60000}});
  const Fd fd = site.accepted();
  site.advance(110);
  REQUIRE(site.outcomes.all.size() == 2);
  for (const auto& [uid, outcome] : site.outcomes.all) CHECK(outcome.outcome == Outcome::kConnectFailed);
  CHECK(site.upstreamClient.pendingCalls() == 0);
  site.readAll(fd);
  CHECK(site.bytes.size() < body.size());
}

constexpr double kHalfClosedMs = 50;  // as in outbound/upstream_client_outcomes.cpp

// The deadline of one request passes while the endpoint executes the call. The call's connection is
// half-closed, which the endpoint detects at once, and kept for kHalfClosedMs to receive an answer in
// transit.
TEST_CASE("a sent call is given up as a whole at the deadline of one of its requests") {
  CallSite site;
  site.upstreamClient.call(site.endpoint(), {{"later", "", "x", 60000}, {"soon", "", "y", 100}});
  const Fd fd = site.accepted();
  site.readUntil(fd, "soon");
  CHECK(site.bytes.find("X-Timeout: 0.100") != std::string::npos);  // the earliest deadline
  CHECK(site.outcomes.all.empty());
  site.advance(110);
  CHECK(readSome(fd, site.bytes) == Io::kClosed);
  CHECK(site.outcomes.all.empty());
  site.advance(kHalfClosedMs + 1);
  REQUIRE(site.outcomes.all.size() == 2);
  for (const auto& [uid, outcome] : site.outcomes.all) CHECK(outcome.outcome == Outcome::kTimeout);
  CHECK(site.upstreamClient.pendingCalls() == 0);
}

namespace {

// Returns the outcome of a call that is given up after 100 ms. The endpoint writes `answer` when the call's
// connection is half-closed, and then closes it if `closes` is true.
CallOutcome outcomeOf(const std::string& answer, bool closes) {
  CallSite site;
  site.upstreamClient.call(site.endpoint(), {{"m", "", "x", 100}});
  Fd fd = site.accepted();
  site.readUntil(fd, "\r\n\r\nx");
  site.advance(110);
  CHECK(readSome(fd, site.bytes) == Io::kClosed);
  std::size_t put = 0;
  writeSome(fd, answer, put);
  if (closes) fd.reset();
  for (int turns = 0; turns < 100 && site.outcomes.all.empty(); ++turns) site.advance(1);
  REQUIRE(site.outcomes.all.size() == 1);
  CHECK(site.upstreamClient.pendingCalls() == 0);
  return site.outcomes.all[0].second;
}

}  // namespace

// The endpoint sends an answer while the relay half-closes the call's connection.
TEST_CASE("an answer in transit when its call is given up still counts") {
  const CallOutcome wait =
      outcomeOf("HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", false);
  CHECK(wait.outcome == Outcome::kRejected);
  CHECK(wait.retryAfterMs == 2500);
  CHECK(outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false).completed);
  CHECK(outcomeOf("", false).outcome == Outcome::kTimeout);
  CHECK(outcomeOf("", true).outcome == Outcome::kTimeout);
  CHECK(outcomeOf("HTTP/1.1 4", false).outcome == Outcome::kFailure);  // it may have been executed
}

// An endpoint states a Retry-After while another call to it is partly written. The endpoint does not read
// yet, so the rest of the call would arrive before the Retry-After is over.
TEST_CASE("a partly written call is cancelled by a Retry-After of its endpoint") {
  CallSite site;
  const std::string body(kMoreThanSocketBuffers, 'x');
  site.upstreamClient.call(site.endpoint(), {{"long", "", body, 60000}});
  const Fd fd = site.accepted();
  site.advance(0);
  site.upstreamClient.cancelUnsent([](const std::string&) { return true; });
  REQUIRE(site.outcomes.all.size() == 1);
  CHECK(site.outcomes.all[0].second.outcome == Outcome::kNotSent);
  CHECK(site.upstreamClient.pendingCalls() == 0);
  site.readAll(fd);
  CHECK(site.bytes.size() < body.size());
}

// An answer arrives between the loop's poll and the timer that gives the call up. If the connection were
// closed with the answer unread, the next call would violate its Retry-After.
TEST_CASE("an answer that has arrived when its call times out still counts") {
  CallSite site;
  site.upstreamClient.call(site.endpoint(), {{"m", "", "x", 100}});
  const Fd fd = site.accepted();
  site.readUntil(fd, "\r\n\r\nx");
  site.loop.after(90, [&] {
    std::size_t put = 0;
    writeSome(fd, "HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n", put);
  });
  site.advance(110);  // both timers are due in the same turn of the loop
  REQUIRE(site.outcomes.all.size() == 1);
  CHECK(site.outcomes.all[0].second.outcome == Outcome::kRejected);
  CHECK(site.outcomes.all[0].second.retryAfterMs == 2500);
  CHECK(site.upstreamClient.pendingCalls() == 0);
}
