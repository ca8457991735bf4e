// What has its 202 is tried as long as a call may arrive in time; what cannot be served beside it is rejected
// in the batch with which it comes.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/policy/dispatcher_fixture.h"

namespace myrtleloft {
namespace {

constexpr double kStepMs = 50;
constexpr double kLifetimeMs = 20000;

// One of a hundred relays; its part of a listed endpoint is less than a call in two seconds.
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
    for (int i = from; i < from + count; ++i) events.push_back(fixture.message(numbered(i), 1, classIndex));
    return events;
  }
  // Lets time pass; each call has that outcome after a step.
  static void answerCalls(DispatcherFixture& fixture, double untilMs, Outcome outcome) {
    for (double t = fixture.now + kStepMs; t <= untilMs; t += kStepMs) {
      std::vector<Event> outcomes;
      for (const std::string& id : std::exchange(fixture.inFlight, {}))
        outcomes.push_back(fixture.outcome(id, outcome));
      fixture.at(t, outcomes);
    }
  }
};

// Guards against an accepted request that is given up so that one which comes later fits in.
TEST_F(AcceptedRequests, AreNotShedForThoseThatComeLater) {
  Settings settings = oneOfMany();
  settings.maxPendingRequests = 20;
  DispatcherFixture fixture(settings);
  fixture.at(0, requests(fixture, 0, 18, 0));  // no endpoint is known: all of them wait
  ASSERT_TRUE(fixture.refused.empty());
  fixture.at(kStepMs, requests(fixture, 18, 4, 1));
  EXPECT_EQ(fixture.refused, (std::vector<std::string>{"m18", "m19", "m20", "m21"}));
}

// Guards against requests of an earlier process that are given up with no call, for want of a rate.
TEST_F(AcceptedRequests, OfAnEarlierProcessWaitUntilNoCallCanArriveInTime) {
  DispatcherFixture fixture(oneOfMany());
  std::vector<Event> first = requests(fixture, 0, 40, 1);
  first.insert(first.begin(), listedAt(60, ListUpdateKind::kCached));
  fixture.at(0, first);
  answerCalls(fixture, kLifetimeMs - kStepMs, Outcome::kSuccess);
  EXPECT_TRUE(fixture.refused.empty());
  EXPECT_TRUE(fixture.failed.empty());
  EXPECT_GE(fixture.sends.size(), 8U);  // 0.48 a second
  answerCalls(fixture, kLifetimeMs + kStepMs, Outcome::kSuccess);
  EXPECT_EQ(fixture.refused.size() + fixture.sends.size(),
            40U);  // each had its end, or a call that delivered
}

// The same requests, all new: what is more than the part allows is answered at once.
TEST_F(AcceptedRequests, ThoseThatCannotBeServedAreRejectedInTheBatchWithWhichTheyCome) {
  DispatcherFixture fixture(oneOfMany());
  fixture.at(0, {listedAt(60)});
  const auto actions = fixture.at(kStepMs, requests(fixture, 0, 40, 1));
  EXPECT_GE(fixture.refused.size(), 25U);
  for (const Action& action : actions) {
    const auto* const reject = std::get_if<RejectAction>(&action);
    if (reject != nullptr) {
      EXPECT_GT(reject->retryAfterMs, 0) << reject->id;
    }
  }
  const std::size_t refusedAtOnce = fixture.refused.size();
  answerCalls(fixture, kLifetimeMs - kStepMs, Outcome::kSuccess);
  EXPECT_EQ(fixture.refused.size(), refusedAtOnce);
}

// Two batches may come at the same time; the second does not take what the first accepted for new.
TEST_F(AcceptedRequests, OfABatchAtTheSameTimeAreNotTakenForNew) {
  Settings settings = oneOfMany();
  settings.maxPendingRequests = 20;
  DispatcherFixture fixture(settings);
  fixture.at(kStepMs, requests(fixture, 0, 18, 0));
  fixture.at(kStepMs, requests(fixture, 18, 2, 1));
  EXPECT_EQ(fixture.refused, (std::vector<std::string>{"m18", "m19"}));
}

}  // namespace
}  // namespace myrtleloft
