// Checks the rules as properties of the calls and notifications that the relay sends. The request manager,
// the journal and the upstream client run on an in-memory disk and a manual clock, among endpoints, clients
// and a platform that fail in every way the protocol allows (fake_surroundings.h). Calls and notifications
// are counted by their receivers, for each request and over all processes: only there do attempts,
// connections, bulk calls, recovery from the journal and resubmissions show their combined effect.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/exchange/relay_under_test.h"

using namespace myrtleloft;
using namespace myrtleloft::testing;

namespace {

constexpr double kStepMs = 5;
constexpr double kSubmitMs = 12000;  // no request is submitted later
constexpr double kEndMs = 45000;
constexpr double kLateMs = 300;
constexpr double kAfterRestartMs = 1500;

class Scenario {
 public:
  Scenario(std::uint64_t seed, bool isGroup) : seed_(seed), isGroup_(isGroup), surroundings_(seed, clock_) {
    surroundings_.classes = drawnSettings(seed).classes;
  }

  // Returns the first broken rule, or an empty text.
  std::string run() {
    start();
    while (clock_.nowMs < kEndMs && surroundings_.brokenRule.empty() && !isFinished()) {
      clock_.nowMs += kStepMs;
      surroundings_.turn();
      if (clock_.nowMs < kSubmitMs) drawEvents();
      if (!relay_->turn()) start();
    }
    const double nowMs = clock_.nowMs;
    for (const auto& [id, request] : surroundings_.requests) {
      if (!request.accepted) continue;
      if (request.completedMs < 0) surroundings_.reportBroken(id + " is not completed");
      if (request.completedMs > request.deadlineMs + (request.mayBeLate ? kNotificationStuckMs : kLateMs) &&
          request.completedMs > surroundings_.restartMs + kAfterRestartMs)
        surroundings_.reportBroken(id + " is completed too late");
    }
    clock_.nowMs = nowMs;
    const std::string& broken = surroundings_.brokenRule;
    return broken.empty() ? "" : "seed " + std::to_string(seed_) + ": " + broken;
  }
  const FakeSurroundings& surroundings() const { return surroundings_; }
  int restarts() const { return starts_ - 1; }
  int resubmissions() const { return resubmissions_; }

 private:
  void start() {
    relay_.reset();
    surroundings_.restartMs = clock_.nowMs;
    surroundings_.turn();
    relay_ = std::make_unique<RelayUnderTest>(surroundings_, clock_, disk_,
                                              seed_ * 100 + static_cast<std::uint64_t>(++starts_), isGroup_);
    if (!relay_->opened) surroundings_.reportBroken("the folder cannot be used");
  }
  bool isFinished() const {
    return clock_.nowMs > kSubmitMs &&
           std::all_of(surroundings_.requests.begin(), surroundings_.requests.end(), [](const auto& entry) {
             return !entry.second.accepted || entry.second.completedMs >= 0;
           });
  }
  void drawEvents() {
    if (surroundings_.below(6) == 0) submit();
    if (surroundings_.below(40) == 0) resubmit();
    if (surroundings_.below(500) == 0)
      relay_->files.crashAt(relay_->files.operations() + 1 + surroundings_.random() % 20,
                            surroundings_.random() % 40);
    if (surroundings_.below(700) == 0) {
      FakeEndpoint& endpoint = *surroundings_.endpoints[static_cast<std::size_t>(surroundings_.below(4))];
      const bool drains = endpoint.state == EndpointState::kRunning;
      endpoint.state = drains ? EndpointState::kDraining : EndpointState::kRunning;
      endpoint.drainsMs = drains ? clock_.nowMs : -1;
      relay_->updateList();
    }
  }
  void submit() {
    const std::string id = "m" + std::to_string(++lastRequest_);
    IncomingRequest request;
    request.id = id;
    request.classIndex = surroundings_.below(kClasses);
    request.key = request.classIndex == 1 ? "k" + id : "";
    // Three or more of the long bodies may not fit into one call.
    const int bytes =
        surroundings_.below(8) == 0 ? 9000 + surroundings_.below(9000) : surroundings_.below(900);
    request.body = std::string(static_cast<std::size_t>(bytes), 'b');
    request.destination = 7;
    request.arrivedMs = clock_.nowMs;
    request.timeLeftMs = surroundings_.below(4) == 0 ? 500 + surroundings_.below(2000) : 16000;
    DrawnRequest& drawn = surroundings_.requests[id];
    drawn.classIndex = request.classIndex;
    drawn.deadlineMs = clock_.nowMs + request.timeLeftMs;
    submitted_[id] = request;
    relay_->manager.onRequest(std::move(request), [this, id](const Answer& answer) {
      if (answer.kind == Answer::Kind::kAccepted) surroundings_.requests.at(id).accepted = true;
      if (answer.kind == Answer::Kind::kRejected && answer.retryAfterMs <= 0)
        surroundings_.reportBroken(id + " is rejected without a Retry-After");
    });
  }
  // A client that lost its answer submits the same request again, or a different one under the same id.
  void resubmit() {
    std::vector<std::string> pending;
    for (const auto& [id, request] : surroundings_.requests)
      if (request.accepted && request.completedMs < 0) pending.push_back(id);
    if (pending.empty()) return;
    const int drawn = surroundings_.below(static_cast<int>(pending.size()));
    IncomingRequest request = submitted_.at(pending[static_cast<std::size_t>(drawn)]);
    request.arrivedMs = clock_.nowMs;
    const bool isDifferent = surroundings_.below(4) == 0;
    if (isDifferent) request.key += "x";
    const std::string id = request.id;
    ++resubmissions_;
    relay_->manager.onRequest(std::move(request), [this, id, isDifferent](const Answer& answer) {
      if (answer.kind == Answer::Kind::kAccepted && isDifferent)
        surroundings_.reportBroken("a different request is accepted as " + id);
    });
  }

  std::uint64_t seed_;
  bool isGroup_;
  lab::HandClock clock_;
  lab::Disk disk_;
  FakeSurroundings surroundings_;
  std::unique_ptr<RelayUnderTest> relay_;
  std::map<std::string, IncomingRequest> submitted_;
  int starts_ = 0;
  int lastRequest_ = 0;
  int resubmissions_ = 0;
};

}  // namespace

TEST_CASE("across restarts, each request completes once, with no more calls than its class permits") {
  std::size_t requests = 0;
  std::size_t calls = 0;
  std::size_t bulkCalls = 0;
  std::size_t retries = 0;
  std::size_t notifications = 0;
  int restarts = 0;
  int resubmissions = 0;
  // Regression: with seed 364 a call was sent to an endpoint that had stated a Retry-After.
  std::vector<std::uint64_t> seeds = {364};
  for (std::uint64_t seed = 1; seed <= 60; ++seed) seeds.push_back(seed);
  for (const std::uint64_t seed : seeds) {
    Scenario scenario(seed, seed % 4 == 0);
    const std::string broken = scenario.run();
    CHECK_MESSAGE(broken == "", broken);
    requests += scenario.surroundings().requests.size();
    calls += scenario.surroundings().calls;
    bulkCalls += scenario.surroundings().bulkCalls;
    retries += scenario.surroundings().retries;
    notifications += scenario.surroundings().notifications;
    restarts += scenario.restarts();
    resubmissions += scenario.resubmissions();
  }
  // The scenarios must have exercised all of these.
  CHECK(requests > 10000);
  CHECK(calls > 8000);
  CHECK(bulkCalls > 100);
  CHECK(retries > 300);
  CHECK(notifications > 100);
  CHECK(restarts > 100);
  CHECK(resubmissions > 1000);
}
