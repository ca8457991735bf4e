// Tests of the retry policy, Retry-After, and the order of requests with the same order key.
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

struct RetryCase {
  Idempotency idempotency;
  DeduplicationScope scope;
  Outcome outcome;
  double afterMs;
  bool mayBeSentAgain;  // to an endpoint in another zone
  bool mayBeRejected;   // instead of failed, if it is not sent again
};

// Guards against a second execution after the loss of a relay; tests/exchange/held_by_another_relay_test.cpp
// has the situation.
TEST(AttemptByAnotherRelay, IsAssumedAtTheEarliestTimeForClassesWithAKeyOnly) {
  const auto attempt = attemptByAnotherRelay(classOf(Idempotency::kIdempotentWithKey), 50000);
  ASSERT_TRUE(attempt);
  EXPECT_EQ(attempt->sentMs, 30000);
  EXPECT_EQ(attempt->zone, AmbiguousAttempt::kUnknownZone);
  EXPECT_FALSE(attemptByAnotherRelay(classOf(Idempotency::kIdempotent), 50000));
  EXPECT_FALSE(attemptByAnotherRelay(classOf(Idempotency::kNonIdempotent), 50000));
}

// Guards against a second execution of a request that was accepted under a stricter class than it has now;
// tests/relay/settings_change_test.cpp has the situation.
TEST(RetryPolicy, ANonIdempotentRequestOfAnIdempotentClassIsNotRetried) {
  DispatcherFixture fixture(plainSettings(Idempotency::kIdempotent));
  RequestEvent request = std::get<RequestEvent>(fixture.request("m"));
  request.nonIdempotent = true;
  fixture.at(0, {snapshot({entry("a", 1, 0), entry("b", 1, 0)}), request, fixture.request("n")});
  ASSERT_EQ(fixture.sendsOf("m"), 1);
  fixture.at(50, {fixture.outcome("m", Outcome::kReset), fixture.outcome("n", Outcome::kReset)});
  fixture.advanceTo(20100);
  EXPECT_EQ(fixture.sendsOf("m"), 1);
  EXPECT_EQ(fixture.failed.size(), 1u);
  EXPECT_GT(fixture.sendsOf("n"), 1);
}

class RetryPolicyTable : public ::testing::TestWithParam<RetryCase> {};

TEST_P(RetryPolicyTable, RetriesAndRejectionsFollowTheClass) {
  const RetryCase& retryCase = GetParam();
  Settings settings = plainSettings(retryCase.idempotency);
  settings.classes[0].deduplicationScope = retryCase.scope;
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a", 1, 0)}), fixture.request("m")});
  ASSERT_EQ(fixture.sends.size(), 1u);
  fixture.at(retryCase.afterMs,
             {fixture.outcome("m", retryCase.outcome),
              EndpointListEvent{ListUpdateKind::kDelta,
                                {entry("a", 1, 0, EndpointState::kRemoved), entry("b", 1, 1)}}});
  fixture.advanceTo(20100);
  EXPECT_EQ(fixture.sendsOf("m") > 1, retryCase.mayBeSentAgain);
  if (retryCase.mayBeSentAgain) return;
  EXPECT_EQ(fixture.rejected.size(), retryCase.mayBeRejected ? 1u : 0u);
  EXPECT_EQ(fixture.failed.size(), retryCase.mayBeRejected ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Table, RetryPolicyTable,
    ::testing::Values(RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kRejected, 50, true, true},
                      RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kConnectFailed, 50, true, true},
                      RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kNotSent, 50, true, true},
                      RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kFailure, 50, false, false},
                      RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kTimeout, 50, false, false},
                      RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kReset, 50, false, false},
                      RetryCase{Idempotency::kNonIdempotent, DeduplicationScope::kDestination,
                                Outcome::kCancelled, 50, false, false},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination,
                                Outcome::kFailure, 50, true, true},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination,
                                Outcome::kTimeout, 3000, true, true},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination,
                                Outcome::kTimeout, 9000, false, true},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kZone, Outcome::kTimeout,
                                3000, false, false},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kZone,
                                Outcome::kRejected, 3000, true, true},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kCell, Outcome::kTimeout,
                                3000, true, true},
                      RetryCase{Idempotency::kIdempotentWithKey, DeduplicationScope::kCell, Outcome::kTimeout,
                                9000, false, false},
                      RetryCase{Idempotency::kIdempotent, DeduplicationScope::kDestination, Outcome::kTimeout,
                                9000, true, true},
                      RetryCase{Idempotency::kIdempotent, DeduplicationScope::kDestination, Outcome::kFailure,
                                50, true, true}));

TEST(RetryPolicy, OneAttemptOutAtATimeAndSendCap) {
  Settings settings = plainSettings();
  settings.maxAttempts = 3;
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a"), entry("b")}), fixture.request("m")});
  fixture.advanceTo(5000);
  EXPECT_EQ(fixture.sendsOf("m"), 1) << "an attempt is still in flight";
  for (int i = 0; i < 10 && fixture.rejected.empty(); ++i) {
    fixture.at(fixture.now + 10, {fixture.outcome("m", Outcome::kRejected)});
    fixture.advanceTo(fixture.now + 1500);
  }
  EXPECT_EQ(fixture.sendsOf("m"), 3);
  EXPECT_EQ(fixture.rejected.size(), 1u);
}

