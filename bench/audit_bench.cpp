// What the audit costs, and how long it takes in virtual time: figures for docs/bench/fleet-audit.md. Outside
// CI.
#include <chrono>
#include <cstdio>

#include "audit/audit.h"
#include "audit/share.h"
#include "lab/module_site.h"
#include "tests/audit_fleet.h"

using namespace myrtleloft;
using myrtleloft::testing::AuditFleet;
using myrtleloft::testing::FakeCases;
using myrtleloft::testing::Rules;

namespace {

double nowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void steps() {
  Settings settings = lab::moduleSettings(1);
  settings.instanceCount = 3;
  settings.mayCancel = true;
  double bestMs = 1e9;
  std::size_t played = 0;
  for (int run = 0; run < 5; ++run) {
    std::vector<std::unique_ptr<CaseFamily>> families;
    families.push_back(std::make_unique<ModuleCases>(settings, EndpointTable::Endpoints()));
    RulesVersion version;
    version.parts[0] = {static_cast<std::uint64_t>(run), 1};
    OwnDecisions own;
    own.setRules(0, version, 1, std::make_shared<CaseSet>(version.digest(), std::move(families)));
    const double fromMs = nowMs();
    played = own.play(1000000);
    bestMs = std::min(bestMs, nowMs() - fromMs);
  }
  std::printf("a version: %zu steps, %.1f ms of a core, %.2f us a step\n", played, bestMs,
              bestMs * 1000 / static_cast<double>(played));
  std::printf("share of a core: %.3f%% while it plays; a list changed every 60 s: %.3f%%; none: 0%%\n",
              CoreShare::kShare * 100, bestMs / 60000 * 100);
  std::printf("time until a version is played: %.1f s\n", bestMs / CoreShare::kShare / 1000);
}

void versions() {
  for (const std::size_t n : {30, 1000, 10000}) {
    EndpointList list{1, true, {}};
    for (std::size_t i = 0; i < n; ++i) {
      EndpointRecord& e = list.endpoints.emplace_back();
      e.info = {"endpoint-" + std::to_string(i), 0, 0, static_cast<std::int64_t>(i),
                EndpointState::kRunning,         4};
      e.address = *parseAddress("10.0.0.1:80");
    }
    EndpointTable set;
    set.apply(list, ListUpdateKind::kSnapshot, 0);
    const double fromMs = nowMs();
    for (int i = 0; i < 10; ++i) rulesVersion(decisionCode(), lab::moduleSettings(1), {}, set.all());
    std::printf("version with %zu endpoints: %.3f ms\n", n, (nowMs() - fromMs) / 10);
  }
}

void rounds(std::size_t relays) {
  AuditFleet fleet(relays, {1, relays}, AuditTuning());
  const Rules rules;
  std::vector<std::unique_ptr<CaseFamily>> families;
  families.push_back(std::make_unique<FakeCases>(1, -1, -1));
  const auto cases = std::make_shared<CaseSet>(rules.version().digest(), std::move(families));
  for (const std::string& name : fleet.names()) fleet.start(name, rules.version(), 1, cases);
  int untilS = 0;
  while (!fleet.all(AuditVerdict::kAgree) && untilS < 7200) fleet.second(), ++untilS;
  const auto sent = fleet.sent, bytes = fleet.bytes;
  const int overS = 600;
  fleet.seconds(overS);
  const double each = static_cast<double>(relays) * overS / 30;
  std::printf(
      "%zu relays: all agree after %d s; a relay and round: %.1f messages, %.0f bytes (%.0f bytes a "
      "second)\n",
      relays, untilS, static_cast<double>(fleet.sent - sent) / each,
      static_cast<double>(fleet.bytes - bytes) / each, static_cast<double>(fleet.bytes - bytes) / each / 30);
}

}  // namespace

int main() {
  steps();
  versions();
  for (const std::size_t relays : {3, 9, 30, 100}) rounds(relays);
}
