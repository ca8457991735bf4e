// One relay of a fleet: a DiscoveryClientFixture with the backoff for a fleet of a given size and drain grace
// period.
//
//   forEachFleet([](const FleetSize& fleet, std::uint64_t seed) {
//     FleetRelayFixture relay(fleet, seed, true);
//   });
#pragma once

#include <doctest/doctest.h>

#include <string>

#include "lab/site.h"
#include "tests/discovery/discovery_client_fixture.h"

namespace myrtleloft {

// The constants of the protocol. They are repeated here, because the values in the program are what is
// tested.
constexpr double kWaitMs = 10000;  // how long a long poll waits
constexpr double kSlackMs = 50;    // tolerance of each bound, as the clock advances in steps
constexpr double kNotifiedMs = 6000, kWaitNotifiedMs = 2000, kReloadNotifiedMs = 4000;

// A complete list in which the endpoint u1 is draining.
inline std::string drainingList(int rev) {
  std::string entry = DiscoveryClientFixture::entry(1);
  lab::replaceAll(entry, "active", "leaving");
  return "{\"rev\":" + std::to_string(rev) + ",\"all\":true,\"targets\":[" + entry + "]}";
}

struct FleetSize {
  int relays;
  double graceMs;
};
constexpr FleetSize kFleets[] = {{1, 2000}, {30, 2000}, {300, 2000}, {300, 500}};
constexpr std::uint64_t kSeeds = 6;

// A relay of the fleet that knows the endpoint u1 as active. If `fresh` is set, its list has just been
// confirmed.
struct FleetRelayFixture : DiscoveryClientFixture {
  FleetRelayFixture(const FleetSize& fleet, std::uint64_t seed, bool fresh,
                    const EndpointList& known = oneEndpoint())
      : DiscoveryClientFixture(options(fleet, seed), &known, fresh) {
    holdsLongPolls = true;
    list = R"({"rev":1,"all":false,"targets":[]})";
  }
  static DiscoveryClient::Options options(const FleetSize& fleet, std::uint64_t seed) {
    DiscoveryClient::Options o;
    o.backoff = backoffFor(fleet.relays, 100, fleet.graceMs);
    o.seed = seed;
    return o;
  }
  bool knowsDraining() const {
    return endpointDirectory.endpoints().findByUid("u1")->info.state == EndpointState::kDraining;
  }
  // From now on the directory answers each poll with a list in which u1 is draining.
  void announceDraining() {
    holdsLongPolls = false;
    list = drainingList(2);
  }
  // Advances the clock until the relay knows of the drain, but at most 20 s beyond `byMs`. Returns the time.
  double advanceUntilKnown(double byMs) {
    while (!knowsDraining() && clock.nowMs < byMs + 20000) advance(50);
    return clock.nowMs;
  }
  // Advances the clock until the directory has received `calls` polls.
  void advanceUntilPolls(int calls) {
    for (int i = 0; i < 1000 && polls < calls; ++i) advance(50);
    REQUIRE(polls == calls);
  }
};

template <typename F>
void forEachFleet(F test) {
  for (const FleetSize& fleet : kFleets)
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(fleet.relays);
      CAPTURE(fleet.graceMs);
      CAPTURE(seed);
      test(fleet, seed);
    }
}

}  // namespace myrtleloft
