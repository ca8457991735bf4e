// DiscoveryClient and directories that do not keep to the protocol; also when the first poll is made and how
// lists are read. The clock is manual.
#include "discovery/discovery_client.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "tests/discovery/discovery_client_fixture.h"

using namespace myrtleloft;
using Fixture = DiscoveryClientFixture;

TEST_CASE("a directory that answers each long poll at once is not polled without end") {
  Fixture fixture;
  fixture.runLoop(50);
  REQUIRE(fixture.endpointDirectory.endpoints().all().size() == 1);
  const int firstPolls = fixture.polls;
  fixture.runLoop(500);  // the directory sends the complete list each time
  CHECK(fixture.polls <= firstPolls + 1);
  fixture.list = R"({"rev":1,"all":false,"targets":[]})";
  fixture.runLoop(50);
  const int before = fixture.polls;
  fixture.runLoop(500);  // the clock does not advance
  CHECK(fixture.polls <= before + 1);
  for (int i = 0; i < 20; ++i) {
    fixture.clock.nowMs += 50;
    fixture.runLoop(20);
  }
  CHECK(fixture.polls >=
        before + 10);  // polled again within the 200 ms in which a long poll counts as continued
  CHECK(fixture.polls <= before + 22);
}

TEST_CASE("a list that is not fresh is confirmed at once though the directory has nothing new") {
  const EndpointList known = oneEndpoint();
  Fixture fixture({}, &known);
  fixture.holdsLongPolls = true;
  fixture.list = R"({"rev":1,"all":false,"targets":[]})";
  REQUIRE(fixture.endpointDirectory.freshness() == Freshness::kStale);
  fixture.runLoop(50);
  CHECK(fixture.endpointDirectory.freshness() == Freshness::kFresh);
  fixture.clock.nowMs += 100;
  fixture.runLoop(50);
  REQUIRE(fixture.calls.size() == 2);
  CHECK(fixture.calls[0] == "GET /discovery/hosts?after=1&wait_ms=0 HTTP/1.1");
  CHECK(fixture.calls[1] == "GET /discovery/hosts?after=1&wait_ms=10000 HTTP/1.1");
}

TEST_CASE("the initial list is cached though discovery never answers") {
  const EndpointList known = oneEndpoint();
  Fixture fixture({}, &known, true, true);
  fixture.holdsLongPolls = true;
  fixture.clock.nowMs += 10;
  fixture.runLoop(20);
  CHECK(fixture.disk.files.count("/s/members") == 1);
}

TEST_CASE("a first poll that may be delayed comes within the spread, at another moment in each relay") {
  const EndpointList known = oneEndpoint();
  std::set<int> moments;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    DiscoveryClient::Options options;
    options.backoff.startSpreadMs = 5000;
    options.seed = seed;
    Fixture fixture(options, &known, true);
    REQUIRE(fixture.endpointDirectory.freshness() == Freshness::kFresh);
    fixture.holdsLongPolls = true;
    fixture.runLoop(20);
    int waited = 0;
    for (; waited < 5000 && fixture.polls == 0; waited += 100) {
      fixture.clock.nowMs += 100;
      fixture.runLoop(20);
    }
    CHECK(fixture.polls == 1);
    moments.insert(waited);
    // The address of discovery changes for the whole fleet.
    fixture.client->onAddressChanged();
    fixture.runLoop(20);
    CHECK(fixture.polls == 1);
    for (int i = 0; i < 50; ++i) {
      fixture.clock.nowMs += 100;
      fixture.runLoop(20);
    }
    CHECK(fixture.polls == 2);
  }
  CHECK(moments.size() >= 7);
}

