// A planned restart, during which discovery replaces an endpoint and its address later belongs to an endpoint
// of another destination. Messages that were accepted before the restart must go to endpoints of their
// destination only, as discovery's list has them. TROUBLE=0 leaves the restart out; the endpoints change in
// the same way.
#include <csignal>
#include <string>
#include <vector>

#include "review/support/endpoint.h"
#include "review/support/scene.h"

namespace {

using namespace myrtleloft::review;

constexpr int kDestination = 7;
constexpr int kOtherDestination = 8;

// Milliseconds after SIGTERM. SIGKILL comes at the earliest after 3700 ms, and the next start 600 ms after
// it.
constexpr double kReplacedMs = 3500;
constexpr double kStartedAgainMs = 6300;
// The address is given to another endpoint only after drainGraceMs of the settings (2000), the slack of 50 ms
// and a margin of 50 ms for this script's own delays.
constexpr double kAddressReusedMs = kReplacedMs + 2000 + 50 + 50;

constexpr double kObservedMs = 8000;  // after the next start

const std::vector<Submission> kMessages = {
    {.id = "9b1f03aa5c7e2d41", .requestClass = "status-update", .timeoutS = 16, .destination = kDestination},
    {.id = "9b1f03aa5c7e2d42",
     .requestClass = "caption-order",
     .timeoutS = 28,
     .destination = kDestination,
     .idempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"},
    {.id = "9b1f03aa5c7e2d43",
     .requestClass = "billing-charge",
     .timeoutS = 28,
     .destination = kDestination}};

// Hands in the messages; whether all were accepted.
bool acceptMessages(Scene& scene) {
  for (const Submission& message : kMessages) scene.client.submit(scene.relay().listenAddress(), message);
  return scene.runUntil(
      [&] {
        for (const Submission& message : kMessages)
          if (scene.client.status(message.id) != 202) return false;
        return true;
      },
      Client::kAnswerTimeoutMs);
}

// While the relay is restarted, `former` is replaced by `successor`, and later the endpoint of the other
// destination by one at the address that `former` had. Returns whether the relay came back.
bool playRestart(Scene& scene, Endpoint& former, const Endpoint& successor, Endpoint& ofOther) {
  const double terminatedMs = steadyMs();
  const auto runUntilMs = [&](double afterMs) { scene.runFor(terminatedMs + afterMs - steadyMs()); };
  if (disruptionWanted()) scene.relay().signal(SIGTERM);
  runUntilMs(kReplacedMs);
  if (disruptionWanted() && !scene.relay().ended()) return false;  // it would still learn of the change
  former.stop();
  scene.agent.setEndpoints({successor.entry(), ofOther.entry()});
  runUntilMs(kAddressReusedMs);
  ofOther.stop();
  former.startAs("s-9", kOtherDestination);
  former.onCall = [&](const Endpoint::Call& call) { former.accept(call); };
  scene.agent.setEndpoints({successor.entry(), former.entry()});
  runUntilMs(kStartedAgainMs);
  return !disruptionWanted() || scene.startRelay();
}

// Records each call of an endpoint that was of another destination; returns how many there were.
int callsOfOtherDestinations(Scene& scene, const Endpoint& endpoint) {
  int wrong = 0;
  for (const Endpoint::Call& call : endpoint.calls) {
    if (call.destination == kDestination) continue;
    ++wrong;
    scene.record.write("wrong destination: " + call.ids.front() +
                       ", for destination 7, reached destination " + std::to_string(call.destination));
  }
  return wrong;
}

}  // namespace

int main(int argumentCount, char** arguments) {
  if (argumentCount != 2) return kCouldNotRun;
  Scene scene(arguments[1]);
  Endpoint former(scene.hub, scene.record, "s-1", kDestination);
  Endpoint successor(scene.hub, scene.record, "s-2", kDestination);
  Endpoint ofOther(scene.hub, scene.record, "s-8", kOtherDestination);
  former.onCall = [&](const Endpoint::Call& call) { former.answer(call, "503 Service Unavailable"); };
  scene.agent.setEndpoints({former.entry(), ofOther.entry()});
  if (!scene.startRelay()) return kCouldNotRun;
  scene.runFor(1500);
  if (!acceptMessages(scene)) return kCouldNotRun;
  scene.runFor(500);
  if (!playRestart(scene, former, successor, ofOther)) return kCouldNotRun;
  scene.runFor(kObservedMs);
  const int wrong = callsOfOtherDestinations(scene, former);
  scene.record.write("calls at an endpoint of another destination: " + std::to_string(wrong));
  return wrong > 0 ? kRuleBroken : kRuleHeld;
}
