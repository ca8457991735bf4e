// An accepted request (answered 202) waits for an attempt as long as a call can arrive before its deadline. A
// new request that cannot be served in addition is rejected in the batch in which it arrives.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/policy/dispatcher_fixture.h"

namespace myrtleloft {
namespace {

constexpr double kStepMs = 50;
constexpr double kLifetimeMs = 20000;

// Settings of one of a hundred relays, whose share of a listed endpoint is less than one call in two seconds.
Settings oneOfMany() {
  Settings settings = plainSettings();
  settings.instanceCount = 100;
  settings.ratingKind = RatingKind::kRough;
  settings.classes.push_back(classOf(Idempotency::kNonIdempotent));
  settings.classes[1].priorityWeight = 5;
  return settings;
}
EndpointListEvent listedAt(double callsPerSecond, ListUpdateKind kind = ListUpdateKind::kSnapshot) {
  EndpointInfo endpoint = entry("a");
  endpoint.rating = callsPerSecond;
  return {kind, {endpoint}};
}

struct AcceptedRequests : ::testing::Test {
  static std::vector<Event> requests(DispatcherFixture& fixture, int from, int count, int classIndex) {
    std::vector<Event> events;
    for (int i = from; i < from + count; ++i) events.push_back(fixture.request(numbered(i), 1, classIndex));
    return events;
  }
  // Runs batches up to `untilMs`; each call has the outcome one step after it was sent.
  static void answerCalls(DispatcherFixture& fixture, double untilMs, Outcome outcome) {
    for (double t = fixture.now + kStepMs; t <= untilMs; t += kStepMs) {
      std::vector<Event> outcomes;
      for (const std::string& id : std::exchange(fixture.inFlight, {}))
        outcomes.push_back(fixture.outcome(id, outcome));
      fixture.at(t, outcomes);
    }
  }
};

// Guards against an accepted request being given up to make room for one that arrives later.
TEST_F(AcceptedRequests, AreNotShedForThoseThatComeLater) {
  Settings settings = oneOfMany();
  settings.maxPendingRequests = 20;
  DispatcherFixture fixture(settings);
  fixture.at(0, requests(fixture, 0, 18, 0));  // no endpoint is known, so all of them wait
  ASSERT_TRUE(fixture.rejected.empty());
  fixture.at(kStepMs, requests(fixture, 18, 4, 1));
  EXPECT_EQ(fixture.rejected, (std::vector<std::string>{"m18", "m19", "m20", "m21"}));
}

// Guards against requests from before a restart being given up without a call because the rate is not known
// yet.
TEST_F(AcceptedRequests, OfAnEarlierProcessWaitUntilNoCallCanArriveInTime) {
  DispatcherFixture fixture(oneOfMany());
  std::vector<Event> first = requests(fixture, 0, 40, 1);
  first.insert(first.begin(), listedAt(60, ListUpdateKind::kCached));
  fixture.at(0, first);
  answerCalls(fixture, kLifetimeMs - kStepMs, Outcome::kSuccess);
  EXPECT_TRUE(fixture.rejected.empty());
  EXPECT_TRUE(fixture.failed.empty());
  EXPECT_GE(fixture.sends.size(), 8U);  // 0.48 per second
  answerCalls(fixture, kLifetimeMs + kStepMs, Outcome::kSuccess);
  EXPECT_EQ(fixture.rejected.size() + fixture.sends.size(),
            40U);  // each was answered or delivered
}

// The same requests as new ones: those that exceed the relay's share are answered at once.
TEST_F(AcceptedRequests, ThoseThatCannotBeServedAreRejectedInTheBatchWithWhichTheyCome) {
  DispatcherFixture fixture(oneOfMany());
  fixture.at(0, {listedAt(60)});
  const auto actions = fixture.at(kStepMs, requests(fixture, 0, 40, 1));
  EXPECT_GE(fixture.rejected.size(), 25U);
  for (const Action& action : actions) {
    const auto* const reject = std::get_if<RejectAction>(&action);
    if (reject != nullptr) {
      EXPECT_GT(reject->retryAfterMs, 0) << reject->id;
    }
  }
  const std::size_t rejectedAtOnce = fixture.rejected.size();
  answerCalls(fixture, kLifetimeMs - kStepMs, Outcome::kSuccess);
  EXPECT_EQ(fixture.rejected.size(), rejectedAtOnce);
}

// Two batches may have the same time: the second must not treat the requests accepted in the first as new.
TEST_F(AcceptedRequests, OfABatchAtTheSameTimeAreNotTakenForNew) {
  Settings settings = oneOfMany();
  settings.maxPendingRequests = 20;
  DispatcherFixture fixture(settings);
  fixture.at(kStepMs, requests(fixture, 0, 18, 0));
  fixture.at(kStepMs, requests(fixture, 18, 2, 1));
  EXPECT_EQ(fixture.rejected, (std::vector<std::string>{"m18", "m19"}));
}

}  // namespace
}  // namespace myrtleloft
