// Tests of the rate limiter in a fleet of relays with two listed endpoints.
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

// Returns how many requests 300 relays deliver to two endpoints, each of which accepts kLimit calls in any
// second, counting those that it rejects. `burst` requests arrive at once, then a steady stream at 0.7 of the
// capacity of both. Counts the calls to the higher rated endpoint in `sendsToFirst`.
int deliveredByFleet(int burst, int* sendsToFirst = nullptr) {
  constexpr int kRelays = 300, kEndMs = 12000;
  constexpr double kLimit = 40;
  Settings settings = plainSettings();
  settings.instanceCount = kRelays;
  settings.kindHasSeparateLimits = {true};
  settings.ratingKind = RatingKind::kRough;
  EndpointInfo first = entry("a"), second = entry("b");
  first.rating = kLimit + 4, second.rating = kLimit - 4;  // rough ratings, by which the first is preferred
  std::mt19937 random(11);
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  std::map<double, std::map<int, std::vector<Event>>> scheduledEvents;
  for (int i = 0; i < kRelays; ++i) {
    settings.seed = static_cast<std::uint64_t>(i) + 1, settings.instanceIndex = i;
    dispatchers.push_back(std::make_unique<Dispatcher>(settings));
    scheduledEvents[0][i].push_back(snapshot({first, second}));
  }
  int id = 0, delivered = 0;
  const auto addRequest = [&](double nowMs) {
    RequestEvent request;
    request.id = numbered(id++);
    request.destination = 1;
    request.deadlineMs = nowMs + 12000;
    scheduledEvents[nowMs][static_cast<int>(random() % kRelays)].emplace_back(request);
  };
  for (int i = 0; i < burst; ++i) addRequest(1);
  for (double nowMs = 1; nowMs < kEndMs; nowMs += 1000 / (2 * kLimit * 0.7)) addRequest(std::floor(nowMs));
  std::map<std::string, int> attempts;
  std::map<std::string, std::deque<double>> arrivals;
  for (; !scheduledEvents.empty() && scheduledEvents.begin()->first < kEndMs;
       scheduledEvents.erase(scheduledEvents.begin())) {
    const double nowMs = scheduledEvents.begin()->first;
    for (auto& [i, events] : scheduledEvents.begin()->second) {
      for (const Action& action : dispatchers[static_cast<std::size_t>(i)]->onBatch(nowMs, events)) {
        if (const auto* timer = std::get_if<TimerAction>(&action))
          scheduledEvents[nowMs + std::max(5.0, std::ceil(timer->delayMs))][i].emplace_back(
              TimerEvent{timer->token});
        const auto* sent = std::get_if<SendAction>(&action);
        if (!sent) continue;
        std::deque<double>& recentArrivals = arrivals[sent->endpoint];
        recentArrivals.push_back(nowMs);
        while (recentArrivals.front() <= nowMs - 1000) recentArrivals.pop_front();
        OutcomeEvent event;
        event.id = sent->id, event.attempt = attempts[sent->id]++, event.endpoint = sent->endpoint;
        event.outcome =
            static_cast<double>(recentArrivals.size()) <= kLimit ? Outcome::kSuccess : Outcome::kRejected;
        event.completed = event.outcome == Outcome::kSuccess;
        delivered += event.completed;
        if (sendsToFirst) *sendsToFirst += sent->endpoint == "a";
        scheduledEvents[nowMs + 100][i].emplace_back(event);
      }
    }
  }
  return delivered;
}
TEST(RateLimiterOfAFleet, FleetGoesOnAtItsPartsAfterACommonRejection) {
  // At most 80 requests per second for 12 s, of which 56 per second arrive after the burst.
  EXPECT_GT(deliveredByFleet(300), 450);
}
// Settings of one of a hundred relays. Its share of an endpoint listed at 60 calls per second is 0.48 per
// second.
Settings oneOfMany() {
  Settings settings = plainSettings();
  settings.instanceCount = 100;
  settings.ratingKind = RatingKind::kRough;
  return settings;
}
EndpointListEvent endpointRatedAtSixty() {
  EndpointInfo endpoint = entry("a");
  endpoint.rating = 60;
  return snapshot({endpoint});
}
// Number of calls that such a relay sends in [fromMs, toMs) while requests wait. The first `rejected` are
// rejected.
int sentByOneOfMany(int rejected, double fromMs, double toMs, int requests = 20, std::uint64_t seed = 1) {
  Settings settings = oneOfMany();
  settings.seed = seed;
  DispatcherFixture fixture(settings);
  std::vector<Event> events = {endpointRatedAtSixty()};
  for (int i = 0; i < requests; ++i) {
    RequestEvent request = std::get<RequestEvent>(fixture.request(numbered(i)));
    request.deadlineMs = 100000;
    events.emplace_back(request);
  }
  int sent = 0;
  for (double nowMs = 0; nowMs < toMs; nowMs += 50) {
    const std::size_t before = fixture.sends.size();
    fixture.at(nowMs, events);
    events.clear();
    for (std::size_t i = before; i < fixture.sends.size(); ++i) {
      sent += nowMs >= fromMs;
      events.push_back(
          fixture.outcome(fixture.sends[i].id, rejected-- > 0 ? Outcome::kRejected : Outcome::kSuccess));
    }
  }
  return sent;
}
TEST(RateLimiterOfAFleet, BeginsAtTheListedShare) { EXPECT_LE(sentByOneOfMany(0, 0, 2000), 3); }
TEST(RateLimiterOfAFleet, AnAnswerRestoresTheListedShare) {
  EXPECT_GE(sentByOneOfMany(0, 0, 30000), 13);     // 0.48 per second
  EXPECT_LE(sentByOneOfMany(1000, 0, 30000), 5);   // always rejected: as during an outage
  EXPECT_GE(sentByOneOfMany(1, 10000, 30000), 7);  // rejected once, then successful
}
// Guards against calling an upstream with an outage more often because more requests wait: the length of the
// queue is no arrival rate.
TEST(RateLimiterOfAFleet, WhatWaitedBeforeAFailureDoesNotRaiseTheRateAtAShutUpstream) {
  constexpr int kSeeds = 40;
  int withFew = 0, withMany = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    withFew += sentByOneOfMany(1000, 0, 30000, 5, seed);
    withMany += sentByOneOfMany(1000, 0, 30000, 45, seed);
  }
  // The bound is three standard deviations of the difference of the two counts.
  EXPECT_LE(withMany - withFew, 3 * std::sqrt(withMany + withFew)) << withFew << " with few waiting";
}
// After two rejections, the rate returns to the listed share soon after the first success, even if calls are
// rare.
TEST(RateLimiterOfAFleet, TheShareRecoversWithTime) { EXPECT_GE(sentByOneOfMany(2, 0, 30000), 12); }
// If more requests wait than the rate allows, recent requests are sent first: late ones have lost their
// weight.
TEST(RateLimiterOfAFleet, FreshRequestsGoBeforeLateOnes) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Settings settings = oneOfMany();
    settings.seed = seed;
    settings.weightDecay = WeightDecay::kHalving;
    DispatcherFixture fixture(settings);
    const auto requestOfAge = [&](const char* id, double ageMs) {
      RequestEvent request = std::get<RequestEvent>(fixture.request(id));
      request.deadlineMs = fixture.now + 20000 - ageMs;
      return request;
    };
    fixture.at(0, {endpointRatedAtSixty(), requestOfAge("late", 6000), requestOfAge("fresh", 0)});
    for (double nowMs = 50; nowMs < 6000 && fixture.sends.empty(); nowMs += 50) fixture.at(nowMs);
    ASSERT_FALSE(fixture.sends.empty());
    EXPECT_EQ(fixture.sends[0].id, "fresh") << seed;
  }
}
// Requests that exceed the relay's share are rejected at once, those with the lowest weight first.
TEST(RateLimiterOfAFleet, ReturnsTheLeastWeightOfWhatWaits) {
  Settings settings = oneOfMany();
  settings.classes.push_back(classOf(Idempotency::kIdempotent));
  settings.classes[1].priorityWeight = 5;
  DispatcherFixture fixture(settings);
  std::vector<Event> events = {endpointRatedAtSixty()};
  for (int i = 0; i < 20; ++i) events.push_back(fixture.request(numbered(i), 1, i % 4 == 3));
  fixture.at(0, events);
  ASSERT_FALSE(fixture.rejected.empty());
  EXPECT_LT(fixture.rejected.size(), 20U);
  for (const std::string& id : fixture.rejected) EXPECT_NE(std::stoi(id.substr(1)) % 4, 3) << id;
}
// The tokens of the preferred endpoint are spent first. Guards against 96% of the calls going there, as
// happened before the relay's own share was taken into account.
TEST(RateLimiterOfAFleet, UsesTheNextEndpointOnceTheLeadHadTheOwnPart) {
  int sendsToFirst = 0;
  const int all = deliveredByFleet(0, &sendsToFirst);
  EXPECT_LT(sendsToFirst, 0.85 * all);
}

}  // namespace
}  // namespace myrtleloft
