// Tests of requests that share a call.
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

// Guards against requests being sent one by one: they would use up the call limit of the cheapest endpoint,
// and most of them would go to the most expensive one.
TEST(Batch, RequestsGatherForTheNextCallOfTheLeadEndpoint) {
  DispatcherFixture fixture(settingsWithZoneCosts(10));
  fixture.at(0, {snapshot(cheapAndExpensive(10)), fixture.request("m0")});
  fixture.at(50, {fixture.outcome("m0", Outcome::kSuccess)});
  fixture.at(60, {fixture.request("m1")});
  fixture.at(90, {fixture.request("m2")});
  ASSERT_EQ(fixture.sends.size(), 1u);
  fixture.at(126, {fixture.request("m3")});  // 0.8 of ten per second is a call every 125 ms
  ASSERT_EQ(fixture.sends.size(), 4u);
  for (const auto& send : fixture.sends) EXPECT_EQ(send.endpoint, "a");
  // A full call is sent at once.
  std::vector<Event> ten;
  for (int i = 10; i < 20; ++i) ten.push_back(fixture.request(numbered(i)));
  fixture.at(140, ten);
  EXPECT_EQ(fixture.sends.size(), 14u);
}
TEST(Batch, NoRequestGathersForLong) {
  DispatcherFixture fixture(settingsWithZoneCosts(10));
  fixture.at(0, {snapshot(cheapAndExpensive(0.1)), fixture.request("m0")});
  fixture.at(50, {fixture.outcome("m0", Outcome::kSuccess)});
  fixture.at(60, {fixture.request("m1")});
  fixture.advanceTo(340, 10);
  EXPECT_EQ(fixture.sendsOf("m1"), 0);
  fixture.advanceTo(400, 10);
  EXPECT_EQ(fixture.sendsOf("m1"), 1);
}

TEST(Batch, SendsOfOneBatchShareACall) {
  Settings settings = plainSettings();
  settings.maxConcurrentCalls = 1;
  settings.kindBatchSize = {3};
  DispatcherFixture fixture(settings);
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m1"), fixture.request("m2"), fixture.request("m3"),
                 fixture.request("m4")});
  EXPECT_EQ(fixture.sends.size(), 3u);
}

// The requests to one endpoint fill one call after the other, whatever is sent to other endpoints in between.
// If the module counted calls in the order of its decisions, it would take the wrong calls for completed.
TEST(Batch, SendsElsewhereInBetweenDoNotSplitACall) {
  Settings settings = plainSettings();
  settings.kindBatchSize = {10};
  settings.maxConcurrentCalls = 5;
  settings.zoneCosts = {0, 0.03};
  settings.classes.push_back(settings.classes.front());
  settings.classes.back().allowedZones = {1};
  DispatcherFixture fixture(settings);
  std::vector<Event> events = {
      snapshot({entry("a"), entry("b", 1, 1), entry("c", 2), entry("d", 3), entry("e", 4)})};
  for (int i = 0; i < 6; ++i) events.push_back(fixture.request(numbered(i)));
  events.push_back(fixture.request("elsewhere", 1, 1));
  for (int i = 6; i < 12; ++i) events.push_back(fixture.request(numbered(i)));
  events.push_back(fixture.request("two", 2));
  events.push_back(fixture.request("three", 3));
  fixture.at(0, events);
  ASSERT_EQ(fixture.sends.size(), 15u);
  // m0 to m9 share a call, m10 and m11 the next. Both calls stay in flight, as m6 and m10 have no outcome.
  events.clear();
  for (const int i : {0, 1, 2, 3, 4, 5, 7, 8, 9, 11})
    events.push_back(fixture.outcome(numbered(i), Outcome::kSuccess));
  events.push_back(fixture.request("four", 4));
  fixture.at(100, events);
  EXPECT_EQ(fixture.sendsOf("four"), 0);
  fixture.at(105, {fixture.outcome(numbered(10), Outcome::kSuccess)});
  EXPECT_EQ(fixture.sendsOf("four"), 1);
}

}  // namespace
}  // namespace myrtleloft
