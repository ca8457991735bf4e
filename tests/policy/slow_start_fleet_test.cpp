// Tests of slow start towards one endpoint in a fleet of relays.
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

// A fleet of many relays with one destination that has an outage of unknown end. Requests arrive at 0.8 of
// the capacity, each at a random relay, until lastArrivalMs; each call ends after 100 ms. The overload rule
// for recovering destinations is checked over every window of overloadWindowMs.
struct FleetScenario {
  double callsPerSecond = 0, outageStartMs = 10000, lastArrivalMs = 30000, endMs = 40000, returnMs = 1e9;
  bool hasRating = false;
  std::function<Outcome(double nowMs, std::mt19937& random)> outcomeAt;
  std::function<std::int64_t(double nowMs)> retryAfterMs = [](double) { return 0; };
};
// Returns a description of the first window that breaks the overload rule: the calls of all relays, and those
// of the relays that saw a failure. Returns an empty text if there is none.
std::string findOverrun(const FleetScenario& scenario) {
  constexpr int kRelays = 300;
  Settings settings = plainSettings();
  settings.instanceCount = kRelays;
  const double capacity = scenario.callsPerSecond / 0.8;
  EndpointInfo target = entry("a");
  if (scenario.hasRating) settings.ratingKind = RatingKind::kNominal, target.rating = capacity;
  const Event list = snapshot({target});
  std::mt19937 random(7);
  std::vector<std::unique_ptr<Dispatcher>> dispatchers;
  std::map<double, std::map<int, std::vector<Event>>> scheduledEvents;
  for (int i = 0; i < kRelays; ++i) {
    settings.seed = static_cast<std::uint64_t>(i) + 1, settings.instanceIndex = i;
    dispatchers.push_back(std::make_unique<Dispatcher>(settings));
    scheduledEvents[0][i].push_back(list);
  }
  int id = 0;
  for (double nowMs = 1; nowMs < scenario.lastArrivalMs; nowMs += 1000 / scenario.callsPerSecond) {
    RequestEvent request;
    request.id = numbered(id++);
    request.destination = 1;
    request.deadlineMs = std::floor(nowMs) + 20000;
    scheduledEvents[std::floor(nowMs)][static_cast<int>(random() % kRelays)].emplace_back(request);
  }
  std::map<std::string, int> attempts;
  std::vector<bool> sawFailure(kRelays);
  std::deque<std::pair<double, bool>> window;
  // Calls that an upstream which recovers at returnMs, or recovers only now, can take in the window up to
  // `nowMs`.
  const auto budgetUpTo = [&](double nowMs) {
    const double recoveredS = std::clamp(nowMs - scenario.returnMs, 0.0, settings.overloadWindowMs) / 1000;
    const double recoveredBeforeS =
        std::max(0.0, nowMs - settings.overloadWindowMs - scenario.returnMs) / 1000;
    const double shareGrowthPerS = (1 - settings.slowStartShare) / settings.slowStartMs * 1000;
    const double expectedCalls = settings.overloadFactor * capacity *
                                 (settings.slowStartShare * settings.overloadWindowMs / 1000 +
                                  shareGrowthPerS * recoveredS * (recoveredBeforeS + recoveredS / 2));
    return expectedCalls + std::sqrt(expectedCalls);  // the root is slack for random variation
  };
  int sendsAfterFailure = 0;
  for (; !scheduledEvents.empty() && scheduledEvents.begin()->first < scenario.endMs;
       scheduledEvents.erase(scheduledEvents.begin())) {
    const double nowMs = scheduledEvents.begin()->first;
    for (auto& [i, events] : scheduledEvents.begin()->second) {
      const bool sawFailureBefore = sawFailure[static_cast<std::size_t>(i)];
      for (const Event& event : events)
        if (const auto* outcomeEvent = std::get_if<OutcomeEvent>(&event))
          if (outcomeEvent->outcome != Outcome::kSuccess && nowMs >= scenario.outageStartMs)
            sawFailure[static_cast<std::size_t>(i)] = true;
      for (const Action& action : dispatchers[static_cast<std::size_t>(i)]->onBatch(nowMs, events)) {
        if (const auto* timer = std::get_if<TimerAction>(&action))
          scheduledEvents[nowMs + std::max(5.0, std::ceil(timer->delayMs))][i].emplace_back(
              TimerEvent{timer->token});
        const auto* sent = std::get_if<SendAction>(&action);
        if (!sent) continue;
        OutcomeEvent outcomeEvent;
        outcomeEvent.id = sent->id, outcomeEvent.attempt = attempts[sent->id]++, outcomeEvent.endpoint = "a";
        outcomeEvent.outcome =
            nowMs < scenario.outageStartMs ? Outcome::kSuccess : scenario.outcomeAt(nowMs, random);
        outcomeEvent.completed = outcomeEvent.outcome == Outcome::kSuccess;
        if (outcomeEvent.outcome == Outcome::kRejected)
          outcomeEvent.retryAfterMs = scenario.retryAfterMs(nowMs);
        scheduledEvents[nowMs + 100][i].emplace_back(outcomeEvent);
        if (nowMs < scenario.outageStartMs) continue;
        // Only a failure seen in an earlier batch counts; one in this batch counts from the next batch on.
        window.emplace_back(nowMs, sawFailureBefore);
        sendsAfterFailure += sawFailureBefore;
      }
    }
    for (; !window.empty() && window.front().first <= nowMs - settings.overloadWindowMs; window.pop_front())
      sendsAfterFailure -= window.front().second;
    const auto all = static_cast<double>(window.size());
    if (all > budgetUpTo(nowMs) && 3 * sendsAfterFailure >= 2 * all)
      return std::to_string(window.size()) + " sent, " + std::to_string(sendsAfterFailure) +
             " by relays that saw a failure, up to " + std::to_string(nowMs) + " ms; budget " +
             std::to_string(budgetUpTo(nowMs));
  }
  return "";
}

