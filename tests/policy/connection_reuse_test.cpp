// Tests of idle connections: when they stay open, when they are closed, and how their usable age is learned.
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

int closedIdleConnections(const std::vector<Action>& actions) {
  return static_cast<int>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
    return std::holds_alternative<CloseIdleConnectionsAction>(action);
  }));
}

TEST(ConnectionReuse, IdleConnectionsStayOpenWhileNoneIsRefused) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a")}), fixture.request("m")});
  EXPECT_EQ(closedIdleConnections(fixture.at(100, {fixture.outcome("m", Outcome::kSuccess)})), 0);
  EXPECT_EQ(closedIdleConnections(fixture.at(5000, {fixture.request("n")})), 0);
}

TEST(ConnectionReuse, IdleConnectionsCloseWhereEndpointsOfTheKindRefuseConnections) {
  DispatcherFixture fixture(plainSettings());
  fixture.at(0, {snapshot({entry("a"), entry("b", 2)}), fixture.request("m"), fixture.request("n", 2)});
  fixture.at(50, {fixture.outcome("n", Outcome::kConnectFailed)});
  EXPECT_EQ(closedIdleConnections(fixture.at(100, {fixture.outcome("m", Outcome::kSuccess)})), 1);
}

// A connection that breaks after 4 s of idling is no evidence about the upstream. After that, connections
// that have been idle for half as long are closed instead of reused.
TEST(ConnectionReuse, AnIdleAgeFoundBrokenIsLearnedOnceTheNextCallIsAnswered) {
  for (const bool answered : {true, false}) {
    DispatcherFixture fixture(plainSettings(Idempotency::kNonIdempotent));
    fixture.at(0, {snapshot({entry("a"), entry("b", 2)}), fixture.request("m")});
    fixture.at(100, {fixture.outcome("m", Outcome::kSuccess)});
    fixture.at(4100, {fixture.request("n")});
    fixture.at(4150,
               {fixture.outcome("n", Outcome::kReset), fixture.request("next"), fixture.request("o", 2)});
    fixture.at(4300, {fixture.outcome("next", answered ? Outcome::kSuccess : Outcome::kConnectFailed),
                      fixture.outcome("o", Outcome::kSuccess)});
    EXPECT_EQ(closedIdleConnections(fixture.at(6300, {fixture.request("p", 2)})), answered ? 1 : 0)
        << answered;
  }
}

}  // namespace
}  // namespace myrtleloft
