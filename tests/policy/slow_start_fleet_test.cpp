// Slow start of one endpoint among a fleet of relays.
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

// Many relays and one destination: the rule on returning destinations, counted as it is worded, over
// every window of overloadWindowMs of an outage whose end none knows. Messages come at 0.8 of the capacity,
// each to some relay, and stop at some time; each call is answered after 100 ms.
struct Fleet {
  double perS = 0, healthyMs = 10000, stopMs = 30000, endMs = 40000, returnMs = 1e9;
  bool rated = false;
  std::function<Outcome(double t, std::mt19937& random)> fate;
  std::function<std::int64_t(double t)> wait = [](double) { return 0; };
};
// The worst window: what was sent by all and by those that saw a failure, where that breaks the rule; else
// nothing.
std::string worstWindow(const Fleet& f) {
  constexpr int kRelays = 300;
  Settings s = plainSettings();
  s.instanceCount = kRelays;
  const double capacity = f.perS / 0.8;
  EndpointInfo target = entry("a");
  if (f.rated) s.ratingKind = RatingKind::kNominal, target.rating = capacity;
  const Event list = snapshot({target});
  std::mt19937 random(7);
  std::vector<std::unique_ptr<Dispatcher>> fleet;
  std::map<double, std::map<int, std::vector<Event>>> agenda;
  for (int i = 0; i < kRelays; ++i) {
    s.seed = static_cast<std::uint64_t>(i) + 1, s.instanceIndex = i;
    fleet.push_back(std::make_unique<Dispatcher>(s));
    agenda[0][i].push_back(list);
  }
  int id = 0;
  for (double t = 1; t < f.stopMs; t += 1000 / f.perS) {
    RequestEvent m;
    m.id = numbered(id++);
    m.destination = 1;
    m.deadlineMs = std::floor(t) + 20000;
    agenda[std::floor(t)][static_cast<int>(random() % kRelays)].emplace_back(m);
  }
  std::map<std::string, int> attempts;
  std::vector<bool> sawFailure(kRelays);
  std::deque<std::pair<double, bool>> window;
  // What a upstream that returned at returnMs, or just now, takes in the window up to t.
  const auto budgetTo = [&](double t) {
    const double warmS = std::clamp(t - f.returnMs, 0.0, s.overloadWindowMs) / 1000;
    const double early = std::max(0.0, t - s.overloadWindowMs - f.returnMs) / 1000;
    const double climb = (1 - s.slowStartShare) / s.slowStartMs * 1000;
    const double takes = s.overloadFactor * capacity *
                         (s.slowStartShare * s.overloadWindowMs / 1000 + climb * warmS * (early + warmS / 2));
    return takes + std::sqrt(takes);  // the count leaves some slack for chance
  };
  int toldSends = 0;
  for (; !agenda.empty() && agenda.begin()->first < f.endMs; agenda.erase(agenda.begin())) {
    const double t = agenda.begin()->first;
    for (auto& [i, events] : agenda.begin()->second) {
      const bool before = sawFailure[static_cast<std::size_t>(i)];
      for (const Event& e : events)
        if (const auto* o = std::get_if<OutcomeEvent>(&e))
          if (o->outcome != Outcome::kSuccess && t >= f.healthyMs)
            sawFailure[static_cast<std::size_t>(i)] = true;
      for (const Action& a : fleet[static_cast<std::size_t>(i)]->onBatch(t, events)) {
        if (const auto* timer = std::get_if<TimerAction>(&a))
          agenda[t + std::max(5.0, std::ceil(timer->delayMs))][i].emplace_back(TimerEvent{timer->token});
        const auto* sent = std::get_if<SendAction>(&a);
        if (!sent) continue;
        OutcomeEvent o;
        o.id = sent->id, o.attempt = attempts[sent->id]++, o.endpoint = "a";
        o.outcome = t < f.healthyMs ? Outcome::kSuccess : f.fate(t, random);
        o.completed = o.outcome == Outcome::kSuccess;
        if (o.outcome == Outcome::kRejected) o.retryAfterMs = f.wait(t);
        agenda[t + 100][i].emplace_back(o);
        if (t < f.healthyMs) continue;
        // Told in an earlier batch: what this batch brought counts from the next on.
        window.emplace_back(t, before);
        toldSends += before;
      }
    }
    for (; !window.empty() && window.front().first <= t - s.overloadWindowMs; window.pop_front())
      toldSends -= window.front().second;
    const auto all = static_cast<double>(window.size());
    if (all > budgetTo(t) && 3 * toldSends >= 2 * all)
      return std::to_string(window.size()) + " sent, " + std::to_string(toldSends) +
             " by relays that saw a failure, up to " + std::to_string(t) + " ms; budget " +
             std::to_string(budgetTo(t));
  }
  return "";
}

