// Tests of outages and isolated failures: outlier detection, slow start, rate limiting and cancelled calls.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <random>

#include "tests/policy/dispatcher_fixture.h"

namespace myrtleloft {
namespace {

TEST(SlowStart, BudgetIsKeptOverAnyWindowAfterAnOutage) {
  Settings settings = plainSettings(Idempotency::kIdempotent);
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a")})});
  int id = 0;
  double nowMs = 0;
  std::vector<double> sentAt;
  // 10 requests per second; the endpoint is healthy for 20 s, refuses all connections for 10 s, then is
  // healthy again.
  std::vector<std::pair<double, std::string>> pendingCalls;
  std::size_t handledSends = 0;
  for (; nowMs < 45000; nowMs += 20) {
    std::vector<Event> events;
    fixture.now = nowMs;
    for (auto& [dueMs, requestId] : pendingCalls)
      if (dueMs <= nowMs && dueMs > 0) {
        const bool inOutage = nowMs > 20000 && nowMs < 30000;
        events.push_back(fixture.outcome(requestId, inOutage ? Outcome::kConnectFailed : Outcome::kSuccess));
        dueMs = -1;
      }
    if (static_cast<int>(nowMs) % 100 == 0) events.push_back(fixture.request(numbered(id++)));
    fixture.at(nowMs, events);
    for (; handledSends < fixture.sends.size(); ++handledSends) {
      pendingCalls.emplace_back(nowMs + 100, fixture.sends[handledSends].id);
      sentAt.push_back(nowMs);
    }
  }
  // The capacity is at least the rate delivered while healthy. After the outage it starts at 0.2 of that.
  const auto sendsBetween = [&](double from, double to) {
    return std::count_if(sentAt.begin(), sentAt.end(), [&](double at) { return at >= from && at < to; });
  };
  EXPECT_GT(sendsBetween(10000, 20000), 90);
  for (double from = 21000; from + settings.overloadWindowMs <= 40000; from += 100) {
    double budget = 2;  // slack for chance
    for (double at = from; at < from + settings.overloadWindowMs; at += 100)
      budget += 10 * 0.1 * settings.overloadFactor *
                std::min(1.0, settings.slowStartShare + (1 - settings.slowStartShare) *
                                                            std::max(0.0, at - 30000) / settings.slowStartMs);
    EXPECT_LE(sendsBetween(from, from + settings.overloadWindowMs), budget) << from;
  }
  EXPECT_GT(sendsBetween(43000, 45000), 10) << "calls resume after the outage";
}

// Guards against repeated decreases of the rate that stop all calls even after the rejections have ended.
TEST(RateLimiter, RateRecoversAfterALongRunOfRejections) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a")})});
  int id = 0;
  std::vector<std::pair<double, std::string>> pendingCalls;
  std::size_t handledSends = 0;
  int lateSends = 0;
  for (double nowMs = 0; nowMs < 50000; nowMs += 20) {
    std::vector<Event> events;
    fixture.now = nowMs;
    for (auto& [dueMs, requestId] : pendingCalls)
      if (dueMs > 0 && dueMs <= nowMs) {
        events.push_back(fixture.outcome(
            requestId, nowMs > 10000 && nowMs < 20000 ? Outcome::kRejected : Outcome::kSuccess));
        dueMs = -1;
      }
    if (static_cast<int>(nowMs) % 100 == 0) events.push_back(fixture.request(numbered(id++)));
    fixture.at(nowMs, events);
    for (; handledSends < fixture.sends.size(); ++handledSends) {
      pendingCalls.emplace_back(nowMs + 100, fixture.sends[handledSends].id);
      lateSends += nowMs > 40000;
    }
  }
  EXPECT_GT(lateSends, 90) << "10 requests per second arrive";
}

// An upstream that does not answer must not use up the concurrent calls that healthy upstreams need.
TEST(Cancellation, HopelessCallIsCancelledWhenConcurrencyIsShort) {
  Settings settings = plainSettings(Idempotency::kNonIdempotent);
  settings.maxConcurrentCalls = 1;
  settings.mayCancel = true;
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a", 1), entry("b", 2)}), fixture.request("hung", 1)});
  ASSERT_EQ(fixture.sendsOf("hung"), 1);
  bool cancelled = false;
  fixture.at(50, {fixture.request("m", 2)});
  for (double nowMs = 100; nowMs < 10000 && !cancelled; nowMs += 50)
    for (const auto& action : fixture.at(nowMs))
      if (const auto* cancel = std::get_if<CancelAction>(&action))
        cancelled = cancel->id == "hung" && cancel->attempt == 0;
  ASSERT_TRUE(cancelled);
  fixture.at(fixture.now + 5, {fixture.outcome("hung", Outcome::kCancelled)});
  EXPECT_EQ(fixture.sendsOf("m"), 1);
  EXPECT_EQ(fixture.failed, std::vector<std::string>{"hung"})
      << "it may have been executed, so it fails instead of being rejected";
}

// Runs a steady stream of requests to one destination, where each call ends after 100 ms as `outcomeOf` says.
// Returns the number of requests delivered in [from, to).
int deliveredWithin(const Settings& settings, double from, double to, double end,
                    const std::function<Outcome(int call, double sentMs)>& outcomeOf) {
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a")})});
  struct PendingCall {
    double dueMs;
    std::string id;
    Outcome outcome;
  };
  std::vector<PendingCall> pendingCalls;
  std::size_t handledSends = 0;
  int id = 0, delivered = 0;
  for (double nowMs = 0; nowMs < end; nowMs += 20) {
    std::vector<Event> events;
    fixture.now = nowMs;
    for (auto& call : pendingCalls) {
      if (call.dueMs < 0 || call.dueMs > nowMs) continue;
      events.push_back(fixture.outcome(call.id, call.outcome));
      delivered += call.outcome == Outcome::kSuccess && nowMs >= from && nowMs < to;
      call.dueMs = -1;
    }
    if (static_cast<int>(nowMs) % 100 == 0) events.push_back(fixture.request(numbered(id++)));
    fixture.at(nowMs, events);
    for (; handledSends < fixture.sends.size(); ++handledSends) {
      const Outcome outcome = outcomeOf(static_cast<int>(handledSends), nowMs);
      const double latencyMs = outcome == Outcome::kTimeout ? fixture.sends[handledSends].timeoutMs : 100;
      pendingCalls.push_back({nowMs + latencyMs, fixture.sends[handledSends].id, outcome});
    }
  }
  return delivered;
}

// The loss of a quarter of all calls is no outage: the stream continues at nearly its full rate.
TEST(OutlierDetector, ScatteredLostCallsAreNoOutage) {
  const int delivered = deliveredWithin(plainSettings(), 20000, 30000, 30000, [](int call, double) {
    return call % 4 == 3 ? Outcome::kFailure : Outcome::kSuccess;
  });
  EXPECT_GT(delivered, 90) << "10 requests per second arrive";
}

// Guards against a single failure during the ramp resetting slow start to its initial rate.
TEST(SlowStart, AnIsolatedFailureDoesNotRestartTheRamp) {
  const auto run = [](bool failures) {
    int callsAfterOutage = 0;
    return deliveredWithin(plainSettings(), 35000, 42000, 42000, [&, failures](int, double sentMs) {
      if (sentMs > 20000 && sentMs < 30000) return Outcome::kConnectFailed;
      if (sentMs >= 30000) ++callsAfterOutage;
      return failures && callsAfterOutage % 8 == 7 ? Outcome::kFailure : Outcome::kSuccess;
    });
  };
  const Settings settings = plainSettings();
  // Calls in 7 s at the initial rate, of which relays that saw a failure may use less than two thirds.
  const double callsAtInitialRate = 10 * settings.slowStartShare * settings.overloadFactor * 7 * 2 / 3;
  EXPECT_GT(run(true), 1.3 * callsAtInitialRate);
  EXPECT_GE(run(false), run(true));
}

// A lost call can be told from a slow one if calls sent later to its endpoint are answered first.
TEST(Cancellation, OvertakenCallIsCancelledSooner) {
  const auto cancelledAfterMs = [](bool overtaken) {
    Settings settings = plainSettings(Idempotency::kIdempotent);
    settings.maxConcurrentCalls = 4;
    settings.mayCancel = true;
    DispatcherFixture fixture(settings);
    fixture.at(0, {snapshot({entry("a", 1), entry("b", 2), entry("c", 3)}), fixture.request("warm")});
    fixture.at(200, {fixture.outcome("warm", Outcome::kSuccess)});
    fixture.at(300, {fixture.request("lost")});
    if (overtaken) {
      fixture.at(310, {fixture.request("later")});
      fixture.at(400, {fixture.outcome("later", Outcome::kSuccess)});
    }
    fixture.at(405, {fixture.request("b1", 2), fixture.request("b2", 2), fixture.request("c1", 3),
                     fixture.request("c2", 3)});
    for (double nowMs = 420; nowMs < 9000; nowMs += 20)
      for (const auto& action : fixture.at(nowMs))
        if (const auto* cancel = std::get_if<CancelAction>(&action))
          if (cancel->id == "lost") return nowMs - 300;
    return 9000.0;
  };
  EXPECT_LT(cancelledAfterMs(true), 900);
  EXPECT_GT(cancelledAfterMs(false), 1500);
  EXPECT_LT(cancelledAfterMs(false), 9000);
}

}  // namespace
}  // namespace myrtleloft