// A request whose idempotency window ends while it waits is answered at once, not at its deadline.
TEST(RetryPolicy, WaitingPastItsIdempotencyWindowIsAnsweredAtOnce) {
  DispatcherFixture fixture(plainSettings(Idempotency::kIdempotentWithKey));
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
  fixture.at(1000, {fixture.outcome("m", Outcome::kTimeout),
                    EndpointListEvent{ListUpdateKind::kDelta,
                                      {entry("a", 1, 0, EndpointState::kRemoved), entry("b", 1)}},
                    fixture.request("n")});
  fixture.at(1100, {EndpointListEvent{ListUpdateKind::kDelta, {entry("b", 1, 0, EndpointState::kDraining)}}});
  if (fixture.sendsOf("m") > 1) fixture.at(1150, {fixture.outcome("m", Outcome::kRejected)});
  fixture.advanceTo(9000);
  EXPECT_EQ(fixture.rejected, std::vector<std::string>{"m"});
}

// A call may wait for its connection up to the connect timeout, and must even then be sent within the
// idempotency window.
TEST(RetryPolicy, ACallThatWaitsForItsConnectionLeavesInsideTheWindow) {
  Settings settings = plainSettings(Idempotency::kIdempotentWithKey);
  settings.classes[0].idempotencyWindowMs = 8000, settings.connectTimeoutMs = 1500,
  settings.maxAttempts = 1000;
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
  std::vector<Event> events = {fixture.outcome("m", Outcome::kTimeout)};
  for (double nowMs = 1000; nowMs < 10000; nowMs += 50) {
    const std::size_t before = fixture.sends.size();
    fixture.at(nowMs, events);
    events.clear();
    if (fixture.sends.size() == before) continue;
    EXPECT_LE(nowMs + settings.connectTimeoutMs, settings.classes[0].idempotencyWindowMs);
    events.push_back(fixture.outcome("m", Outcome::kConnectFailed));
  }
  EXPECT_GT(fixture.sends.size(), 2U);
  EXPECT_EQ(fixture.rejected.size() + fixture.failed.size(), 1U);
}

// The answer to a call of several requests may deliver some of them and state Retry-After as well.
TEST(RetryAfter, AppliesBesideADelivery) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
  fixture.at(100, {fixture.outcome("m", Outcome::kSuccess, 500), fixture.request("n")});
  fixture.advanceTo(595, 5);
  EXPECT_EQ(fixture.sendsOf("n"), 0);
  fixture.advanceTo(700, 5);
  EXPECT_EQ(fixture.sendsOf("n"), 1);
}

TEST(RetryAfter, AppliesToTheEndpointOrTheDestination) {
  for (const bool separateLimits : {true, false}) {
    DispatcherFixture fixture(plainSettings(Idempotency::kIdempotent, separateLimits));
    fixture.at(0, {snapshot({entry("a"), entry("b")}), fixture.request("m")});
    ASSERT_EQ(fixture.sends.size(), 1u);
    const std::string statingEndpoint = fixture.sends[0].endpoint;
    fixture.at(10, {fixture.outcome("m", Outcome::kRejected, 700), fixture.request("n")});
    fixture.advanceTo(705, 5);
    for (std::size_t i = 1; i < fixture.sends.size(); ++i) {
      EXPECT_TRUE(separateLimits);
      EXPECT_NE(fixture.sends[i].endpoint, statingEndpoint);
    }
    EXPECT_EQ(fixture.sends.size() > 1, separateLimits);
    fixture.advanceTo(4000);
    EXPECT_EQ(fixture.attempts.size(), 2u);
  }
}

TEST(OrderedQueue, SameKeyGoesOneAtATimeAndPausesAfterAmbiguity) {
  Settings settings = plainSettings();
  settings.classes[0].orderedByKey = true;
  settings.orderHoldAfterAmbiguityMs = 1500;
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a"), entry("b")}), fixture.request("m1", 1, 0, "k"),
                 fixture.request("m2", 1, 0, "k"), fixture.request("x", 1, 0, "other")});
  EXPECT_EQ(fixture.sendsOf("m1"), 1);
  EXPECT_EQ(fixture.sendsOf("m2"), 0);
  EXPECT_EQ(fixture.sendsOf("x"), 1);
  fixture.at(1000, {ClientDisconnectEvent{"m1"}});
  fixture.advanceTo(1500);
  EXPECT_EQ(fixture.sendsOf("m2"), 0) << "the abandoned request still has an attempt in flight";
  fixture.at(1600, {fixture.outcome("m1", Outcome::kTimeout)});
  fixture.advanceTo(3050);
  EXPECT_EQ(fixture.sendsOf("m2"), 0) << "the order key is paused";
  fixture.advanceTo(9000);
  EXPECT_EQ(fixture.sendsOf("m2"), 1);
}

}  // namespace
}  // namespace myrtleloft
