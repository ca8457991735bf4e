// Guards against sends by the endpoint list of an earlier process: an address in it may belong to an endpoint
// of another destination by now. Requests wait for discovery's first answer, but only for a bounded time.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/policy/dispatcher_fixture.h"

namespace myrtleloft {
namespace {

constexpr double kWaitMs = 1000;

Settings waitingSettings() {
  Settings settings = plainSettings();
  settings.listConfirmationMs = kWaitMs;
  return settings;
}

EndpointListEvent cachedList() { return {ListUpdateKind::kCached, {entry("a")}}; }

std::ptrdiff_t pollRequests(const std::vector<Action>& actions) {
  return std::ranges::count_if(
      actions, [](const Action& action) { return std::holds_alternative<WatchEndpointListAction>(action); });
}

TEST(CachedListHold, ARequestWaitsForDiscoveryToConfirmTheCachedList) {
  DispatcherFixture fixture(waitingSettings());
  EXPECT_EQ(pollRequests(fixture.at(0, {cachedList(), fixture.request("m")})), 1);
  EXPECT_EQ(pollRequests(fixture.at(10, {fixture.request("n")})), 0);  // one poll serves all
  fixture.advanceTo(400);
  EXPECT_TRUE(fixture.sends.empty());
  fixture.at(410, {EndpointListEvent{ListUpdateKind::kDelta, {}}});
  EXPECT_EQ(fixture.sendsOf("m"), 1);
  EXPECT_EQ(fixture.sendsOf("n"), 1);
}

TEST(CachedListHold, ARequestGoesByTheListThatReplacesTheCachedOne) {
  DispatcherFixture fixture(waitingSettings());
  fixture.at(0, {cachedList(), fixture.request("m")});
  fixture.at(10, {snapshot({entry("c", 2), entry("b", 1)})});
  ASSERT_EQ(fixture.sends.size(), 1u);
  EXPECT_EQ(fixture.sends[0].endpoint, "b");
}

TEST(CachedListHold, WithoutAnAnswerTheCachedListIsUsedOnceTheWaitIsOver) {
  DispatcherFixture fixture(waitingSettings());
  fixture.at(0, {cachedList(), fixture.request("m")});
  fixture.advanceTo(kWaitMs - 50);
  EXPECT_TRUE(fixture.sends.empty());
  fixture.at(kWaitMs);
  EXPECT_EQ(fixture.sendsOf("m"), 1);
  fixture.at(kWaitMs + 10, {fixture.request("n")});
  EXPECT_EQ(fixture.sendsOf("n"), 1);
}

// Guards against an accepted request that is given up although it may be retried, because its process was
// killed before the list was cached.
TEST(CachedListHold, ARequestThatMayHaveBeenExecutedIsNotGivenUpBeforeItsEndpointsAreKnown) {
  for (const double answerMs : {100.0, kWaitMs + 500}) {
    DispatcherFixture fixture(waitingSettings());
    auto request = std::get<RequestEvent>(fixture.request("m"));
    request.ambiguousAttempts = {{0, -10}};
    fixture.at(0, {EndpointListEvent{ListUpdateKind::kCached, {}}, request});
    fixture.advanceTo(answerMs - 10);
    EXPECT_TRUE(fixture.failed.empty() && fixture.rejected.empty()) << answerMs;
    fixture.at(answerMs, {snapshot({entry("a")})});
    EXPECT_EQ(fixture.sendsOf("m"), 1) << answerMs;
  }
}

TEST(CachedListHold, ARequestThatNoEndpointMayGetIsGivenUpAsSoonAsTheListIsConfirmed) {
  DispatcherFixture fixture(waitingSettings());
  auto request = std::get<RequestEvent>(fixture.request("m"));
  request.ambiguousAttempts = {{0, -10}};
  fixture.at(0, {EndpointListEvent{ListUpdateKind::kCached, {}}, request});
  fixture.at(100, {snapshot({entry("a", 2)})});  // of another destination
  EXPECT_EQ(fixture.failed.size() + fixture.rejected.size(), 1u);
}

TEST(CachedListHold, AFailedPollIsNoConfirmation) {
  DispatcherFixture fixture(waitingSettings());
  fixture.at(0, {cachedList(), fixture.request("m")});
  fixture.at(10, {EndpointListEvent{ListUpdateKind::kError, {}}});
  EXPECT_TRUE(fixture.sends.empty());
}

TEST(CachedListHold, ARequestWithLittleTimeLeftIsAttemptedInIt) {
  DispatcherFixture fixture(waitingSettings());
  RequestEvent urgent;
  urgent.id = "m";
  urgent.destination = 1;
  urgent.deadlineMs = 400;
  fixture.at(0, {cachedList(), urgent});
  fixture.at(190);
  EXPECT_TRUE(fixture.sends.empty());
  fixture.at(200);
  EXPECT_EQ(fixture.sendsOf("m"), 1);
}

TEST(CachedListHold, TheEndOfTheWaitNeedsNoEvent) {
  DispatcherFixture fixture(waitingSettings());
  const std::vector<Action> actions = fixture.at(0, {cachedList(), fixture.request("m")});
  const auto isTimer = [](const Action& action) { return std::holds_alternative<TimerAction>(action); };
  const auto timer = std::ranges::find_if(actions, isTimer);
  ASSERT_NE(timer, actions.end());
  EXPECT_LE(std::get<TimerAction>(*timer).delayMs, kWaitMs);
}

TEST(CachedListHold, WithoutAWaitInTheSettingsNothingIsHeld) {
  DispatcherFixture fixture(plainSettings());
  EXPECT_EQ(pollRequests(fixture.at(0, {cachedList(), fixture.request("m")})), 0);
  EXPECT_EQ(fixture.sendsOf("m"), 1);
}

}  // namespace
}  // namespace myrtleloft
