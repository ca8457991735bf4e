// NotificationSender when connections to the platform hang, break or are refused: each notification must
// arrive within the 300 ms that the protocol allows. Uses real sockets and a manual clock.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "lab/hand_clock.h"
#include "lab/hub.h"
#include "notices/notification_sender.h"

using namespace myrtleloft;

namespace {

constexpr double kAllowedMs = 300;    // limit of the protocol, from a request's deadline
constexpr double kHalfClosedMs = 50;  // part of it that a call abandoned at the deadline may take
constexpr double kStepMs = 5;

// A platform that fails the next `faults` posts in the way of `fault`.
struct Platform {
  enum class Fault { kHangs, kBreaks, kUnavailable };

  Platform() {
    notifications.onConfirmed([this](const std::string& id) { confirmed.push_back(id); });
  }
  void advance(double ms) {
    for (const double until = clock.nowMs + ms; clock.nowMs < until;) {
      clock.nowMs += kStepMs;
      for (int i = 0; i < 3; ++i) {
        loop.after(0, [] {});
        loop.runOnce();
        hub.turn(0);
      }
    }
  }
  void onPost(lab::Hub::Id from, const lab::Message& message) {
    ++posts;
    if (faults > 0) {
      --faults;
      if (fault == Fault::kBreaks) hub.close(from, true);
      if (fault == Fault::kUnavailable) hub.send(from, "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    std::istringstream lines(message.body);
    for (std::string line; std::getline(lines, line);) receivedMs.emplace(line.substr(8, 1), clock.nowMs);
    hub.send(from, "HTTP/1.1 204 No Content\r\n\r\n");
  }

  lab::HandClock clock;
  lab::Hub hub;
  Loop loop{clock};
  Counters counters;
  std::ostringstream log;
  Address address = *parseAddress(hub.listen(
      {[this](lab::Hub::Id from, const lab::Message& message) { onPost(from, message); }, {}, {}}));
  NotificationSender notifications{loop, address, counters, log};
  Fault fault = Fault::kHangs;
  int faults = 0;
  int posts = 0;
  std::map<std::string, double> receivedMs;  // by request id (one letter)
  std::vector<std::string> confirmed;
};

}  // namespace

// Guards against late notifications when a connection to the platform hangs.
TEST_CASE("two consecutive posts that hang, break or are refused do not make a notification late") {
  for (const auto fault :
       {Platform::Fault::kHangs, Platform::Fault::kBreaks, Platform::Fault::kUnavailable}) {
    Platform platform;
    platform.notifications.add("z", FinalStatus::kFailed, 0);
    platform.advance(50);
    REQUIRE(platform.receivedMs.count("z") == 1);  // its connection stays open and idle
    platform.fault = fault;
    platform.faults = 2;
    const double dueMs = platform.clock.nowMs;
    platform.notifications.add("a", FinalStatus::kFailed, 0);
    platform.advance(40);
    platform.notifications.add("b", FinalStatus::kReturned, 500);  // queued after a post that may hang
    platform.advance(400);
    INFO("fault ", static_cast<int>(fault));
    REQUIRE(platform.receivedMs.count("a") == 1);
    REQUIRE(platform.receivedMs.count("b") == 1);
    CHECK(platform.receivedMs["a"] - dueMs <= kAllowedMs - kHalfClosedMs);
    CHECK(platform.receivedMs["b"] - dueMs <= kAllowedMs - kHalfClosedMs);
    CHECK(platform.confirmed.size() == 3);
  }
}

// Guards against counting posts that could not be sent as failures of the platform: their retries were
// delayed, and the timeout of the next post was extended, as if the platform were slow.
TEST_CASE("posts that cannot be sent, and one that hangs after them, do not make a notification late") {
  for (const int unsent : {1, 2, 3, 4}) {
    Platform platform;
    platform.hub.refuse(platform.address.text);
    platform.fault = Platform::Fault::kHangs;
    platform.faults = unsent <= 2 ? 1 : 0;
    const double dueMs = platform.clock.nowMs;
    platform.notifications.add("a", FinalStatus::kFailed, 0);
    while (platform.counters.notificationRetries < static_cast<std::uint64_t>(unsent) &&
           platform.clock.nowMs - dueMs < 2 * kAllowedMs)
      platform.advance(kStepMs);
    platform.hub.acceptAgain(platform.address.text);
    platform.advance(2 * kAllowedMs);
    INFO("posts not sent: ", unsent);
    REQUIRE(platform.receivedMs.count("a") == 1);
    CHECK(platform.receivedMs["a"] - dueMs <= kAllowedMs - kHalfClosedMs);
  }
}

TEST_CASE("a platform that refuses connections is retried at most every 100 ms after the first attempts") {
  Platform platform;
  platform.hub.refuse(platform.address.text);
  platform.notifications.add("a", FinalStatus::kFailed, 0);
  platform.advance(1000);
  const auto before = platform.counters.notificationRetries;
  platform.advance(1000);
  CHECK(platform.counters.notificationRetries - before <= 10);
  platform.hub.acceptAgain(platform.address.text);
  platform.advance(110 + 2 * kStepMs);
  CHECK(platform.receivedMs.count("a") == 1);
}

// Guards against notifications that are sent to an old address of the platform.
TEST_CASE("a change of the platform's address does not make a notification late") {
  constexpr double kInFlightMs = 3 * kStepMs, kTimedOutMs = 105;  // the first post is in flight, has failed
  for (const double changedAfterMs : {kInFlightMs, kTimedOutMs}) {
    Platform platform;
    platform.fault = Platform::Fault::kUnavailable;
    if (changedAfterMs == kInFlightMs) platform.fault = Platform::Fault::kHangs;
    platform.faults = 1;
    const double dueMs = platform.clock.nowMs;
    platform.notifications.add("a", FinalStatus::kFailed, 0);
    platform.advance(changedAfterMs);
    platform.hub.refuse(platform.address.text);
    platform.address = *parseAddress(platform.hub.listen(
        {[&](lab::Hub::Id from, const lab::Message& message) { platform.onPost(from, message); }, {}, {}}));
    platform.notifications.onAddressChanged();
    platform.notifications.add("b", FinalStatus::kReturned, 500);
    platform.advance(kAllowedMs);
    INFO("moved after ", changedAfterMs);
    REQUIRE(platform.receivedMs.count("a") == 1);
    REQUIRE(platform.receivedMs.count("b") == 1);
    CHECK(platform.receivedMs["a"] - dueMs <= kAllowedMs - kHalfClosedMs);
    CHECK(platform.receivedMs["b"] - dueMs <= kAllowedMs - kHalfClosedMs);
  }
}

TEST_CASE("the timeout grows with each post, so that a slow platform can confirm") {
  Platform platform;
  constexpr double kSlowMs = 350;
  std::vector<std::pair<double, lab::Hub::Id>> answers;
  const Address slow =
      *parseAddress(platform.hub.listen({[&](lab::Hub::Id from, const lab::Message&) {
                                           ++platform.posts;
                                           answers.emplace_back(platform.clock.nowMs + kSlowMs, from);
                                         },
                                         {},
                                         {}}));
  NotificationSender notifications(platform.loop, slow, platform.counters, platform.log);
  int confirmed = 0;
  notifications.onConfirmed([&](const std::string&) { ++confirmed; });
  notifications.add("m", FinalStatus::kFailed, 0);
  while (confirmed == 0 && platform.clock.nowMs < 5000) {
    platform.advance(kStepMs);
    for (const auto& [atMs, connection] : answers)
      if (atMs <= platform.clock.nowMs) platform.hub.send(connection, "HTTP/1.1 204 No Content\r\n\r\n");
    std::erase_if(answers, [&](const auto& answer) { return answer.first <= platform.clock.nowMs; });
  }
  CHECK(confirmed == 1);
  CHECK(platform.posts <= 5);
}

TEST_CASE("an unavailable platform is retried at most every 100 ms") {
  Platform platform;
  platform.fault = Platform::Fault::kUnavailable;
  platform.faults = 1000;
  platform.notifications.add("a", FinalStatus::kFailed, 0);
  platform.advance(1000);
  const int before = platform.posts;
  platform.advance(1000);
  CHECK(platform.posts - before <= 10);
  platform.faults = 0;
  platform.advance(110);
  CHECK(platform.receivedMs.count("a") == 1);
}

// Guards against a lost notification when a duplicate answer to the previous post is taken as its
// confirmation.
TEST_CASE("a duplicate confirmation does not confirm the next post, which hangs") {
  Platform platform;
  std::vector<lab::Hub::Id> connections;
  const Address twice =
      *parseAddress(platform.hub.listen({[&](lab::Hub::Id from, const lab::Message& message) {
                                           connections.push_back(from);
                                           if (connections.size() == 2)
                                             return platform.hub.send(connections.front(),
                                                                      "HTTP/1.1 204 No Content\r\n\r\n");
                                           platform.onPost(from, message);
                                         },
                                         {},
                                         {}}));
  NotificationSender notifications(platform.loop, twice, platform.counters, platform.log);
  std::vector<std::string> confirmed;
  notifications.onConfirmed([&](const std::string& id) { confirmed.push_back(id); });
  notifications.add("a", FinalStatus::kFailed, 0);
  platform.advance(50);
  REQUIRE(confirmed.size() == 1);
  notifications.add("b", FinalStatus::kFailed, 0);
  platform.advance(50);
  CHECK(confirmed.size() == 1);
  platform.advance(200);
  CHECK(confirmed.size() == 2);
  CHECK(platform.receivedMs.count("b") == 1);
}
