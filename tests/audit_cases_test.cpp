// Generated cases are reproducible, cover all kinds of events and actions, and are encoded without loss;
// invalid bytes are rejected.
#include <doctest/doctest.h>

#include <limits>
#include <random>

#include "audit/audit_message.h"
#include "audit/recorder.h"
#include "audit/share.h"
#include "lab/module_site.h"
#include "tests/audit_fleet.h"

using namespace myrtleloft;

namespace {

const Hash kVersion{1, 2};

ModuleCases moduleCases() { return ModuleCases(lab::moduleSettings(1), {}); }

std::vector<CaseStep> stepsOf(const CaseFamily& family, std::size_t index, const Hash& version = kVersion) {
  std::vector<CaseStep> steps;
  CaseStep step;
  for (auto run = family.begin(version, index); run->next(step);) steps.push_back(step);
  return steps;
}
bool same(const std::vector<CaseStep>& a, const std::vector<CaseStep>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const CaseStep& x, const CaseStep& y) { return x.digest() == y.digest(); });
}
std::string windowOf(std::size_t batches, const ModuleFactory& make = makeOwnModule) {
  Recorder recorder(lab::moduleSettings(7), make);
  recorder.begin(0, {ListUpdateKind::kSnapshot, {{"a", 0, 0, 1, EndpointState::kRunning, 9}}});
  for (std::size_t i = 1; i <= batches && recorder.recording(); ++i) {
    RequestEvent e;
    e.id = "m" + std::to_string(i);
    e.destination = 1;
    e.deadlineMs = static_cast<double>(i) * 10 + 5000;
    recorder.feed(static_cast<double>(i) * 10, {e});
  }
  return recorder.take();
}

}  // namespace

TEST_CASE("a case is the same each time, and another for another version, number or setting") {
  const ModuleCases cases = moduleCases();
  CHECK(stepsOf(cases, 3).size() == ModuleCases::kSteps);
  CHECK(same(stepsOf(cases, 3), stepsOf(cases, 3)));
  CHECK_FALSE(same(stepsOf(cases, 3), stepsOf(cases, 4)));
  CHECK_FALSE(same(stepsOf(cases, 3), stepsOf(cases, 3, {1, 3})));
}

TEST_CASE("the cases reach every kind of event and action") {
  const ModuleCases cases = moduleCases();
  std::array<int, std::variant_size_v<Event>> events{};
  std::array<int, std::variant_size_v<Action>> actions{};
  std::array<int, static_cast<std::size_t>(Outcome::kNotSent)> outcomes{};
  for (std::size_t i = 0; i < cases.cases(); ++i)
    for (const CaseStep& step : stepsOf(cases, i)) {
      Batch batch;
      std::vector<Action> output;
      REQUIRE(decodeEvents(step.input, batch));
      REQUIRE(decodeActions(step.output, output));
      CHECK(encodeEvents(batch.nowMs, batch.events) == step.input);
      CHECK(encodeActions(output) == step.output);
      for (const Event& e : batch.events) {
        ++events[e.index()];
        if (const auto* o = std::get_if<OutcomeEvent>(&e)) ++outcomes[static_cast<std::size_t>(o->outcome)];
      }
      for (const Action& a : output) ++actions[a.index()];
    }
  for (const int n : events) CHECK(n > 0);
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const bool never = i == 3;  // these settings do not allow cancelling
    CHECK_MESSAGE((actions[i] > 0) != never, i);
  }
  for (std::size_t i = 0; i < outcomes.size(); ++i)
    CHECK_MESSAGE((outcomes[i] > 0) == (i != static_cast<std::size_t>(Outcome::kCancelled)), i);
}

TEST_CASE("bytes that nobody wrote are refused, and do no harm where they are not") {
  std::mt19937_64 random(5);
  const ModuleCases cases = moduleCases();
  const std::string window = windowOf(20);
  int refused = 0;
  for (int i = 0; i < 4000; ++i) {
    const auto steps = stepsOf(cases, random() % 8);
    std::string bytes = steps[random() % steps.size()].input, whole = window;
    bytes[random() % bytes.size()] ^= static_cast<char>(1 << random() % 8);
    whole[random() % whole.size()] ^= static_cast<char>(1 << random() % 8);
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    Batch batch;
    std::vector<Action> actions;
    TrafficWindow traffic;
    if (!decodeEvents(bytes, batch)) ++refused;
    decodeActions(bytes, actions);
    decode(whole, traffic);
    i += 9;
  }
  CHECK(refused > 100);
  Batch batch;
  RequestEvent e;
  e.deadlineMs = std::numeric_limits<double>::quiet_NaN();
  CHECK_FALSE(decodeEvents(encodeEvents(0, {e}), batch));
  CHECK_FALSE(decodeEvents(encodeEvents(0, {}) + "x", batch));
  AuditMessage message;
  std::string encoded = encode(AuditMessage());
  CHECK(encoded.size() == 165);
  CHECK(decode(encoded, message));
  encoded[20] ^= 1;
  CHECK_FALSE(decode(encoded, message));
  CHECK_FALSE(decode("", message));
  CHECK_FALSE(decode(std::string(kMaxAuditMessageBytes + 1, '\0'), message));
}

TEST_CASE("a window of traffic is bounded, and plays the same elsewhere") {
  const std::string bytes = windowOf(20000);
  CHECK(bytes.size() <= kMaxWindowBytes);
  CHECK(bytes.size() > kMaxWindowBytes / 2);
  TrafficWindow window;
  REQUIRE(decode(bytes, window));
  CHECK(encode(window) == bytes);
  WindowReplay replay(lab::moduleSettings(1), makeOwnModule, window);
  while (replay.next()) {
  }
  CHECK_FALSE(replay.local());
  CHECK(replay.step() == window.steps.size());
  Settings other = lab::moduleSettings(1);
  other.classes[0].latencyObjectiveMs = 100;  // changes the timeout of calls
  WindowReplay diverging(other, makeOwnModule, window);
  while (diverging.next()) {
  }
  REQUIRE(diverging.local());
  CHECK(moduleDifference(*diverging.local(), diverging.remote()).here.find("send m") == 0);
}

TEST_CASE("the share of the core follows from what steps cost") {
  CoreShare share;
  std::size_t played = 0;
  double spentMs = 0;
  for (double nowMs = 0; nowMs <= 600000; nowMs += 100) {
    const std::size_t steps = share.steps(nowMs);
    const double tookMs = static_cast<double>(steps) * 0.2;  // four times the initial estimate
    share.recordSpent(steps, tookMs);
    played += steps;
    spentMs += tookMs;
  }
  CHECK(spentMs <= 600000 * CoreShare::kShare + CoreShare::kSliceMs);
  CHECK(spentMs > 600000 * CoreShare::kShare / 2);
  CHECK(played > 0);
}