struct FleetCase {
  const char* name;
  double callsPerSecond;
  bool hasRating;
  Outcome outcome;
  double successShare;
  bool announcesReturn;  // rejections state Retry-After until the end of the outage
};
std::ostream& operator<<(std::ostream& out, const FleetCase& fleetCase) { return out << fleetCase.name; }
class SlowStartOfAFleet : public ::testing::TestWithParam<FleetCase> {};
TEST_P(SlowStartOfAFleet, RelaysThatSawFailuresStayUnderTwoThirdsOfWhatItTakes) {
  const FleetCase fleetCase = GetParam();
  FleetScenario scenario;
  scenario.callsPerSecond = fleetCase.callsPerSecond, scenario.hasRating = fleetCase.hasRating;
  if (fleetCase.announcesReturn) scenario.returnMs = 25000;
  scenario.outcomeAt = [&](double nowMs, std::mt19937& random) {
    if (fleetCase.announcesReturn && nowMs >= scenario.returnMs) return Outcome::kSuccess;
    return std::uniform_real_distribution<double>(0, 1)(random) < fleetCase.successShare ? Outcome::kSuccess
                                                                                         : fleetCase.outcome;
  };
  if (fleetCase.announcesReturn)
    scenario.retryAfterMs = [&](double nowMs) {
      return static_cast<std::int64_t>(std::max(0.0, scenario.returnMs - nowMs - 100));
    };
  EXPECT_EQ(findOverrun(scenario), "");
}
INSTANTIATE_TEST_SUITE_P(
    Table, SlowStartOfAFleet,
    ::testing::Values(FleetCase{"SeldomCalledShut", 16, false, Outcome::kRejected, 0, false},
                      FleetCase{"SeldomCalledDown", 16, false, Outcome::kConnectFailed, 0, false},
                      FleetCase{"SeldomCalledErrors", 16, false, Outcome::kFailure, 0.2, false},
                      FleetCase{"SeldomCalledRated", 16, true, Outcome::kRejected, 0, false},
                      FleetCase{"CalledNowAndThenRated", 40, true, Outcome::kRejected, 0, false},
                      FleetCase{"OftenCalledRated", 100, true, Outcome::kRejected, 0, false},
                      FleetCase{"OftenCalledShut", 100, false, Outcome::kRejected, 0, false},
                      FleetCase{"OftenCalledDown", 100, false, Outcome::kConnectFailed, 0, false},
                      FleetCase{"OftenCalledErrors", 100, false, Outcome::kFailure, 0.2, false},
                      FleetCase{"WaitsEndTogether", 40, false, Outcome::kRejected, 0, true}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against all relays of a fleet calling at the moment when the Retry-After that they were all given
// ends. Traffic is sparse: a relay's share of the upstream's initial capacity is less than one call per
// window.
TEST(SlowStartOfAFleet, RelaysToldToWaitUntilOneMomentDoNotAllCallAtIt) {
  constexpr int kRelays = 30, kWaitingRequests = 10;
  constexpr double kRejectedMs = 1000, kRetryAfterMs = 9000;
  Settings settings = plainSettings();
  settings.instanceCount = kRelays;
  settings.ratingKind = RatingKind::kNominal;
  settings.kindBatchSize = {kWaitingRequests};
  EndpointInfo target = entry("a");
  target.rating = 30;
  double sent = 0;  // weight of the calls in the window that starts at the end of the Retry-After
  for (int i = 0; i < kRelays; ++i) {
    settings.seed = static_cast<std::uint64_t>(i) + 1, settings.instanceIndex = i;
    DispatcherFixture relay(settings);
    relay.at(0, {snapshot({target})});
    for (double nowMs = 0; nowMs < kRejectedMs; nowMs += 50) relay.at(nowMs);
    relay.at(kRejectedMs, {relay.request("first")});
    for (double nowMs = kRejectedMs; relay.sends.empty() && nowMs < kRejectedMs + 5000; nowMs += 5)
      relay.at(nowMs);
    ASSERT_EQ(relay.sends.size(), 1u);
    const double rejectionSeenMs = relay.now + 30;
    relay.at(rejectionSeenMs,
             {relay.outcome("first", Outcome::kRejected,
                            static_cast<std::int64_t>(kRejectedMs + kRetryAfterMs - rejectionSeenMs))});
    for (int n = 0; n < kWaitingRequests; ++n) relay.at(rejectionSeenMs + 5, {relay.request(numbered(n))});
    relay.sends.clear();
    for (double nowMs = rejectionSeenMs + 10; nowMs < kRejectedMs + kRetryAfterMs; nowMs += 5)
      relay.at(nowMs);
    ASSERT_TRUE(relay.sends.empty());
    for (double nowMs = kRejectedMs + kRetryAfterMs;
         nowMs < kRejectedMs + kRetryAfterMs + settings.overloadWindowMs; nowMs += 5) {
      const std::size_t sendsBefore = relay.sends.size();
      relay.at(nowMs);
      const double requests = static_cast<double>(relay.sends.size() - sendsBefore);
      if (requests > 0) sent += 1 + 0.2 * (requests - 1);  // the weight of a call of several requests
    }
  }
  const double expectedCalls =
      settings.overloadFactor * target.rating * settings.slowStartShare * settings.overloadWindowMs / 1000;
  EXPECT_LE(sent, expectedCalls + 3 * std::sqrt(expectedCalls) + 3);
}

}  // namespace
}  // namespace myrtleloft
