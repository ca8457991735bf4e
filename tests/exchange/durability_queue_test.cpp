// Calls and 202 answers that wait for a running sync. Uses manual clocks, an in-memory disk and real sockets
// without blocking.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/exchange/exchange_site.h"

using namespace myrtleloft;
using myrtleloft::testing::Site;

TEST_CASE("group: a call is not sent if its endpoint starts draining while the call waits for its sync") {
  for (const bool drains : {false, true}) {
    Site site(true);
    site.submit("m");
    site.advance(10);
    REQUIRE(!site.syncer.jobs.empty());
    if (drains) site.setEndpointState(EndpointState::kDraining);
    for (int i = 0; i < 3; ++i) {  // the first sync covers only the records written before the request
      site.syncer.work();
      site.manager->onSynced();
    }
    CHECK(site.answers == std::vector<Answer::Kind>{Answer::Kind::kAccepted});
    CHECK(site.outbound.pendingCalls() == (drains ? 0 : 1));
  }
}

TEST_CASE("group: a call is not sent if the relay starts draining while the call waits for its sync") {
  Site site(true);
  site.submit("m");
  site.advance(10);
  REQUIRE(!site.syncer.jobs.empty());
  site.manager->drain();
  for (int i = 0; i < 3; ++i) {
    site.syncer.work();
    site.manager->onSynced();
    site.advance(10);
  }
  CHECK(site.answers == std::vector<Answer::Kind>{Answer::Kind::kAccepted});
  CHECK(site.outbound.pendingCalls() == 0);
}

TEST_CASE(
    "group: a call is not sent if its endpoint states a Retry-After while the call waits for its sync") {
  for (const bool separateLimits : {true, false}) {
    Site site(true, 1, 4, separateLimits);
    const auto sync = [&site] {
      for (int i = 0; i < 3; ++i) {
        site.syncer.work();
        site.manager->onSynced();
        site.advance(10);
      }
    };
    site.submit("m");
    site.advance(10);
    sync();
    int errorNumber = 0;
    const Fd fd = acceptFrom(site.endpoint, errorNumber);
    REQUIRE(fd);
    site.submit("n");
    site.advance(10);
    REQUIRE(site.outbound.pendingCalls() == 1);
    const std::string rejection = "HTTP/1.1 429 No\r\nRetry-After: 1.000\r\nContent-Length: 0\r\n\r\n";
    std::size_t written = 0;
    REQUIRE(writeSome(fd, rejection, written) == Io::kProgress);
    site.advance(20);
    sync();
    CHECK(site.outbound.pendingCalls() == 0);
    for (int i = 0; i < 60; ++i) {
      site.advance(20);
      sync();
    }
    CHECK(site.outbound.pendingCalls() > 0);
  }
}

TEST_CASE("group: a bounded number of requests waits for a hanging sync, and later ones are accepted") {
  Site site(true);
  site.submit("first");
  site.advance(10);
  REQUIRE(!site.syncer.jobs.empty());
  // Each client disconnects and is replaced by another one; the waiting requests must not grow without bound.
  for (int i = 0; i < 2000; ++i) {
    site.submit("m" + std::to_string(i));
    site.advance(5);
    site.manager->onClientDisconnect("m" + std::to_string(i));
  }
  CHECK(std::count(site.answers.begin(), site.answers.end(), Answer::Kind::kRejected) > 1700);
  CHECK(site.lastRetryAfterMs > 0);
  for (int i = 0; i < 5; ++i) {
    site.syncer.work();
    site.manager->onSynced();
    site.advance(10);
  }
  site.answers.clear();
  site.submit("after");
  for (int i = 0; i < 5; ++i) {
    site.advance(10);
    site.syncer.work();
    site.manager->onSynced();
  }
  CHECK(site.answers == std::vector<Answer::Kind>{Answer::Kind::kAccepted});
}