TEST_CASE("a list longer than the limit is not accepted, and the known one stays") {
  DiscoveryClient::Options options;
  options.maxListBytes = 2000;
  Fixture fixture(options);
  fixture.runLoop(50);
  REQUIRE(fixture.endpointDirectory.endpoints().all().size() == 1);
  const auto before = fixture.counters.lists;
  fixture.list = "{\"rev\":2,\"all\":true,\"targets\":[" + Fixture::entry(1);
  for (int i = 2; i < 100; ++i) fixture.list += "," + Fixture::entry(i);
  fixture.list += "]}";
  for (int i = 0; i < 10; ++i) {
    fixture.clock.nowMs += 200;
    fixture.runLoop(50);
  }
  CHECK(fixture.endpointDirectory.endpoints().all().size() == 1);
  CHECK(fixture.counters.lists <= before + 1);  // one answer may have been in flight
  fixture.list = "{\"rev\":3,\"all\":true,\"targets\":[" + Fixture::entry(1) + "," + Fixture::entry(2) + "]}";
  for (int i = 0; i < 10; ++i) {
    fixture.clock.nowMs += 200;
    fixture.runLoop(50);
  }
  CHECK(fixture.endpointDirectory.endpoints().all().size() == 2);
}

TEST_CASE("a long list is read in slices, and abandoned if the address changes meanwhile") {
  constexpr int kMany = 8000;
  std::string entries = Fixture::entry(1);
  for (int i = 2; i <= kMany; ++i) entries += "," + Fixture::entry(i);
  const auto turnsUntil = [](Fixture& fixture, auto done) {
    int turns = 0;
    for (; turns < 2000 && !done(); ++turns) fixture.runLoop(1);
    return turns;
  };
  // A list of the same length that is rejected at its first entry shows how many turns it takes to receive
  // it.
  Fixture malformed;
  malformed.list = "{\"targets\":[1," + entries + "]}";
  const int turnsToArrive = turnsUntil(malformed, [&] { return malformed.counters.listFaults > 0; });
  REQUIRE(turnsToArrive < 2000);
  const std::string list = "{\"rev\":1,\"all\":true,\"targets\":[" + entries + "]}";
  const int slices = static_cast<int>(list.size() / (32 * 1024));
  Fixture fixture;
  fixture.list = list;
  const int turnsToApply = turnsUntil(fixture, [&] { return fixture.events > 0; });
  CHECK(fixture.endpointDirectory.endpoints().all().size() == kMany);
  CHECK(turnsToApply >= turnsToArrive + slices / 2);
  CHECK(turnsToApply < 2000);

  Fixture other;
  other.list = list;
  turnsUntil(other, [&, turns = 0]() mutable { return ++turns > turnsToArrive + slices / 4; });
  REQUIRE(other.events == 0);
  other.list = "{\"rev\":2,\"all\":true,\"targets\":[" + Fixture::entry(1) + "]}";
  other.client->onAddressChanged();
  turnsUntil(other, [&] { return other.events > 0; });
  CHECK(other.endpointDirectory.endpoints().revision() == 2);
  CHECK(other.endpointDirectory.endpoints().all().size() == 1);
}

// Guards against sends by the list of an earlier process: while requests wait for the list, nothing may delay
// the poll that confirms it, nor its answer.
TEST_CASE("a list that requests wait for is confirmed at once, before and during the start's delay") {
  const EndpointList known = oneEndpoint();
  for (const double requestedAfterMs : {0.0, 400.0}) {
    CAPTURE(requestedAfterMs);
    DiscoveryClient::Options options;
    options.backoff.startSpreadMs = 5000;
    options.seed = 3;
    DiscoveryClientFixture fixture(options, &known, true);
    fixture.holdsLongPolls = true;
    fixture.list = R"({"rev":1,"all":false,"targets":[]})";
    fixture.advance(requestedAfterMs);
    REQUIRE(fixture.polls == 0);
    fixture.client->requestConfirmation();
    fixture.runLoop(20);
    CHECK(fixture.events == 1);  // the answer has no change, and confirms the list
    CHECK(fixture.endpointDirectory.confirmed());
    REQUIRE(!fixture.calls.empty());
    CHECK(fixture.calls.front() == "GET /discovery/hosts?after=1&wait_ms=0 HTTP/1.1");
    const int polls = fixture.polls;
    fixture.client->requestConfirmation();
    fixture.runLoop(20);
    CHECK(fixture.polls == polls);
  }
}
