// Completions while the disk fails. No notification leaves for a request that the next process could still
// send: either its final status is recorded, or its time is up.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "tests/integration/shimmed_site.h"

using namespace myrtleloft::lab;

namespace {

constexpr int kHeld = 100;  // nine tenths of the settings' maxOpen: one more would be rejected
constexpr double kLifetimeS = 5;
// An attempt has half of the time left; then the request has no attempt left.
constexpr int kExhaustedMs = 2500, kLookMs = 300;
constexpr const char* kTraces = "[log]\nlevel = \"debug\"\n";
constexpr const char* kUnrecorded = "recorded=false";

std::string oneAttempt() {
  std::string settings = kSiteSettings;
  replaceAll(settings, "\"sendCap\":12", "\"sendCap\":1");
  return settings;
}

// Accepts as much as is held at the most, with the endpoint away; then the disk begins to fail, and the
// endpoint comes back. Attempts that cannot be recorded use up the one that each request has: it is given up
// long before its time, and the disk has nothing of that.
struct UnrecordedCompletions {
  explicit UnrecordedCompletions(DiskFault fault) : site(kTraces, oneAttempt()) {
    REQUIRE(site.start());
    site.directory.tell({site.endpoint.entry("leaving")});
    REQUIRE(site.until([&] { return site.directory.heard(); }));
    handedMs = steadyMs();
    for (int i = 0; i < kHeld; ++i) site.hand("m" + std::to_string(i), "status-update", kLifetimeS);
    for (int i = 0; i < kHeld; ++i) REQUIRE(site.taken("m" + std::to_string(i)));
    REQUIRE(site.notices.empty());
    site.shim.failDisk(fault);
    site.directory.tell({site.endpoint.entry()});
  }
  void giveUp() {
    site.pass(kExhaustedMs + kLookMs);
    INFO(site.relay->log());
    REQUIRE(site.logged(kUnrecorded) > 0);
  }
  double untilMs() const { return handedMs + kLifetimeS * 1000; }

  ShimmedSite site;
  double handedMs = 0;
};

constexpr DiskFault kFaults[] = {DiskFault::kIoError, DiskFault::kNoSpace, DiskFault::kHalfWrites};

}  // namespace

TEST_CASE("a completion that cannot be recorded is told once it can be") {
  for (const DiskFault fault : kFaults) {
    UnrecordedCompletions scene(fault);
    ShimmedSite& site = scene.site;
    scene.giveUp();
    INFO("fault ", static_cast<int>(fault), "\n", site.relay->log());
    CHECK(site.notices.empty());
    site.shim.failDisk(DiskFault::kNone);
    CHECK(site.until([&] { return !site.notices.empty(); }, 3000));
    CHECK(site.notices.begin()->second.atMs < scene.untilMs());
  }
}

TEST_CASE("a request whose completion was told is not sent by the next process") {
  for (const DiskFault fault : kFaults) {
    UnrecordedCompletions scene(fault);
    ShimmedSite& site = scene.site;
    scene.giveUp();
    const auto told = site.notices;
    site.relay->kill();
    site.shim.failDisk(DiskFault::kNone);
    const std::size_t callsBefore = site.endpoint.calls.size();
    std::map<std::string, std::size_t> before;
    for (const auto& [id, notice] : told) before[id] = site.callsOf(id);
    site.restart();
    REQUIRE(site.serves());
    site.until([&] { return site.endpoint.calls.size() >= callsBefore + kHeld; }, 4000);
    INFO("fault ", static_cast<int>(fault), ", told ", told.size(), "\n", site.relay->log());
    CHECK(site.endpoint.calls.size() > callsBefore + kHeld / 2);
    for (const auto& [id, notice] : told) CHECK_MESSAGE(site.callsOf(id) == before[id], id);
  }
}

TEST_CASE("a completion that cannot be recorded is told when the request's time is up") {
  UnrecordedCompletions scene(DiskFault::kNoSpace);
  ShimmedSite& site = scene.site;
  scene.giveUp();
  REQUIRE(site.until([&] { return !site.notices.empty(); }));
  INFO(site.relay->log());
  CHECK(site.notices.begin()->second.atMs >= scene.untilMs() - 100);
  CHECK(site.until([&] { return site.notices.size() == kHeld; }, 2000));
  CHECK(steadyMs() <= scene.untilMs() + 1500);
}
