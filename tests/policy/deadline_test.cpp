// Every request gets one answer by its deadline; a request that cannot be attempted in time is rejected.
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

// With many relays and rare calls, the share of a relay after a failure is one call in several minutes. An
// accepted request waits as long as a call can arrive before its deadline, and is then rejected with
// Retry-After. A request that arrives later is rejected in the batch in which it arrives. A single relay has
// the whole share and continues to try.
TEST(LoadShedding, AnAcceptedRequestIsKeptForAnAttemptAndANewOneWithoutOneIsRejectedAtOnce) {
  for (const int relayCount : {400, 1}) {
    Settings settings = plainSettings();
    settings.instanceCount = relayCount;
    DispatcherFixture fixture(settings);
    fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
    std::size_t answered = 0;
    std::map<std::string, double> rejectedAtMs, retryAfterMs;
    int sendsBeforeLateRequest = 0;
    for (double nowMs = 50; nowMs <= 20000; nowMs += 50) {
      std::vector<Event> events;
      if (fixture.sends.size() > answered)
        events.push_back(fixture.outcome(fixture.sends[answered].id, Outcome::kConnectFailed)), ++answered;
      if (nowMs == 2000) {
        sendsBeforeLateRequest = fixture.sendsOf("m");
        events.push_back(fixture.request("late comer"));
      }
      for (const auto& action : fixture.at(nowMs, events))
        if (const auto* reject = std::get_if<RejectAction>(&action))
          rejectedAtMs[reject->id] = nowMs, retryAfterMs[reject->id] = reject->retryAfterMs;
    }
    if (relayCount > 1) {
      EXPECT_LE(sendsBeforeLateRequest, 2);
      EXPECT_LE(fixture.sendsOf("m"), 3);   // an arriving request may grant a probe
      EXPECT_GE(rejectedAtMs["m"], 19900);  // its deadline is at 20000
      EXPECT_GT(retryAfterMs["m"], 0);
      EXPECT_EQ(rejectedAtMs["late comer"], 2000);
      EXPECT_GT(retryAfterMs["late comer"], 0);
    } else {
      EXPECT_GE(fixture.sendsOf("m"), 3);
      EXPECT_EQ(rejectedAtMs.count("late comer"), 0U);
    }
  }
}

// Guards against a request being rejected 20 s before its deadline because each endpoint has rejected it
// once, soon after the start: the rate limits of the endpoints will have capacity again soon, so the request
// must wait.
TEST(LoadShedding, AmongFewRelaysARequestRejectedByEachEndpointWaits) {
  Settings settings = plainSettings();
  settings.instanceCount = 3;
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a"), entry("b")}), fixture.request("m")});
  fixture.at(50, {fixture.outcome("m", Outcome::kRejected, 300)});
  fixture.at(100, {fixture.outcome("m", Outcome::kRejected, 300)});
  ASSERT_EQ(fixture.sendsOf("m"), 2);
  std::vector<Event> more;
  for (int i = 0; i < 20; ++i) more.push_back(fixture.request(numbered(i)));
  fixture.at(110, more);
  fixture.advanceTo(1000);
  EXPECT_TRUE(fixture.rejected.empty());
}

// A request that is given up before its deadline gets a Retry-After.
TEST(Deadline, ExhaustedRequestIsRejectedWithRetryAfter) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
  double retryAfterMs = -1, nowMs = 0;
  for (std::size_t answered = 0; retryAfterMs < 0 && nowMs < 15000; nowMs += 50) {
    std::vector<Event> events;
    if (fixture.sends.size() > answered)
      events.push_back(fixture.outcome("m", Outcome::kFailure)), ++answered;
    for (const auto& action : fixture.at(nowMs + 50, events))
      if (const auto* reject = std::get_if<RejectAction>(&action)) retryAfterMs = reject->retryAfterMs;
  }
  EXPECT_EQ(fixture.sendsOf("m"), 3);
  EXPECT_GT(retryAfterMs, 0);
  EXPECT_LE(retryAfterMs, 3000);
}

TEST(Deadline, WaitingRequestIsAnsweredByItsDeadlineFromOwnTimers) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {fixture.request("m")});  // no endpoint at all
  double timerMs = -1, nowMs = 0;
  for (int i = 0; i < 100000 && fixture.rejected.empty() && nowMs < 30000; ++i) {
    timerMs = -1;
    for (const auto& action : fixture.at(nowMs + 5))
      if (const auto* timer = std::get_if<TimerAction>(&action)) timerMs = nowMs + 5 + timer->delayMs;
    nowMs = timerMs > nowMs ? timerMs : nowMs + 5;
  }
  ASSERT_EQ(fixture.rejected.size(), 1u);
  EXPECT_LE(fixture.now, 20020);
}

TEST(Deadline, TimeoutsNeverPassTheDeadline) {
  for (const Idempotency idempotency :
       {Idempotency::kIdempotent, Idempotency::kIdempotentWithKey, Idempotency::kNonIdempotent}) {
    DispatcherFixture fixture(plainSettings(idempotency));
    fixture.at(0, {snapshot({entry("a"), entry("b")}), fixture.request("m")});
    ASSERT_EQ(fixture.sends.size(), 1u);
    EXPECT_GT(fixture.sends[0].timeoutMs, 0);
    EXPECT_LE(fixture.sends[0].timeoutMs, 20000);
  }
}

TEST(Deadline, NothingAfterADisconnectAndLateOutcomesAreIgnored) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
  fixture.at(10, {ClientDisconnectEvent{"m"}});
  fixture.at(20, {fixture.outcome("m", Outcome::kRejected), ClientDisconnectEvent{"m"},
                  ClientDisconnectEvent{"unknown"}});
  fixture.advanceTo(21000);
  EXPECT_EQ(fixture.sends.size(), 1u);
  EXPECT_TRUE(fixture.rejected.empty());
  EXPECT_TRUE(fixture.failed.empty());
}

}  // namespace
}  // namespace myrtleloft
