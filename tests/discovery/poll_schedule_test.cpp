// The poll schedule. The drain grace period starts when the relay counts as notified of a change, even if
// discovery could not send the change. A long poll that gets no answer, breaks or stalls must therefore be
// repeated in time. Also reads lists that are indented.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "config/config.h"
#include "discovery/list_reader.h"
#include "lab/site.h"
#include "tests/discovery/fleet_relay_fixture.h"

using namespace myrtleloft;

TEST_CASE("a long poll that falls silent is repeated before what it missed must be known") {
  forEachFleet([](const FleetSize& fleet, std::uint64_t seed) {
    for (const double afterMs : {0.0, 9000.0}) {  // since the start of the poll
      FleetRelayFixture relay(fleet, seed, true);
      relay.advanceUntilPolls(1);
      const double calledMs = relay.clock.nowMs;
      relay.advance(afterMs);
      const double notifiedMs =
          std::max(relay.clock.nowMs + kNotifiedMs, calledMs + kWaitMs + kWaitNotifiedMs);
      relay.silenceConnections();
      relay.announceDraining();
      CHECK(relay.advanceUntilKnown(notifiedMs) <= notifiedMs + fleet.graceMs + kSlackMs);
    }
  });
}

TEST_CASE("a poll that does not wait times out from its beginning, and is repeated in time") {
  forEachFleet([](const FleetSize& fleet, std::uint64_t seed) {
    for (const bool missing : {false, true}) {  // false: the list is not fresh; true: an endpoint is missing
      EndpointList known = oneEndpoint();
      known.endpoints[0].missing = missing;
      FleetRelayFixture relay(fleet, seed, missing, known);
      relay.ignoresPolls = true;
      relay.advanceUntilPolls(1);
      relay.ignoresPolls = false;
      CHECK(relay.calls[0].find(missing ? "hosts " : "&wait_ms=0 ") != std::string::npos);
      const double notifiedMs = relay.clock.nowMs + kNotifiedMs;
      relay.announceDraining();
      CHECK(relay.advanceUntilKnown(notifiedMs) <= notifiedMs + fleet.graceMs + kSlackMs);
      if (!missing) CHECK(relay.calls[1] == relay.calls[0]);  // not a long poll while the list is not fresh
    }
  });
}

TEST_CASE("a poll whose answer stalls half-way is repeated in time") {
  forEachFleet([](const FleetSize& fleet, std::uint64_t seed) {
    for (const bool isLongPoll : {false, true}) {
      FleetRelayFixture relay(fleet, seed, isLongPoll);
      if (isLongPoll) relay.advanceUntilPolls(1);  // confirms the initial list; a long poll follows
      relay.ignoresPolls = true;
      relay.advanceUntilPolls(isLongPoll ? 2 : 1);
      relay.ignoresPolls = false;
      relay.advance(isLongPoll ? 9000 : 0);
      relay.announceDraining();
      const double notifiedMs =
          relay.clock.nowMs + kNotifiedMs;  // also at least 2 s after the wait has ended
      const std::string text = relay.answer();
      relay.hub.send(*relay.silentConnections.begin(), text.substr(0, text.size() / 2));
      CHECK(relay.advanceUntilKnown(notifiedMs) <= notifiedMs + fleet.graceMs + kSlackMs);
    }
  });
}

TEST_CASE("an answer that makes progress is not abandoned") {
  FleetRelayFixture relay({1, 2000}, 1, false);
  relay.ignoresPolls = true;
  relay.advanceUntilPolls(1);
  relay.advance(4000);
  relay.announceDraining();
  const std::string text = relay.answer();
  for (std::size_t i = 0; i < text.size(); i += text.size() / 4 + 1) {
    relay.hub.send(*relay.silentConnections.begin(), text.substr(i, text.size() / 4 + 1));
    relay.advance(1000);
  }
  CHECK(relay.knowsDraining());
}