struct FleetCase {
  const char* name;
  double perS;
  bool rated;
  Outcome outcome;
  double goodShare;
  bool opens;  // refusals tell the time of the return
};
std::ostream& operator<<(std::ostream& out, const FleetCase& c) { return out << c.name; }
class SlowStartOfAFleet : public ::testing::TestWithParam<FleetCase> {};
TEST_P(SlowStartOfAFleet, RelaysThatSawFailuresStayUnderTwoThirdsOfWhatItTakes) {
  const FleetCase c = GetParam();
  Fleet f;
  f.perS = c.perS, f.rated = c.rated;
  if (c.opens) f.returnMs = 25000;
  f.fate = [&](double t, std::mt19937& random) {
    if (c.opens && t >= f.returnMs) return Outcome::kSuccess;
    return std::uniform_real_distribution<double>(0, 1)(random) < c.goodShare ? Outcome::kSuccess : c.outcome;
  };
  if (c.opens)
    f.wait = [&](double t) { return static_cast<std::int64_t>(std::max(0.0, f.returnMs - t - 100)); };
  EXPECT_EQ(worstWindow(f), "");
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

// Guards against a fleet that was told to wait until one moment and calls all at once at it. Traffic is
// sparse: a relay's part of what the upstream takes at its slowest is less than a call in a window.
TEST(SlowStartOfAFleet, RelaysToldToWaitUntilOneMomentDoNotAllCallAtIt) {
  constexpr int kRelays = 30, kWaiting = 10;
  constexpr double kRejectedMs = 1000, kWaitMs = 9000;
  Settings s = plainSettings();
  s.instanceCount = kRelays;
  s.ratingKind = RatingKind::kNominal;
  s.kindBatchSize = {kWaiting};
  EndpointInfo target = entry("a");
  target.rating = 30;
  double sent = 0;  // in the window that begins with the end of the wait
  for (int i = 0; i < kRelays; ++i) {
    s.seed = static_cast<std::uint64_t>(i) + 1, s.instanceIndex = i;
    DispatcherFixture relay(s);
    relay.at(0, {snapshot({target})});
    for (double t = 0; t < kRejectedMs; t += 50) relay.at(t);
    relay.at(kRejectedMs, {relay.message("first")});
    for (double t = kRejectedMs; relay.sends.empty() && t < kRejectedMs + 5000; t += 5) relay.at(t);
    ASSERT_EQ(relay.sends.size(), 1u);
    const double toldMs = relay.now + 30;
    relay.at(toldMs, {relay.outcome("first", Outcome::kRejected,
                                    static_cast<std::int64_t>(kRejectedMs + kWaitMs - toldMs))});
    for (int n = 0; n < kWaiting; ++n) relay.at(toldMs + 5, {relay.message(numbered(n))});
    relay.sends.clear();
    for (double t = toldMs + 10; t < kRejectedMs + kWaitMs; t += 5) relay.at(t);
    ASSERT_TRUE(relay.sends.empty());
    for (double t = kRejectedMs + kWaitMs; t < kRejectedMs + kWaitMs + s.overloadWindowMs; t += 5) {
      const std::size_t before = relay.sends.size();
      relay.at(t);
      const double items = static_cast<double>(relay.sends.size() - before);
      if (items > 0) sent += 1 + 0.2 * (items - 1);  // what a call of several requests weighs
    }
  }
  const double takes = s.overloadFactor * target.rating * s.slowStartShare * s.overloadWindowMs / 1000;
  EXPECT_LE(sent, takes + 3 * std::sqrt(takes) + 3);
}

}  // namespace
}  // namespace myrtleloft
