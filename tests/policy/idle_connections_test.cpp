// Idle connections to endpoints that hold only few: an endpoint with a full connection table refuses a new
// connection, or accepts it and rejects its first call. With a few dozen connections per endpoint and 100
// relays, idle connections filled the tables, and 39% of all calls were rejected although no rate limit was
// reached.
#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft {
namespace {

class FullTables : public testing::Test {
 protected:
  FullTables() : dispatcher_(testSettings()) {
    list_.entries = {{"E1", 0, 0, 1, EndpointState::kRunning, 0}};
    dispatcher_.onBatch(now_, {list_});
  }

  // Sends one request for each outcome at the same time; their calls end in one batch with these outcomes.
  // Returns whether idle connections were closed.
  bool sendAndEnd(const std::vector<Outcome>& outcomes, std::int64_t retryAfterMs = 0) {
    now_ += 3000;  // past any pause
    std::vector<Event> events;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      RequestEvent request;
      request.id = std::to_string(++lastRequest_);
      request.destination = 1;
      request.deadlineMs = now_ + 2500;
      events.emplace_back(request);
    }
    std::vector<Event> outcomeEvents;
    for (const Action& action : dispatcher_.onBatch(now_, events))
      if (const auto* send = std::get_if<SendAction>(&action)) {
        OutcomeEvent event;
        event.id = send->id;
        event.endpoint = send->endpoint;
        event.outcome = outcomes[outcomeEvents.size()];
        event.completed = event.outcome == Outcome::kSuccess;
        event.retryAfterMs = event.outcome == Outcome::kRejected ? retryAfterMs : 0;
        outcomeEvents.emplace_back(event);
      }
    EXPECT_EQ(outcomeEvents.size(), outcomes.size());
    bool closed = false;
    for (const Action& action : dispatcher_.onBatch(now_ + 100, outcomeEvents))
      closed = closed || std::holds_alternative<CloseIdleConnectionsAction>(action);
    // Ends the remaining requests, so that rejected requests are not sent again.
    std::vector<Event> disconnects;
    for (const Event& event : events)
      disconnects.emplace_back(ClientDisconnectEvent{std::get<RequestEvent>(event).id});
    dispatcher_.onBatch(now_ + 100, disconnects);
    return closed;
  }

 private:
  static Settings testSettings() {
    Settings settings;
    settings.batchIntervalMs = 5;
    settings.maxConcurrentCalls = 20;
    settings.maxPendingRequests = 100;
    settings.maxAttempts = 12;
    settings.connectionIdleMs = 60000;
    settings.kindHasSeparateLimits = {true};
    settings.kindBatchSize = {1};
    settings.classes.resize(1);
    settings.classes[0].idempotency = Idempotency::kIdempotent;
    settings.classes[0].latencyObjectiveMs = 2000;
    settings.classes[0].maxLifetimeMs = 10000;
    return settings;
  }

  double now_ = 1000;
  int lastRequest_ = 0;
  EndpointListEvent list_;
  Dispatcher dispatcher_;
};

constexpr Outcome kSuccess = Outcome::kSuccess, kRejected = Outcome::kRejected;

TEST_F(FullTables, IdleConnectionsCloseWhereNewOnesAreRejectedAsFull) {
  EXPECT_FALSE(sendAndEnd({kRejected}));
  EXPECT_TRUE(sendAndEnd({kSuccess}));
}

TEST_F(FullTables, IdleConnectionsStayWhereCallsOnIdleOnesAreRejected) {
  EXPECT_FALSE(sendAndEnd({kSuccess}));
  for (int i = 0; i < 6; ++i) {
    EXPECT_FALSE(sendAndEnd({kRejected}));
    EXPECT_FALSE(sendAndEnd({kSuccess}));
  }
}

TEST_F(FullTables, IdleConnectionsStayWhereTheRejectionStatesRetryAfter) {
  EXPECT_FALSE(sendAndEnd({kRejected, kRejected}, 500));
  EXPECT_FALSE(sendAndEnd({kSuccess}));
}

}  // namespace
}  // namespace myrtleloft