TEST_CASE("a long poll whose connection breaks delays a change by no more than the grace") {
  forEachFleet([](const FleetSize& fleet, std::uint64_t seed) {
    FleetRelayFixture relay(fleet, seed, false);
    relay.advanceUntilPolls(2);  // the second is a long poll on its own connection
    REQUIRE(relay.connections.size() == 2);
    relay.announceDraining();  // the relay counts as notified immediately
    const double notifiedMs = relay.clock.nowMs;
    relay.hub.close(relay.lastPollFrom);
    CHECK(relay.advanceUntilKnown(notifiedMs) <= notifiedMs + fleet.graceMs + kSlackMs);
  });
}

TEST_CASE("a change is known within the grace after the start, and four seconds later after SIGHUP") {
  forEachFleet([](const FleetSize& fleet, std::uint64_t seed) {
    FleetRelayFixture relay(fleet, seed, true);
    relay.announceDraining();
    CHECK(relay.advanceUntilKnown(0) <= fleet.graceMs + kSlackMs);

    FleetRelayFixture reloaded(fleet, seed, true);
    reloaded.advanceUntilPolls(1);
    // The directory at the old address rejects polls, so the backoff grows.
    reloaded.rejectionsLeft = 1000;
    reloaded.hub.close(*reloaded.connections.begin());
    reloaded.advance(120e3);
    reloaded.rejectionsLeft = fleet.relays <= 30 ? 1 : 0;  // the pause after a failure grows with the fleet
    const double notifiedMs = reloaded.clock.nowMs + kReloadNotifiedMs;
    reloaded.announceDraining();
    reloaded.client->onAddressChanged();
    CHECK(reloaded.advanceUntilKnown(notifiedMs) <= notifiedMs + fleet.graceMs + kSlackMs);
  });
}

namespace {

// Formats JSON with each member and item on a line of its own.
std::string indented(const std::string& text) {
  std::string out;
  bool inString = false;
  std::size_t depth = 0;
  const auto line = [&] { out += "\r\n" + std::string(depth, '\t') + "  "; };
  for (const char c : text) {
    if (c == '"') inString = !inString;
    const bool opens = c == '{' || c == '[', closes = c == '}' || c == ']';
    if (inString || !(opens || closes || c == ',' || c == ':')) {
      out += c;
      continue;
    }
    depth += opens;
    depth -= closes;
    if (closes) line();
    out += c == ':' ? " : " : std::string(1, c);
    if (opens || c == ',') line();
  }
  return "\n" + out + "\n";
}

}  // namespace

TEST_CASE("indented lists are read: discovery's in slices of any size, and the configuration's") {
  const std::string list = "{\"rev\":7,\"all\":true,\"targets\":[" + DiscoveryClientFixture::entry(1) + "," +
                           DiscoveryClientFixture::entry(2) + "]}";
  const std::string text = indented(list);
  REQUIRE(std::count(text.begin(), text.end(), '\n') > 20);
  for (const std::size_t slice : {std::size_t{1}, std::size_t{7}, text.size()}) {
    ListReader reader(text, lab::kNames);
    while (!reader.step(slice)) {
    }
    const ListResult result = reader.take();
    const auto* error = std::get_if<ListError>(&result);
    REQUIRE_MESSAGE(error == nullptr, describe(error ? *error : ListError()));
    const auto* read = &std::get<EndpointList>(result);
    CHECK(read->revision == 7);
    CHECK(read->complete);
    REQUIRE(read->endpoints.size() == 2);
    CHECK(read->endpoints[1].info.endpoint == "u2");
  }
  const std::string config = indented(R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",)"
                                      R"("seed":"5","settings":)" +
                                      std::string(lab::kSiteSettings) + ",\"known\":" + list + "}");
  const Config read = readConfig({{"BALANCER_STATE", "/s"}}, config);
  CHECK(read.drainGraceMs == 2000);
  CHECK(read.known.revision == 7);
  REQUIRE(read.known.endpoints.size() == 2);
  CHECK(read.known.endpoints[0].address.text == "127.0.0.1:9");
}
