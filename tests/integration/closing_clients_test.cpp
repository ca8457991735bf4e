// Bytes in the instant of a shutdown or a close, on the clients' side: the real program, held by a gate in
// the system call that the bytes cross (lab/gate.h). Nothing here waits for chance: each case says what it
// forces.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "lab/gated_site.h"

using namespace myrtleloft::lab;

namespace {

// What is asked once and rests: its answer is read.
void askOnce(GatedSite& site, RawClient& client, const std::string& id) {
  client.send(postOf(id));
  REQUIRE(site.until([&] { return client.has(" 202 "); }));
  client.in.clear();
}

std::size_t countOf(const std::string& text, const std::string& what) {
  std::size_t count = 0;
  for (std::size_t at = text.find(what); at != text.npos; at = text.find(what, at + 1)) ++count;
  return count;
}

// Whether the program ends by itself, with code 0 and its counters told.
bool endsWell(GatedSite& site) {
  int code = -1;
  return site.until([&] { return site.relay->ended(code); }) && code == 0 &&
         site.until([&] { return site.logHas("counters rest:"); });
}

// SIGTERM, seen by the relay; when that was.
double drain(GatedSite& site) {
  site.relay->signal(SIGTERM);
  REQUIRE(site.until([&] { return site.logHas(": draining"); }));
  return steadyMs();
}

}  // namespace

// Forced: the request reaches the socket after the relay has seen that nothing waits there and before it ends
// the connection.
TEST_CASE("a request on a resting connection as it is retired is not taken on, and no reset meets it") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  RawClient client(site.relay->address());
  askOnce(site, client, "first");
  site.gate.hold({Call::kPeek, When::kAfter, client.port()});
  site.relay->signal(SIGTERM);
  REQUIRE(site.until([&] { return site.gate.held(); }));
  client.send(postOf("crossing"));
  site.gate.open();
  REQUIRE(site.until([&] { return client.take(); }));
  CHECK(client.in == "");
  CHECK(client.ended());
  client.close();
  REQUIRE(endsWell(site));
  CHECK(site.logHas(" requests=1 "));
  CHECK(site.endpoint.calls.size() == 1);
}

// Forced: connections have just been retired when a connection asks for the first time.
TEST_CASE("a connection that was opened before SIGTERM and asks after the others were retired is answered") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  RawClient resting(site.relay->address()), silent(site.relay->address());
  askOnce(site, resting, "first");
  drain(site);
  REQUIRE(site.until([&] { return resting.take(); }));
  silent.send(postOf("second"));
  REQUIRE(site.until([&] { return silent.take(); }));
  CHECK(silent.has(" 202 "));
  CHECK(silent.has("Connection: close"));
  CHECK(silent.ended());
}

// Forced: the first answer is about to be written while connections are retired, five requests stand in the
// relay's buffer and three more in the kernel.
TEST_CASE("requests sent ahead over SIGTERM are each answered, or their connection is closed between them") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  RawClient client(site.relay->address());
  const double termMs = drain(site);
  site.gate.hold({Call::kSend, When::kBefore, client.port()});
  std::string ahead;
  for (int i = 0; i < 5; ++i) ahead += postOf("ahead" + std::to_string(i));
  REQUIRE(client.send(ahead) == ahead.size());
  REQUIRE(site.until([&] { return site.gate.held(); }));
  client.send(postOf("late0") + postOf("late1") + postOf("late2"));
  REQUIRE(site.until([&] { return steadyMs() > termMs + 500; }));  // the relay's clock is past retiring
  site.gate.open();
  REQUIRE(site.until([&] { return client.take(); }));
  CHECK(client.ended());
  const std::size_t answered = countOf(client.in, "HTTP/1.1 202 ");
  CHECK(answered >= 5);
  CHECK(countOf(client.in, "HTTP/1.1 ") == answered);
  CHECK(countOf(client.in, "Connection: close") == 1);
  client.close();
  REQUIRE(endsWell(site));
  CHECK(site.logHas(" requests=" + std::to_string(answered) + " "));
  CHECK(site.endpoint.calls.size() == answered);
}

// Forced: all of them, and the client's FIN, are in the kernel before the relay's first read.
TEST_CASE("requests sent ahead by a client that has ended its sending are all answered") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  RawClient client(site.relay->address());
  site.gate.hold({Call::kRecv, When::kBefore, client.port()});
  client.send("GET /up HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\nGET /up HTTP/1.1\r\n\r\n" + postOf("a") +
              postOf("b"));
  client.shut();
  REQUIRE(site.until([&] { return site.gate.held(); }));
  site.gate.open();
  REQUIRE(site.until([&] { return client.take(); }));
  CHECK(client.ended());
  CHECK(countOf(client.in, "HTTP/1.1 200 ") == 3);
  CHECK(countOf(client.in, "HTTP/1.1 202 ") == 2);
}

