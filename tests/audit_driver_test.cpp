// The audit on the event loop: digest reports are sent periodically, and a window of recorded batches is sent
// to a peer, which replays it.
#include "audit/audit_driver.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

#include "lab/module_site.h"

using namespace myrtleloft;

namespace {

// Delivers each message immediately.
struct ImmediateLinks : PeerLinks {
  bool send(const std::string& peer, FleetKind kind, std::string payload) override {
    REQUIRE(kind == FleetKind::kAudit);
    AuditMessage message;
    REQUIRE(decode(payload, message));
    if (const auto* window = std::get_if<AuditWindow>(&message.body)) REQUIRE(decode(window->bytes, last));
    windows += std::holds_alternative<AuditWindow>(message.body);
    digestReports += std::holds_alternative<DigestReport>(message.body);
    return other->onMessage(peer == "n1" ? "n2" : "n1", payload);
  }
  bool up(const std::string&) const override { return true; }
  std::size_t room(const std::string&) const override { return kMaxFleetPayloadBytes; }
  AuditDriver* other = nullptr;
  TrafficWindow last;
  int windows = 0, digestReports = 0;
};

}  // namespace

TEST_CASE("rounds go out, and a window of real traffic is recorded once, sent and played") {
  Clock clock;
  Loop loop(clock);
  std::ostringstream text;
  Config config;
  config.settings = lab::moduleSettings(5);
  EndpointTable list;
  EndpointRecord endpoint;
  endpoint.info = {"e", 0, 0, 1, EndpointState::kRunning, 9};
  endpoint.address = *parseAddress("10.0.0.1:80");
  list.apply({1, true, {endpoint}}, ListUpdateKind::kSnapshot, 0);
  ImmediateLinks from1, from2;
  AuditDriver n1({loop, from1, Log(text), {config, list}}, 1, {1, 1}, 7);
  AuditDriver n2({loop, from2, Log(text), {config, list}}, 1, {2, 1}, 8);
  from1.other = &n2;
  from2.other = &n1;
  n1.onPeerUp({"fleet", "n2", "", {2, 1}});
  n2.onPeerUp({"fleet", "n1", "", {1, 1}});
  int batch = 0;
  // The total time of all steps depends on the machine, as each relay gives them 2% of a core.
  constexpr double kProgressTimeoutMs = 120000;  // since the last step
  std::uint64_t playedSteps = 0;
  double lastProgressMs = clock.steadyMs();
  while (n2.audit().counters().windows == 0 ||
         n1.audit().verdict(loop.nowMs(), "n2") != AuditVerdict::kAgree) {
    const std::uint64_t steps = n1.audit().counters().steps + n2.audit().counters().steps;
    if (std::exchange(playedSteps, steps) != steps) lastProgressMs = clock.steadyMs();
    REQUIRE(clock.steadyMs() < lastProgressMs + kProgressTimeoutMs);
    RequestEvent e;
    e.id = "m" + std::to_string(++batch);
    e.destination = 1;
    e.deadlineMs = loop.nowMs() + 9000;
    if (batch < 100) n1.onBatch(loop.nowMs(), {e});
    loop.after(20, [] {});
    loop.runOnce();
  }
  CHECK(from1.digestReports > 0);
  CHECK(from1.windows == 1);
  CHECK(from2.windows == 0);
  CHECK(from1.last.seed == 5);
  CHECK(from1.last.steps.size() > 2);
  CHECK(n2.audit().counters().diverged == 0);
  CHECK(text.str().find("audit: n2 agrees with this relay") != std::string::npos);
  CHECK_FALSE(n1.onMessage("n2", "not an audit message"));
}
