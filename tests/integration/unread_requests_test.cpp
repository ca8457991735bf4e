// Requests that lie unread for a while, as their relay stands still or has no room for their connections.
// Their time runs from when their clients sent them, and so does that of their notifications.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/integration/shimmed_site.h"

using namespace myrtleloft::lab;

namespace {

// PROTOCOL: so long after a request's time is up its notification is due.
constexpr double kNotificationLimitMs = 300;
constexpr double kSocketSlackMs = 50;  // PROTOCOL's of every time limit: no status may come earlier than that

constexpr int kStandsMs = 350;  // 50 ms before a client of PROTOCOL gives up
constexpr int kRequests = 60;   // half of what the settings allow to be pending
constexpr int kOnOpen =
    20;  // of them; of idle connections the relay closes what is over an eighth of its room
constexpr double kLeastS = 1.0, kSpreadS = 1.8;

double secondsOf(int request) { return kLeastS + kSpreadS * (request * 7 % kRequests) / kRequests; }
std::string idOf(int request) { return "m" + std::to_string(request); }

std::string postOf(const std::string& id, double timeS) {
  return "POST /status-update HTTP/1.1\r\nX-Request-ID: " + id + "\r\nX-Timeout: " + std::to_string(timeS) +
         "\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello";
}

// A relay whose endpoint takes each call and answers none: each accepted request ends with a notification.
struct UnreadRequests {
  UnreadRequests() {
    site.endpoint.holds = true;
    REQUIRE(site.start());
  }
  // A connection on which something was answered, and which is open.
  Hub::Id openConnection() {
    bool answered = false;
    const Hub::Id client =
        site.hub.connect(site.relay->address(), {[this, &answered](Hub::Id, const Message& m) {
                                                   answered = true;
                                                   onAnswer(m);
                                                 },
                                                 {},
                                                 {}});
    site.hub.send(client, "GET /up HTTP/1.1\r\n\r\n");
    REQUIRE(site.until([&] { return answered; }));
    accepted = 0;
    return client;
  }
  Hub::Id newConnection() {
    return site.hub.connect(site.relay->address(),
                            {[this](Hub::Id, const Message& m) { onAnswer(m); }, {}, {}});
  }
  void onAnswer(const Message& m) {
    ++answers;
    accepted += m.start.find(" 202 ") != std::string::npos ? 1 : 0;
  }
  void send(Hub::Id client, int request) {
    dueMs[idOf(request)] = steadyMs() + secondsOf(request) * 1000;
    site.hub.send(client, postOf(idOf(request), secondsOf(request)));
  }
  void stand(const std::function<void()>& meanwhile, int standsMs = kStandsMs) {
    site.relay->signal(SIGSTOP);
    const double fromMs = steadyMs();
    site.pass(5);
    meanwhile();
    site.until([&] { return steadyMs() >= fromMs + standsMs; });
    site.relay->signal(SIGCONT);
  }
  // Each request that was sent is answered, and with 202.
  void checkAccepted(int count) {
    const bool all = site.until([&] { return accepted == count; });
    INFO(answers, " answers, ", accepted, " of ", count, " accepted\n", site.relay->log());
    REQUIRE(all);
  }
  // Each notification comes in its time: not while the request may still be delivered, nor too late.
  void checkNotifications() {
    REQUIRE(site.until([&] { return site.notices.size() >= dueMs.size(); }, 8000));
    std::vector<double> late;
    for (const auto& [id, due] : dueMs) late.push_back(site.notices.at(id).atMs - due);
    std::sort(late.begin(), late.end());
    std::printf("%zu notifications, late by %.0f ms (median), %.0f ms (most)\n", late.size(),
                late[late.size() / 2], late.back());
    CHECK(late.front() >= -kSocketSlackMs);
    CHECK(late.back() <= kNotificationLimitMs);
  }

  ShimmedSite site;
  int answers = 0, accepted = 0;
  std::map<std::string, double> dueMs;
};

}  // namespace

// Guards against a deadline that counts from the reading: the notification would be as late as the request
// lay unread.
TEST_CASE("requests that came while the relay stood still are notified by the deadlines their clients gave") {
  UnreadRequests scene;
  std::vector<Hub::Id> open;
  for (int i = 0; i < kOnOpen; ++i) open.push_back(scene.openConnection());
  scene.stand([&] {
    for (int i = 0; i < kOnOpen; ++i) scene.send(open.at(static_cast<std::size_t>(i)), i);
    for (int i = kOnOpen; i < kRequests; ++i) scene.send(scene.newConnection(), i);
  });
  scene.checkAccepted(kRequests);
  scene.checkNotifications();
}

// Guards against the same where the system does not tell when bytes came: the loop's polls bound it, for a
// new connection those of its listener.
TEST_CASE("requests that came while the relay stood still have their time from then without TCP_INFO, too") {
  UnreadRequests scene;
  scene.site.shim.hideArrivals();
  const Hub::Id open = scene.openConnection();
  scene.stand([&] {
    scene.send(open, 0);
    scene.send(scene.newConnection(), 1);
  });
  scene.checkAccepted(2);
  scene.checkNotifications();
}

