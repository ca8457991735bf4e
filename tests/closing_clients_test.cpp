// Bytes in the instant of a shutdown or a close, on the clients' side: the real program, held by a gate in
// the system call that the bytes cross (lab/gate.h). Nothing here waits for chance: each case says what it
// forces.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "lab/gated_site.h"

using namespace myrtleloft::lab;

namespace {

// What is asked once and rests: its answer is read.
void askOnce(GatedSite& site, RawClient& client, const std::string& id) {
  client.send(postOf(id));
  REQUIRE(site.until([&] { return client.has(" 202 "); }));
  client.in.clear();
}

}  // namespace

// Forced: the request reaches the socket after the relay has seen that nothing waits there and before it ends
// the connection.
TEST_CASE("a request on a resting connection as it is retired is not taken on, and its client sees the end") {
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
  CHECK(client.in == "");  // no answer to a request that nobody has read
  int code = -1;
  REQUIRE(site.until([&] { return site.relay->ended(code); }));
  CHECK(code == 0);
  CHECK(site.until([&] { return site.logHas("counters rest:"); }));
  CHECK(site.logHas(" requests=1 "));
  CHECK(site.endpoint.calls.size() == 1);
}