// Forced: the relay has read a whole request and one byte of what follows before the rest is sent.
TEST_CASE("what stands behind a request is waited for where it cannot be told yet") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  const std::string next = postOf("next");
  for (const bool isRequest : {true, false}) {
    RawClient client(site.relay->address());
    site.gate.hold({Call::kRecv, When::kAfter, client.port()});
    client.send(postOf(isRequest ? "one" : "cut") + "P");
    REQUIRE(site.until([&] { return site.gate.held(); }));
    client.send(isRequest ? next.substr(1) : "rest of a body");
    site.gate.open();
    REQUIRE(
        site.until([&] { return countOf(client.in, "HTTP/1.1 ") == (isRequest ? 2 : 1) || client.take(); }));
    CHECK(countOf(client.in, "HTTP/1.1 202 ") == (isRequest ? 2 : 0));
    CHECK(countOf(client.in, "HTTP/1.1 400 ") == (isRequest ? 0 : 1));
  }
  CHECK(site.counts("requests=2 malformed=1 taken=2 "));
}

// Forced: the relay has read the half line when its client ends, by FIN and by RST.
TEST_CASE("half a line and then the end is told, counted and costs nobody else anything") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  RawClient good(site.relay->address());
  for (const bool reset : {false, true}) {
    RawClient half(site.relay->address());
    site.gate.hold({Call::kRecv, When::kAfter, half.port()});
    half.send("POST /status-upd");
    REQUIRE(site.until([&] { return site.gate.held(); }));
    reset ? half.reset() : half.shut();
    site.gate.open();
    if (!reset) {
      REQUIRE(site.until([&] { return half.take(); }));
      CHECK(half.has("HTTP/1.1 400 "));
      CHECK(half.ended());
    }
  }
  askOnce(site, good, "good");
  CHECK(site.counts("requests=1 malformed=2 taken=1 "));
}

// Forced: the reset before the relay reads the request; when its answer is about to be written; when it was.
TEST_CASE("a reset before, within and after the answer to a client") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  const Instant instants[] = {
      {Call::kPoll, When::kBefore}, {Call::kSend, When::kBefore}, {Call::kSend, When::kAfter}};
  std::size_t calls = 0;
  for (Instant instant : instants) {
    RawClient client(site.relay->address());
    const std::string port = std::to_string(client.port());
    askOnce(site, client, "first" + port);
    const bool unread = instant.call == Call::kPoll;
    if (!unread) instant.peerPort = client.port();
    site.gate.hold(instant);
    if (!unread) client.send(postOf("reset" + port));
    REQUIRE(site.until([&] { return site.gate.held(); }));
    if (unread) client.send(postOf("unread"));
    client.reset();
    site.gate.open();
    RawClient next(site.relay->address());
    askOnce(site, next, "next" + port);
    // One that was read before the reset was taken on: its client comes again under another id.
    calls += unread ? 2 : 3;
    REQUIRE(site.until([&] { return site.endpoint.calls.size() == calls; }));
  }
  CHECK(site.counts("requests=8 malformed=0 taken=8 "));
}

// Forced: the process closes its connections at the drain's limit, and requests reach their sockets as it
// closes the first: one whole, on a connection that has asked nothing yet, the other with its first half
// read.
TEST_CASE("a request that lies unread as the process ends is refused, not reset") {
  GatedSite site(MYRTLELOFT_GATED);
  REQUIRE(site.start());
  const double termMs = drain(site);
  const RawClient keepsDrainOpen(site.relay->address());  // closed after 2 s without a request
  REQUIRE(site.until([&] { return steadyMs() > termMs + 1500; }));
  RawClient closedFirst(site.relay->address()), silent(site.relay->address()), halfway(site.relay->address());
  const std::string request = postOf("halfway");
  halfway.send(request.substr(0, request.size() / 2));
  REQUIRE(site.until([&] { return site.counts("connections=4 "); }));
  site.gate.hold({Call::kClose, When::kBefore, closedFirst.port()});
  REQUIRE(site.until([&] { return site.gate.held(); }));
  CHECK(steadyMs() > termMs + 3000);  // not for its own timeout
  silent.send(postOf("silent"));
  halfway.send(request.substr(request.size() / 2));
  site.gate.open();
  for (RawClient* client : {&silent, &halfway}) {
    REQUIRE(site.until([&] { return client->take(); }));
    CHECK(client->has("HTTP/1.1 503 "));
    CHECK(client->has("Retry-After: "));
    CHECK(client->ended());
  }
  REQUIRE(endsWell(site));
  CHECK(site.endpoint.calls.empty());
}