// Guards against a client that is told 408 though the rest of its request has come and waits to be read.
TEST_CASE("a request whose rest lies unread when its patience is over is accepted") {
  constexpr int kAlmostMs = 1700, kOverMs = 350;  // half a request is kept for 2 s
  UnreadRequests scene;
  const Hub::Id client = scene.openConnection();
  const std::string whole = postOf(idOf(0), secondsOf(0));
  scene.site.hub.send(client, whole.substr(0, whole.size() / 2));
  scene.site.pass(kAlmostMs);
  scene.stand(
      [&] {
        scene.dueMs[idOf(0)] = steadyMs() + secondsOf(0) * 1000;
        scene.site.hub.send(client, whole.substr(whole.size() / 2));
      },
      kOverMs);
  scene.checkAccepted(1);
  scene.checkNotifications();
}

// Guards against the same behind another request of its connection, and for one whose first half was read in
// time.
TEST_CASE("a request behind another one, or with its last half unread, has its time from its last byte") {
  UnreadRequests scene;
  const Hub::Id pipelined = scene.openConnection(), halved = scene.openConnection();
  const std::string whole = postOf(idOf(2), secondsOf(2));
  scene.site.hub.send(halved, whole.substr(0, whole.size() / 2));
  scene.site.pass(20);
  scene.stand([&] {
    scene.send(pipelined, 0);
    scene.send(pipelined, 1);
    scene.dueMs[idOf(2)] = steadyMs() + secondsOf(2) * 1000;
    scene.site.hub.send(halved, whole.substr(whole.size() / 2));
  });
  scene.checkAccepted(3);
  scene.checkNotifications();
}

// Guards against the same for connections that wait in the backlog: a flood of silent ones takes all room,
// and the platform hangs once.
TEST_CASE("requests that waited in the backlog behind silent connections are notified by their deadlines") {
  constexpr int kSilent = 300;  // the relay has 256 descriptors
  UnreadRequests scene;
  std::vector<Hub::Id> silent;
  for (int i = 0; i < kSilent; ++i) silent.push_back(scene.site.hub.connect(scene.site.relay->address(), {}));
  for (int i = 0; i < kRequests; ++i) scene.send(scene.newConnection(), i);
  scene.checkAccepted(kRequests);
  scene.site.directory.hangs = 1;
  scene.checkNotifications();
}

// Guards against a client that stopped in the middle of a request and is kept for longer than the 3 s that
// PROTOCOL gives it: its relay counted them from the reading.
TEST_CASE("half a request that lay unread ends with an error or a close within 3 s of its last byte") {
  constexpr int kLongStandMs = 1300;
  constexpr double kHalfMs = 3000;
  UnreadRequests scene;
  bool ended = false;
  double sentMs = 0;
  scene.stand(
      [&] {
        const Hub::Id client = scene.site.hub.connect(
            scene.site.relay->address(),
            {[&](Hub::Id, const Message&) { ended = true; }, [&](Hub::Id) { ended = true; }, {}});
        scene.site.hub.send(client, postOf("half", 5).substr(0, 40));
        sentMs = steadyMs();
      },
      kLongStandMs);
  CHECK(scene.site.until([&] { return ended; }, 5000));
  std::printf("half a request: ended after %.0f ms\n", steadyMs() - sentMs);
  CHECK(steadyMs() - sentMs <= kHalfMs);
}

// Guards against a drain that is cut off by SIGKILL because its time ran from when SIGTERM was read.
TEST_CASE("a relay that stood still when it was told to end has ended before SIGKILL may come") {
  constexpr int kTermStandMs = 600;
  constexpr double kKillMs = 3700;
  UnreadRequests scene;
  scene.site.hub.send(scene.newConnection(), postOf("held", 10));
  scene.checkAccepted(1);
  double termMs = 0;
  scene.stand(
      [&] {
        scene.site.relay->signal(SIGTERM);
        termMs = steadyMs();
      },
      kTermStandMs);
  CHECK(scene.site.endsWith(0, static_cast<int>(termMs + kKillMs - steadyMs())));
  std::printf("ended %.0f ms after SIGTERM\n", steadyMs() - termMs);
}

// Guards against a deadline in the journal that counts from the reading.
TEST_CASE("the next process notifies by the deadlines their clients gave, too") {
  UnreadRequests scene;
  const Hub::Id client = scene.openConnection();
  scene.stand([&] {
    scene.dueMs["m"] = steadyMs() + 4000;
    scene.site.hub.send(client, postOf("m", 4));
  });
  scene.checkAccepted(1);
  scene.site.restart();
  REQUIRE(scene.site.serves());
  REQUIRE(steadyMs() + 1500 < scene.dueMs["m"]);  // PROTOCOL's grace of a restart is over by then
  scene.checkNotifications();
}
