// Notifications on connections that hang, break or are refused: the platform has each within the 300 ms that
// the protocol allows. Real sockets, a manual clock.
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

constexpr double kAllowedMs = 300;  // PROTOCOL, "The rules on sockets"
constexpr double kPartingMs = 50;   // of that may have passed when a call was given up at the deadline
constexpr double kStepMs = 5;

// A platform whose posts fail in the way that `fault` says, so many times.
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
    for (std::string line; std::getline(lines, line);) heardMs.emplace(line.substr(8, 1), clock.nowMs);
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
  std::map<std::string, double> heardMs;  // by the request's one letter
  std::vector<std::string> confirmed;
};

}  // namespace

// Guards against notifications that are late because one connection to the platform hangs.
TEST_CASE("posts that hang, break or are refused twice in a row make no notification late") {
  for (const auto fault :
       {Platform::Fault::kHangs, Platform::Fault::kBreaks, Platform::Fault::kUnavailable}) {
    Platform platform;
    platform.notifications.add("z", FinalStatus::kFailed, 0);
    platform.advance(50);
    REQUIRE(platform.heardMs.count("z") == 1);  // its connection stays open, and idle
    platform.fault = fault;
    platform.faults = 2;
    const double dueMs = platform.clock.nowMs;
    platform.notifications.add("a", FinalStatus::kFailed, 0);
    platform.advance(40);
    platform.notifications.add("b", FinalStatus::kReturned, 500);  // behind a post that may hang
    platform.advance(400);
    INFO("fault ", static_cast<int>(fault));
    REQUIRE(platform.heardMs.count("a") == 1);
    REQUIRE(platform.heardMs.count("b") == 1);
    CHECK(platform.heardMs["a"] - dueMs <= kAllowedMs - kPartingMs);
    CHECK(platform.heardMs["b"] - dueMs <= kAllowedMs - kPartingMs);
    CHECK(platform.confirmed.size() == 3);
  }
}

// Guards against posts of which nothing reached the platform being held against it: they were spaced, and the
// next answer waited for, as if the platform were slow.
TEST_CASE("posts that cannot be sent, and one that hangs behind them, make no notification late") {
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
    REQUIRE(platform.heardMs.count("a") == 1);
    CHECK(platform.heardMs["a"] - dueMs <= kAllowedMs - kPartingMs);
  }
}

TEST_CASE(
    "a platform that refuses connections is tried every 100 ms at the most often, after the first tries") {
  Platform platform;
  platform.hub.refuse(platform.address.text);
  platform.notifications.add("a", FinalStatus::kFailed, 0);
  platform.advance(1000);
  const auto before = platform.counters.notificationRetries;
  platform.advance(1000);
  CHECK(platform.counters.notificationRetries - before <= 10);
  platform.hub.acceptAgain(platform.address.text);
  platform.advance(110 + 2 * kStepMs);
  CHECK(platform.heardMs.count("a") == 1);
}

// Guards against notifications that wait for an address that the platform has left.
TEST_CASE("when the platform's address changes, no notification is late") {
  constexpr double kOutMs = 3 * kStepMs, kWaitsMs = 105;  // of the first post: it is out, it is over
  for (const double movedAfterMs : {kOutMs, kWaitsMs}) {
    Platform platform;
    platform.fault = Platform::Fault::kUnavailable;
    if (movedAfterMs == kOutMs) platform.fault = Platform::Fault::kHangs;
    platform.faults = 1;
    const double dueMs = platform.clock.nowMs;
    platform.notifications.add("a", FinalStatus::kFailed, 0);
    platform.advance(movedAfterMs);
    platform.hub.refuse(platform.address.text);
    platform.address = *parseAddress(platform.hub.listen(
        {[&](lab::Hub::Id from, const lab::Message& message) { platform.onPost(from, message); }, {}, {}}));
    platform.notifications.onAddressChanged();
    platform.notifications.add("b", FinalStatus::kReturned, 500);
    platform.advance(kAllowedMs);
    INFO("moved after ", movedAfterMs);
    REQUIRE(platform.heardMs.count("a") == 1);
    REQUIRE(platform.heardMs.count("b") == 1);
    CHECK(platform.heardMs["a"] - dueMs <= kAllowedMs - kPartingMs);
    CHECK(platform.heardMs["b"] - dueMs <= kAllowedMs - kPartingMs);
  }
}

TEST_CASE("a platform that is slow, not gone, is waited for longer with each post, and confirms in the end") {
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

TEST_CASE("a platform that is gone is tried again every 100 ms at the most often, once that is known") {
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
  CHECK(platform.heardMs.count("a") == 1);
}

// Guards against a request that is lost because a second copy of the platform's answer confirms the next
// post.
TEST_CASE("a second copy of a confirmation does not confirm the next post, which hangs") {
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
  CHECK(platform.heardMs.count("b") == 1);
}
