// A keyed message runs at an endpoint, and its relay's machine is lost before the endpoint's answer. The
// client hands the message in again at another relay, inside the window of its class and marked as held by a
// relay that died. The endpoint tells that relay to wait. No call with the key may be made after the window,
// since the endpoint has forgotten the key then and runs the message again. TROUBLE=0: the machine is not
// lost.
#include <string>
#include <vector>

#include "review/support/endpoint.h"
#include "review/support/scene.h"

namespace {

using namespace myrtleloft::review;

constexpr int kDestination = 7;
constexpr const char* kClass = "caption-order";  // by_key, group all
constexpr const char* kTenant = "univ-costa";
constexpr const char* kKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
constexpr const char* kFirstId = "9b1f03aa5c7e2d41";
constexpr const char* kSecondId = "9b1f03aa5c7e2d42";
// The settings of the class, shorter than the site's (28 s and 15 s), as on the days with few relays.
constexpr double kWindowMs = 2000;     // memorySpanMs
constexpr double kLifetimeMs = 12000;  // hardLimitMs
constexpr double kTimeSlackMs = 50;    // the pages' slack on every time limit

// Milliseconds after the first call, inside the ranges of the site: work_ms 130 to 230, again_ms 340 to 1900
// (after the machine is lost), window_ms 2000 for the span of the destination's limit.
constexpr double kWorkMs = 180;
constexpr double kMachineLostMs = 100;
constexpr double kHandedInAgainMs = 1300;
constexpr double kSpanEndMs = 2600;

// An endpoint that drops repeats of a key for the window. Its limit counts calls in spans of 2 s; in the span
// that begins 600 ms after the first call, the third relay has used it up.
class PartnerSystem {
 public:
  PartnerSystem(myrtleloft::lab::Hub& hub, Record& record)
      : endpoint(hub, record, "s-1", kDestination), record_(record) {
    endpoint.onCall = [this](const Endpoint::Call& call) { handle(call); };
  }

  // Answers the calls whose work is done.
  void turn() {
    if (working_.empty() || steadyMs() < working_.front().atMs + kWorkMs) return;
    endpoint.accept(working_.front());
    working_.erase(working_.begin());
  }
  bool called() const { return firstCallMs_ > 0; }
  double firstCallMs() const { return firstCallMs_; }
  int runs() const { return runs_; }

  Endpoint endpoint;

 private:
  void handle(const Endpoint::Call& call) {
    if (!called()) firstCallMs_ = call.atMs;
    const double sinceFirstMs = call.atMs - firstCallMs_;
    if (sinceFirstMs > 0 && sinceFirstMs < kSpanEndMs) {
      turnAway(call, kSpanEndMs - sinceFirstMs);
      return;
    }
    if (sinceFirstMs == 0 || sinceFirstMs > kWindowMs + kTimeSlackMs) {
      ++runs_;
      record_.write("endpoint s-1: the message of key " + call.message.header("idempotency-key") + " RUNS, " +
                    std::to_string(static_cast<int>(sinceFirstMs)) + " ms after the first call with the key");
    }
    working_.push_back(call);
  }

  void turnAway(const Endpoint::Call& call, double waitMs) {
    constexpr double kMsPerSecond = 1000;
    std::string header = "Retry-After: " + std::to_string(waitMs / kMsPerSecond) + "\r\n";
    record_.write("endpoint s-1: the limit is used up, wait " + std::to_string(static_cast<int>(waitMs)) +
                  " ms");
    endpoint.answer(call, "429 Too Many Requests", header);
  }

  Record& record_;
  std::vector<Endpoint::Call> working_;
  double firstCallMs_ = 0;
  int runs_ = 0;
};

// The site's settings with a shorter deadline and window of the class.
std::string shorterSettings() {
  const std::string settings = replaced(fileText("review/support/settings.json"), R"("memorySpanMs":15000.0)",
                                        R"("memorySpanMs":2000.0)");
  return replaced(settings, R"("targetMs":2000.0,"hardLimitMs":28000.0)",
                  R"("targetMs":2000.0,"hardLimitMs":12000.0)");
}

Submission submission(const std::string& id, double leftMs, const std::string& headers) {
  constexpr double kMsPerSecond = 1000;
  return {.id = id,
          .requestClass = kClass,
          .tenant = kTenant,
          .timeoutS = leftMs / kMsPerSecond,
          .destination = kDestination,
          .idempotencyKey = kKey,
          .extraHeaders = headers};
}

}  // namespace

int main(int argumentCount, char** arguments) {
  if (argumentCount != 2) return kCouldNotRun;
  Scene scene(arguments[1]);
  PartnerSystem partner(scene.hub, scene.record);
  Agent secondAgent(scene.hub, scene.record);
  EndpointEntry entry = partner.endpoint.entry();
  entry.kind = "large-platforms";
  entry.capacityHint = 4;  // the site: least_rate 2.3 to 4.9 calls a second
  scene.agent.setEndpoints({entry});
  secondAgent.setEndpoints({entry});
  scene.eachTurn = [&] {
    secondAgent.turn();
    partner.turn();
  };
  const std::string settings = shorterSettings();
  Relay second(scene.hub, scene.record,
               {.agentAddress = secondAgent.address(),
                .known = secondAgent.wholeList(),
                .settings = replaced(settings, R"("me":1)", R"("me":2)"),
                .name = "n2"});
  second.start();
  if (!scene.startRelay(settings)) return kCouldNotRun;
  if (!scene.runUntil([&] { return second.ready(); }, Scene::kReadyWithinMs)) return kCouldNotRun;
  scene.runFor(1000);
  const double handedInMs = steadyMs();
  scene.client.submit(scene.relay().listenAddress(), submission(kFirstId, kLifetimeMs, ""));
  const auto accepted = [&] { return partner.called() && scene.client.status(kFirstId) == 202; };
  if (!scene.runUntil(accepted, Client::kAnswerTimeoutMs)) return kCouldNotRun;
  if (disruptionWanted()) {
    scene.runFor(partner.firstCallMs() + kMachineLostMs - steadyMs());
    scene.relay().loseMachine();
    scene.runFor(partner.firstCallMs() + kHandedInAgainMs - steadyMs());
    const double leftMs = kLifetimeMs - (steadyMs() - handedInMs);
    scene.record.write(std::string("client: hands it in again at n2, with X-Retried: again and key ") + kKey);
    scene.client.submit(second.listenAddress(), submission(kSecondId, leftMs, "X-Retried: again\r\n"));
  }
  scene.runFor(5000);
  scene.record.write("runs of the message: " + std::to_string(partner.runs()));
  return partner.runs() > 1 ? kRuleBroken : kRuleHeld;
}
