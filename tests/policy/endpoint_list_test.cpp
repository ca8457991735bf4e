// Tests of the choice of an endpoint within a destination, and of changes of the endpoint list.
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

TEST(FallbackChain, NextEndpointServesAfterARefusedConnection) {
  DispatcherFixture fixture(plainSettings(Idempotency::kNonIdempotent));
  fixture.at(0, {snapshot({entry("a"), entry("b")}), fixture.request("m")});
  ASSERT_EQ(fixture.sends.size(), 1u);
  const std::string firstEndpoint = fixture.sends[0].endpoint;
  fixture.at(20, {fixture.outcome("m", Outcome::kConnectFailed)});
  fixture.advanceTo(3000);
  ASSERT_EQ(fixture.sends.size(), 2u);
  EXPECT_NE(fixture.sends[1].endpoint, firstEndpoint);
}

TEST(FallbackChain, OnlyAllowedZonesAndKindsAreUsed) {
  Settings settings = plainSettings();
  settings.classes[0].allowedZones = {1};
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a", 1, 0), entry("b", 1, 1)}), fixture.request("m")});
  ASSERT_EQ(fixture.sends.size(), 1u);
  EXPECT_EQ(fixture.sends[0].endpoint, "b");
  fixture.at(10, {fixture.outcome("m", Outcome::kConnectFailed)});
  fixture.advanceTo(5000);
  for (const auto& sent : fixture.sends) EXPECT_EQ(sent.endpoint, "b");
}

TEST(FallbackChain, AnotherDestinationIsNeverUsed) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a", 1)}), fixture.request("m", 2)});
  fixture.advanceTo(21000);
  EXPECT_TRUE(fixture.sends.empty());
  EXPECT_EQ(fixture.rejected, std::vector<std::string>{"m"});
}

TEST(EndpointDraining, NothingNewIsSentToADrainingEndpoint) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    DispatcherFixture fixture(plainSettings());
    fixture.at(0, {snapshot({entry("a")})});
    fixture.at(10,
               {EndpointListEvent{ListUpdateKind::kDelta, {entry("a", 1, 0, state)}}, fixture.request("m")});
    fixture.advanceTo(20100);
    EXPECT_TRUE(fixture.sends.empty());
    EXPECT_EQ(fixture.rejected.size(), 1u);
  }
}

TEST(EndpointDraining, AnEndpointMissingFromASnapshotIsRemoved) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a"), entry("b")})});
  fixture.at(10, {snapshot({entry("b")}), fixture.request("m")});
  ASSERT_EQ(fixture.sends.size(), 1u);
  EXPECT_EQ(fixture.sends[0].endpoint, "b");
}

// Guards against unbounded memory use when endpoints are replaced by others with new ids all the time.
TEST(EndpointList, RemovedEndpointsAreForgottenOnceNothingNeedsThem) {
  DispatcherFixture fixture(plainSettings());
  const auto removed = [](const std::string& id, std::int64_t destination = 1) {
    return entry(id, destination, 0, EndpointState::kRemoved);
  };
  fixture.at(0, {EndpointListEvent{ListUpdateKind::kCached, {entry("a"), entry("b", 2)}}});
  fixture.at(1, {fixture.request("m1", 1), fixture.request("m2", 2)});
  ASSERT_EQ(fixture.sends.size(), 2u);
  // One endpoint states a long Retry-After; the call to the other stays in flight.
  fixture.at(2, {fixture.outcome("m1", Outcome::kRejected, 60000)});
  fixture.at(3, {EndpointListEvent{ListUpdateKind::kDelta, {removed("a"), removed("b", 2)}}});
  for (int i = 0; i < 500; ++i) {
    const std::int64_t destination = 3 + i % 3;
    fixture.at(100 + i * 100.0,
               {EndpointListEvent{ListUpdateKind::kDelta,
                                  {entry(numbered(i), destination), removed(numbered(i - 3), destination)}}});
  }
  // Known are the endpoints removed in the last two slow-start spans (20 s, ten per second), and the two that
  // are still needed.
  EXPECT_GT(fixture.dispatcher.endpointCount(), 200u);
  EXPECT_LT(fixture.dispatcher.endpointCount(), 210u);
  // The Retry-After still applies after its endpoint was removed and listed again.
  fixture.at(fixture.now + 1,
             {EndpointListEvent{ListUpdateKind::kDelta, {entry("a")}}, fixture.request("m3")});
  EXPECT_EQ(fixture.sendsOf("m3"), 0);
  fixture.at(60003, {fixture.request("m4")});
  EXPECT_EQ(fixture.sendsOf("m3") + fixture.sendsOf("m4"), 1);
}

// Guards against a third request being sent to the expensive endpoint while two calls are in flight, although
// the cheapest endpoint can take 40 calls per second.
TEST(FallbackChain, TheLeadEndpointServesWhatItsRatingKeepsBusy) {
  DispatcherFixture fixture(settingsWithZoneCosts(1));
  std::vector<Event> events = {snapshot(cheapAndExpensive(40))};
  for (int i = 0; i < 8; ++i) events.push_back(fixture.request(numbered(i)));
  fixture.at(0, events);
  EXPECT_EQ(fixture.sends.size(), 8u);
  for (const auto& send : fixture.sends) EXPECT_EQ(send.endpoint, "a");
}

TEST(EndpointList, AFailedPollIsRetriedWithBackoff) {
  Settings settings = plainSettings();
  settings.watchEndpointList = true;
  DispatcherFixture fixture(settings);
  const auto startsPoll = [](const std::vector<Action>& actions) {
    return std::any_of(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<WatchEndpointListAction>(action);
    });
  };
  EXPECT_TRUE(startsPoll(fixture.at(0)));
  fixture.at(100, {EndpointListEvent{ListUpdateKind::kError, {}}});
  bool retried = false;
  for (double nowMs = 150; nowMs < settings.listRetryMs; nowMs += 50)
    retried = retried || startsPoll(fixture.at(nowMs));
  EXPECT_TRUE(retried);
}

}  // namespace
}  // namespace myrtleloft
