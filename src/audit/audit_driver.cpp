#include "audit/audit_driver.h"

#include <memory>
#include <utility>

namespace myrtleloft {
namespace {

AuditTuning tuningFor(int roundIntervalS) {
  AuditTuning tuning;
  const double scale = roundIntervalS * 1000.0 / tuning.roundIntervalMs;
  tuning.roundIntervalMs *= scale;
  tuning.lateVersionMs *= scale;
  tuning.agreementValidMs *= scale;
  tuning.questionTimeoutMs *= scale;
  return tuning;
}

const char* nameOf(OlderVersion older) {
  constexpr const char* kNames[] = {"unknown", "here", "there"};
  return kNames[static_cast<std::size_t>(older)];
}

}  // namespace

AuditDriver::AuditDriver(const Parts& parts, int roundIntervalS, const Incarnation& self, std::uint64_t seed)
    : parts_(parts),
      audit_(tuningFor(roundIntervalS), self, seed),
      recorder_(parts.rules.config.settings, makeOwnModule),
      windowTimeMs_(parts.loop.nowMs()),
      roundIntervalMs_(roundIntervalS * 1000.0) {
  audit_.enableWindowReplay(parts_.rules.config.settings, makeOwnModule);
  tick();
}

void AuditDriver::tick() {
  timer_ = parts_.loop.after(kTickMs, [this] { tick(); });
  const double nowMs = parts_.loop.nowMs();
  updateRules(nowMs);
  if (recorder_.full() ||
      (recorder_.recording() && nowMs - windowTimeMs_ >= kWindowDurationRounds * roundIntervalMs_))
    closeWindow(nowMs);
  process(audit_.onTick(nowMs));
  const std::size_t steps = share_.steps(nowMs);
  if (steps == 0) return;
  ConsistencyChecker::Out out;
  const double fromMs = parts_.loop.nowMs();
  const std::size_t played = audit_.play(nowMs, steps, out);
  share_.recordSpent(played, parts_.loop.nowMs() - fromMs);
  process(out);
}

void AuditDriver::updateRules(double nowMs) {
  if (nowMs - lastListCheckMs_ < kListCheckIntervalMs) return;
  lastListCheckMs_ = nowMs;
  const auto& [config, list] = parts_.rules;
  const bool unchanged =
      audit_.own().known() && audit_.own().listRev() == list.revision() && listSize_ == list.all().size();
  if (unchanged && nowMs - lastDigestMs_ < roundIntervalMs_) return;
  lastDigestMs_ = nowMs;
  listSize_ = list.all().size();
  const RulesVersion version = rulesVersion(decisionCode(), config.settings, config.operatorFile, list.all());
  std::shared_ptr<const CaseSet> cases;
  if (!audit_.own().known() || !(audit_.own().version() == version)) {
    std::vector<std::unique_ptr<CaseFamily>> families;
    families.push_back(std::make_unique<ModuleCases>(config.settings, list.all()));
    cases = std::make_shared<CaseSet>(version.digest(), std::move(families));
  }
  audit_.onRules(nowMs, version, list.revision(), std::move(cases));
}

void AuditDriver::onBatch(double nowMs, const std::vector<Event>& events) {
  if (recorder_.full()) return;
  if (!recorder_.recording()) {
    if (parts_.loop.nowMs() < windowTimeMs_ || peers_.empty()) return;
    windowTimeMs_ = parts_.loop.nowMs();
    EndpointListEvent list{ListUpdateKind::kSnapshot, {}};
    for (const auto& [uid, endpoint] : parts_.rules.list.all()) list.entries.push_back(endpoint.info);
    recorder_.begin(nowMs, std::move(list));
  }
  recorder_.feed(nowMs, events);
}

void AuditDriver::closeWindow(double nowMs) {
  ConsistencyChecker::Out out;
  // The first batch is the endpoint list; without a second one the window has no traffic.
  if (recorder_.batches() > 1) audit_.offerWindow(recorder_.take(), out);
  recorder_.take();
  windowTimeMs_ = nowMs + kWindowIntervalRounds * roundIntervalMs_;
  process(out);
}

void AuditDriver::onPeerUp(const PeerIntroduction& peer) {
  peers_.insert(peer.name);
  audit_.onPeerUp(peer);
}

void AuditDriver::setPeers(const std::set<std::string>& names) {
  for (auto at = peers_.begin(); at != peers_.end();) {
    if (names.count(*at)) {
      ++at;
      continue;
    }
    audit_.forget(*at);
    at = peers_.erase(at);
  }
}

bool AuditDriver::onMessage(const std::string& peer, std::string_view payload) {
  ConsistencyChecker::Out out;
  const bool ours = audit_.onMessage(parts_.loop.nowMs(), peer, payload, out);
  process(out);
  return ours;
}

void AuditDriver::process(const ConsistencyChecker::Out& out) {
  for (const AuditSend& send : out.sends) parts_.links.send(send.peer, FleetKind::kAudit, send.payload);
  for (const AuditReport& report : out.reports) logReport(report);
}

void AuditDriver::logReport(const AuditReport& report) {
  using Kind = AuditReport::Kind;
  const Log& log = parts_.log;
  const auto seconds = static_cast<std::int64_t>(report.forMs / 1000);
  const std::string caseName = report.family + " " + std::to_string(report.number);
  switch (report.kind) {
    case Kind::kAgree:
      log.write(LogLevel::kInfo, "audit.agree",
                "audit: " + report.peer + " agrees with this relay, version " + report.version,
                {{"peer", report.peer}, {"version", report.version}});
      return;
    case Kind::kDiverged:
      log.write(LogLevel::kError, "audit.differ",
                "audit: " + report.peer + " diverges from this relay, version " + report.version + ", case " +
                    caseName + " step " + std::to_string(report.step) + ", input " + report.difference.event +
                    ": here " + report.difference.here + ", there " + report.difference.there,
                {{"peer", report.peer},
                 {"version", report.version},
                 {"case", caseName},
                 {"step", report.step},
                 {"told", report.difference.event},
                 {"here", report.difference.here},
                 {"there", report.difference.there}});
      return;
    case Kind::kOtherVersion:
    case Kind::kLateVersion: {
      const bool late = report.kind == Kind::kLateVersion;
      log.write(late ? LogLevel::kWarning : LogLevel::kInfo, late ? "audit.late" : "audit.version",
                "audit: " + report.peer + " has had a different version of the " + nameOf(report.part) +
                    " for " + std::to_string(seconds) + " s; older version: " + nameOf(report.older),
                {{"peer", report.peer},
                 {"version", report.version},
                 {"part", nameOf(report.part)},
                 {"seconds", seconds},
                 {"older", nameOf(report.older)}});
      return;
    }
    case Kind::kNondeterminism:
      log.write(LogLevel::kError, "audit.unsteady",
                "audit: nondeterministic decision: a replay here gave a different result for " + caseName,
                {{"version", report.version}, {"case", caseName}});
  }
}

void AuditDriver::print(std::ostream& out) const {
  const AuditCounters& counters = audit_.counters();
  std::size_t agree = 0, differ = 0;
  for (const std::string& peer : peers_) {
    const AuditVerdict verdict = audit_.verdict(parts_.loop.nowMs(), peer);
    agree += verdict == AuditVerdict::kAgree;
    differ += verdict == AuditVerdict::kDiverged;
  }
  out << " audit-agree=" << agree << " audit-differ=" << differ << " audit-rounds=" << counters.rounds
      << " audit-steps=" << counters.steps << " audit-windows=" << counters.windows
      << " audit-late=" << counters.late << " audit-stale=" << counters.stale
      << " audit-refused=" << counters.refused << " audit-bytes-out=" << counters.bytesOut;
}

}  // namespace myrtleloft
