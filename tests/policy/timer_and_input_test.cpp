// Tests of timers, invalid input and determinism.
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

// A delay that is rounded down makes the timer expire slightly early. It must not be considered armed any
// longer.
TEST(Timer, OneThatExpiresAHairEarlyIsSetAgain) {
  DispatcherFixture fixture(plainSettings());
  std::uint64_t token = 0;
  for (const auto& action : fixture.at(0, {fixture.request("m")}))
    if (const auto* timer = std::get_if<TimerAction>(&action)) token = timer->token;
  ASSERT_NE(token, 0u);
  bool armedAgain = false;
  for (const auto& action : fixture.at(99.9996, {TimerEvent{token}}))
    armedAgain |= std::holds_alternative<TimerAction>(action);
  EXPECT_TRUE(armedAgain);
}

TEST(StrangeInput, UnknownClassEmptyListAndNoLimitsNeitherCrashNorLoop) {
  DispatcherFixture fixture(Settings{});
  RequestEvent request;
  request.id = "m";
  request.classIndex = 9;
  request.deadlineMs = 100;
  fixture.at(0, {request, snapshot({})});
  fixture.at(10, {OutcomeEvent{}, TimerEvent{77}});
  fixture.advanceTo(200, 5);
  EXPECT_EQ(fixture.rejected.size() + fixture.failed.size(), 1u);
}

TEST(Determinism, SameEventsSameActions) {
  const auto run = [] {
    DispatcherFixture fixture(plainSettings());
    fixture.at(0, {snapshot({entry("a"), entry("b"), entry("c", 2)})});
    for (int i = 0; i < 60; ++i) {
      const std::string id = numbered(i);
      fixture.at(100 * i + 1, {fixture.request(id, 1 + i % 2)});
      if (fixture.sendsOf(id))
        fixture.at(100 * i + 50, {fixture.outcome(id, i % 7 ? Outcome::kSuccess : Outcome::kRejected)});
    }
    std::string all;
    for (const auto& send : fixture.sends)
      all += send.id + send.endpoint + std::to_string(send.timeoutMs) + ";";
    return all;
  };
  EXPECT_EQ(run(), run());
  EXPECT_FALSE(run().empty());
}

}  // namespace
}  // namespace myrtleloft
