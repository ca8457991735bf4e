// Fake clients, endpoints and platform around a request manager, on loopback. They fail in every way that the
// protocol allows, and check the rules for each request by the calls and notifications that they receive.
// Their records cover all successive processes of the relay.
//
//   FakeSurroundings surroundings(seed, clock);
//   surroundings.turn();                            // sends the answers that are due
//   if (!surroundings.brokenRule.empty()) ...       // the first rule that was broken, and when
//
// All random choices use `random`, in the order of events, so that a seed reproduces them. Single-threaded.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "lab/hub.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft::testing {

inline constexpr int kCallSlots = 6;
inline constexpr int kClasses = 3;
// By how much a notification may be late while an earlier one gets no answer from the platform.
inline constexpr double kNotificationStuckMs = 4000;

Settings drawnSettings(std::uint64_t seed);

struct ReceivedCall {
  double atMs = 0;
  lab::Hub::Id connection = 0;
  bool pending = true;        // not answered, and its connection is open
  bool mayBeExecuted = true;  // until an answer states that it was not executed
};

struct DrawnRequest {
  int classIndex = 0;
  double deadlineMs = 0;
  bool accepted = false;
  bool delivered = false;
  double goneMs = -1;       // when it was answered 410; -1 if it was not
  double completedMs = -1;  // when it was first known to be completed; -1 if it is not
  std::vector<ReceivedCall> calls;
  std::string notification;  // the notified status; empty if there was no notification
  std::vector<double> notifiedMs;
  bool mayBeLate = false;  // whether its notification may be late
};

struct FakeEndpoint {
  std::string uid;
  std::string address;
  int kind = 0;
  EndpointState state = EndpointState::kRunning;
  double drainsMs = -1;  // when it began to drain; -1 if it does not drain
  double retryAfterFromMs = -1;
  double retryAfterUntilMs = -1;
};

class FakeSurroundings {
 public:
  FakeSurroundings(std::uint64_t seed, lab::HandClock& clock);

  // Returns a random number from 0 to limit - 1.
  int below(int limit) { return static_cast<int>(random() % static_cast<std::uint64_t>(limit)); }
  void reportBroken(const std::string& what);
  void turn();

  lab::Hub hub;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  std::string platform;  // its address
  std::string brokenRule;
  std::vector<ClassSettings> classes;
  std::map<std::string, DrawnRequest> requests;
  double restartMs = 0;
  std::size_t calls = 0;
  std::size_t bulkCalls = 0;
  std::size_t retries = 0;
  std::size_t notifications = 0;

 private:
  static constexpr double kNeverMs = -1e9;

  struct Arrival {
    lab::Hub::Id connection = 0;
    std::vector<std::string> ids;
    bool isBulk = false;
  };

  // In fake_surroundings.cpp: received calls and notifications, and the checks of the rules.
  void onCall(FakeEndpoint& endpoint, lab::Hub::Id from, const lab::Message& message);
  void checkCall(const FakeEndpoint& endpoint, const Arrival& call);
  std::size_t callsInFlight();
  void onRequest(const std::string& id, lab::Hub::Id from);
  void checkRetry(const std::string& id, const DrawnRequest& request);
  void onClosed(lab::Hub::Id from);
  void onNotifications(lab::Hub::Id from, const lab::Message& message);
  void onNotification(const std::string& line);
  void answerNotifications(lab::Hub::Id from);
  void complete(DrawnRequest& request) const;

  // In fake_surroundings_answers.cpp: the endpoints' answers.
  void scheduleAnswer(FakeEndpoint& endpoint, const Arrival& call);
  void answer(FakeEndpoint& endpoint, const Arrival& call, int draw);
  void answerSuccess(const Arrival& call);
  void answerRetryAfter(FakeEndpoint& endpoint, const Arrival& call);
  void rejectAndClose(const Arrival& call, bool announced);
  void answerGone(const Arrival& call);
  void send(const Arrival& call, const std::string& head, const std::string& body = "");
  void setOutcomes(const Arrival& call, bool mayBeExecuted, bool delivered);
  void setOutcome(const std::string& id, lab::Hub::Id from, bool mayBeExecuted, bool delivered);

  lab::HandClock& clock_;
  double platformFailedMs_ = kNeverMs;
  std::multimap<double, std::function<void()>> answers_;
  std::set<lab::Hub::Id> inFlight_;
};

}  // namespace myrtleloft::testing
