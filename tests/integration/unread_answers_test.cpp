// Answers of endpoints that come about a request's deadline while their relay stands still. A delivery counts
// up to the deadline; whoever has the last word is the answer's arrival, not the relay's reading.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/integration/shimmed_site.h"

using namespace myrtleloft::lab;

namespace {

constexpr double kTimeS = 1, kNotificationLimitMs = 300;
constexpr double kStandsBeforeMs = 100, kStandsBehindMs = 150;
constexpr int kWatchedMs = 1500;  // behind the deadline

// One request whose only attempt is at its endpoint when its relay is stopped over the deadline; the endpoint
// answers 200 so long after the deadline, or before it.
struct UnreadAnswer {
  explicit UnreadAnswer(double answersAtMs) {
    site.endpoint.holds = true;
    REQUIRE(site.start());
    const double deadlineMs = steadyMs() + kTimeS * 1000;
    site.hand("m", "billing-charge", kTimeS);
    REQUIRE(site.taken("m"));
    REQUIRE(site.until([&] { return site.callsOf("m") == 1; }));
    passUntil(deadlineMs - kStandsBeforeMs);
    site.relay->signal(SIGSTOP);
    passUntil(deadlineMs + answersAtMs);
    site.endpoint.release();
    passUntil(deadlineMs + kStandsBehindMs);
    site.relay->signal(SIGCONT);
    passUntil(deadlineMs + kWatchedMs);
    if (site.notices.count("m") > 0) noticeLateMs = site.notices.at("m").atMs - deadlineMs;
  }
  void passUntil(double ms) {
    site.until([&] { return steadyMs() >= ms; });
  }
  bool notified() const { return site.notices.count("m") > 0; }

  ShimmedSite site;
  double noticeLateMs = 0;
};

}  // namespace

// Guards against a delivery that only the relay counts: no notification would come, and the request is lost.
TEST_CASE(
    "an answer that comes after the deadline, read by a relay that stood over it, does not prevent the "
    "notification") {
  const UnreadAnswer scene(30);
  REQUIRE(scene.notified());
  CHECK(scene.noticeLateMs <= kNotificationLimitMs);
}

TEST_CASE("an answer that came before the deadline counts as a delivery, however late it is read") {
  const UnreadAnswer scene(-50);
  CHECK_FALSE(scene.notified());
}
