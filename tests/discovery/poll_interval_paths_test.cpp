// The poll interval in special cases: the address of discovery changes, a connection is never established,
// only one of several directories is reachable, no file descriptor is available, and the operator sets the
// backoff. Uses real sockets on the loopback interface and a manual clock.
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

#include "net/socket.h"
#include "tests/discovery/fleet_relay_fixture.h"

using namespace myrtleloft;

namespace {

constexpr double kFaultFreePollMs = 1000;  // the maximum duration of a poll without faults

// Listens with a full backlog, so that the next SYN gets no answer.
struct FullBacklog {
  FullBacklog() : listener(::socket(AF_INET, SOCK_STREAM, 0)), first(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(::listen(listener, 0) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) == 0);
    REQUIRE(::connect(first, reinterpret_cast<sockaddr*>(&at), size) == 0);
    address = *parseAddress("127.0.0.1:" + std::to_string(ntohs(at.sin_port)));
  }
  ~FullBacklog() {
    ::close(first);
    ::close(listener);
  }
  int listener, first;
  Address address;
};

}  // namespace

TEST_CASE("after an address change a fleet spreads its polls, and uses the old directory until then") {
  constexpr int kRelays = 300;
  std::vector<double> calls;
  for (std::uint64_t seed = 1; seed <= kRelays; ++seed) {
    FleetRelayFixture relay({kRelays, 500}, seed, true);
    relay.advanceUntilPolls(2);  // the first one confirms the initial list, the second one is a long poll
    relay.client->onAddressChanged();
    relay.advance(4000 + 500 - kFaultFreePollMs / 2);
    REQUIRE(relay.polls >= 3);
    CHECK(relay.calls[2] == "GET /discovery/hosts HTTP/1.1");
    calls.push_back(relay.polledMs[2]);
  }
  std::sort(calls.begin(), calls.end());
  std::ptrdiff_t most = 0;
  for (auto at = calls.begin(); at != calls.end(); ++at)
    most = std::max(most, std::lower_bound(at, calls.end(), *at + 1000) - at);
  CHECK(most <= kRelays / 2);

  FleetRelayFixture relay({kRelays, 500}, 3, true);
  relay.advanceUntilPolls(2);
  relay.client->onAddressChanged();
  relay.runLoop(20);
  REQUIRE(relay.polls == 2);
  relay.list = drainingList(2);
  relay.hub.send(*relay.waiting.begin(), relay.answer());
  relay.runLoop(20);
  CHECK(relay.knowsDraining());
  relay.advance(5000);
  CHECK(relay.calls[2] == "GET /discovery/hosts HTTP/1.1");
}

TEST_CASE("a long poll whose connection is never established does not count as waiting") {
  const FullBacklog fullBacklog;
  FleetRelayFixture relay({1, 500}, 1, true);
  relay.advanceUntilPolls(1);
  const Address reachableAddress = relay.address;
  relay.address = fullBacklog.address;
  relay.hub.close(*relay.connections.begin(), true);
  relay.advance(100);  // the next poll tries to connect to an address that does not accept connections
  relay.address = reachableAddress;
  relay.hub.acceptAgain(relay.directory);
  REQUIRE(relay.polls == 1);
  const double notifiedMs = relay.clock.nowMs + kNotifiedMs;
  relay.announceDraining();
  CHECK(relay.advanceUntilKnown(notifiedMs) <= notifiedMs + 500 - kFaultFreePollMs);
}

TEST_CASE("the only reachable one of several directories is polled in time") {
  for (std::size_t unreachable = 1; unreachable <= 3; ++unreachable)
    for (const int relays : {1, 30, 300})
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(unreachable);
        CAPTURE(relays);
        CAPTURE(seed);
        lab::Hub others;
        DiscoveryClient::Options options;
        options.backoff = backoffFor(relays, 100, 500, 1 + unreachable);
        options.seed = seed;
        for (std::size_t i = 0; i < unreachable; ++i)
          options.otherDirectories.push_back(
              *parseAddress(others.listen({[](lab::Hub::Id, const lab::Message&) {}, {}, {}})));
        const EndpointList known = oneEndpoint();
        DiscoveryClientFixture fixture(options, &known);  // the list is not fresh: polls immediately
        fixture.ignoresPolls = true;
        fixture.advance(3000 + 700 * static_cast<double>(seed));
        fixture.ignoresPolls = false;
        fixture.list = drainingList(2);
        const double fromMs = fixture.clock.nowMs;
        const auto knowsDraining = [&] {
          return fixture.endpointDirectory.endpoints().findByUid("u1")->info.state ==
                 EndpointState::kDraining;
        };
        while (!knowsDraining() && fixture.clock.nowMs < fromMs + 20000) fixture.advance(50);
        CHECK(fixture.clock.nowMs <= fromMs + kNotifiedMs + 500 - kFaultFreePollMs);
      }
}

TEST_CASE("without a free descriptor the poll is made as soon as there is one") {
  FleetRelayFixture relay({300, 500}, 1, true);
  relay.advanceUntilPolls(1);
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
  relay.hub.close(*relay.connections.begin(), true);
  const rlimit noDescriptors{0, before.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &noDescriptors) == 0);
  relay.advance(8000);
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
  REQUIRE(relay.polls == 1);
  relay.announceDraining();
  const double fromMs = relay.clock.nowMs;
  CHECK(relay.advanceUntilKnown(fromMs) <= fromMs + 500);
}

TEST_CASE("an operator's backoff is not bounded by the poll interval") {
  Backoff backoff = backoffFor(300, 100, 500);
  backoff.maxMs = 20000;
  backoff.firstMaxMs = 0;
  backoff.boundedByInterval = false;
  DirectoryRotation rotation(1, backoff, [] { return 0.999; });
  double longest = 0;
  for (int i = 0; i < 12; ++i) longest = std::max(longest, rotation.recordFailure(1000));
  CHECK(longest > 19000);
  CHECK(longest <= 20000);
}
