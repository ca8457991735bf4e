// The relay counts as notified of a change six seconds after discovery has it and is reachable, regardless of
// the results of earlier polls. Each kind of fault and mixtures of them are tested, for a short time and for
// a minute, on a manual clock.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "tests/discovery/fleet_relay_fixture.h"

using namespace myrtleloft;

namespace {

enum class Fault {
  kRejected,
  kMalformed,
  kNoConnection,
  kReset,
  kSilent,
  kStalled,
  kTrickling,
  kLateRejection,
  kMixed
};
constexpr Fault kFaults[] = {Fault::kRejected,  Fault::kMalformed,     Fault::kNoConnection,
                             Fault::kReset,     Fault::kSilent,        Fault::kStalled,
                             Fault::kTrickling, Fault::kLateRejection, Fault::kMixed};
constexpr FleetSize kFleetSizes[] = {{1, 500}, {1, 2000}, {30, 500}, {30, 2000}, {300, 500}, {300, 2000}};
// The maximum duration of a poll without faults: a lost SYN is retransmitted after a second.
constexpr double kFaultFreePollMs = 1000;

struct FaultyDirectoryFixture : FleetRelayFixture {
  FaultyDirectoryFixture(const FleetSize& fleet, std::uint64_t seed, bool fresh)
      : FleetRelayFixture(fleet, seed, fresh), random(seed) {}
  // From now on every poll meets the fault, including the polls in flight.
  void startFault(Fault kind) {
    fault = [this, kind](lab::Hub::Id from) { applyFault(from, kind); };
    // Long polls that are waiting meet it now.
    for (const auto id : std::set<lab::Hub::Id>(waiting)) applyFault(id, kind);
    waiting.clear();
    if (kind == Fault::kNoConnection) hub.refuse(directory);
  }
  void applyFault(lab::Hub::Id from, Fault kind) {
    if (kind == Fault::kMixed) kind = kFaults[random() % 8];
    switch (kind) {
      case Fault::kRejected:
        return hub.send(from, "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
      case Fault::kMalformed:
        return hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"rev\":2]");
      case Fault::kNoConnection:
      case Fault::kReset:
        return hub.close(from, true);
      case Fault::kStalled:
        hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":2,\"all\":true,\"targets\":[");
        break;
      case Fault::kTrickling:
        hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":2,");
        trickle(from);
        break;
      case Fault::kLateRejection:
        rejectsLate = true;
        loop.after(4500, [this, from] {
          if (hub.open(from)) hub.send(from, "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
        });
        break;
      default:
        break;
    }
    silentConnections.insert(from);
  }
  void trickle(lab::Hub::Id from) {
    loop.after(400, [this, from] {
      if (!hub.open(from)) return;
      hub.send(from, " ");
      trickle(from);
    });
  }
  void ends() {
    fault = nullptr;
    rejectsLate = rejectsLate && silentConnections.count(lastPollFrom);
    hub.acceptAgain(directory);
  }
  // The endpoint u1 starts to drain. Returns when the relay counts as notified of that.
  double announceChange() {
    announceDraining();
    for (const auto id : std::set<lab::Hub::Id>(waiting))
      if (!silentConnections.count(id)) hub.send(id, answer());
    waiting.clear();
    double notifiedMs = clock.nowMs + kNotifiedMs;
    // If the last poll is a long poll without an answer, its wait counts too. If it is rejected, it does not.
    if (silentConnections.count(lastPollFrom) && !rejectsLate &&
        calls.back().find("wait_ms=10000") != std::string::npos)
      notifiedMs = std::max(notifiedMs, polledMs.back() + kWaitMs + kWaitNotifiedMs);
    return notifiedMs;
  }
  double randomUpTo(double maxMs) { return std::uniform_real_distribution<double>(0, maxMs)(random); }

  std::mt19937_64 random;
  bool rejectsLate = false;  // whether a poll will be rejected long after it was made
};

template <typename F>
void forEachFault(F test) {
  for (const Fault fault : kFaults)
    for (const FleetSize& fleet : kFleetSizes)
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(static_cast<int>(fault));
        CAPTURE(fleet.relays);
        CAPTURE(fleet.graceMs);
        CAPTURE(seed);
        test(fault, fleet, seed);
      }
}

// Discovery fails for `outageMs` and recovers. Within seconds an endpoint starts to drain.
void testOutage(Fault fault, const FleetSize& fleet, std::uint64_t seed, double outageMs) {
  FaultyDirectoryFixture relay(fleet, seed, seed % 2 == 0);
  relay.advanceUntilPolls(1);
  relay.advance(500 + relay.randomUpTo(4000));
  relay.startFault(fault);
  relay.advance(outageMs + relay.randomUpTo(5000));
  relay.ends();
  relay.advance(seed % 3 == 0 ? 0 : relay.randomUpTo(7000));
  const double notifiedMs = relay.announceChange();
  CHECK(relay.advanceUntilKnown(notifiedMs) <= notifiedMs + fleet.graceMs - kFaultFreePollMs);
}

}  // namespace

TEST_CASE("after any failures a change is known before the grace is over") {
  forEachFault(
      [](Fault fault, const FleetSize& fleet, std::uint64_t seed) { testOutage(fault, fleet, seed, 200); });
}

TEST_CASE("after a minute of failures a change is known before the grace is over") {
  forEachFault([](Fault fault, const FleetSize& fleet, std::uint64_t seed) {
    if (seed <= 2) testOutage(fault, fleet, seed, 60000);
  });
}

TEST_CASE("a fleet whose polls fail together does not poll in step, however long that lasts") {
  constexpr int kRelays = 300;
  constexpr double kOutageMs = 12000, kGapMs = 5000;
  for (const bool fresh : {false, true})
    for (const Fault fault : {Fault::kRejected, Fault::kReset, Fault::kSilent, Fault::kStalled}) {
      // Long polls without an answer that started together must end within half a second of each other,
      // because changes that they missed must be known by then. So they cannot be spread further.
      if (fresh && fault == Fault::kSilent) continue;
      std::vector<double> calls;
      for (std::uint64_t seed = 1; seed <= kRelays; ++seed) {
        FaultyDirectoryFixture relay({kRelays, 500}, seed, fresh);
        relay.startFault(fault);
        relay.advance(kOutageMs);
        // The first poll of each relay is not counted. Neither is the second if it replaces a long poll that
        // was reset, which is repeated immediately.
        const bool two = fresh && fault == Fault::kReset;
        calls.insert(calls.end(), relay.polledMs.begin() + (two ? 2 : 1), relay.polledMs.end());
      }
      std::sort(calls.begin(), calls.end());
      std::ptrdiff_t most = 0;
      for (auto at = calls.begin(); at != calls.end(); ++at)
        most = std::max(most, std::lower_bound(at, calls.end(), *at + 1000) - at);
      CAPTURE(fresh);
      CAPTURE(static_cast<int>(fault));
      CHECK(static_cast<double>(most) <= 2.5 * kRelays * 1000 / kGapMs);
    }
}
