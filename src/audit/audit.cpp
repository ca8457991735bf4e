#include "audit/audit.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

ConsistencyChecker::ConsistencyChecker(const AuditTuning& tuning, const Incarnation& self, std::uint64_t seed)
    : base_(tuning), tuning_(tuning), self_(self), random_({seed, self.start}, "audit") {}

void ConsistencyChecker::enableWindowReplay(const Settings& settings, ModuleFactory make) {
  settings_ = settings;
  factory_ = std::move(make);
  peerWindow_.reset();
}

void ConsistencyChecker::onPeerUp(const PeerIntroduction& peer) {
  peers_.try_emplace(peer.name, peer.name, tuning_).first->second.up(peer.incarnation);
  scaleTimeouts();
}

void ConsistencyChecker::onPeerDown(const std::string& peer) {
  const auto at = peers_.find(peer);
  if (at != peers_.end()) at->second.down();
}

void ConsistencyChecker::forget(const std::string& peer) {
  peers_.erase(peer);
  if (peerWindow_ && peerWindow_->peer == peer) peerWindow_.reset();
  scaleTimeouts();
}

// With more peers than one round reaches, each is reached less often: the limits grow accordingly.
void ConsistencyChecker::scaleTimeouts() {
  const auto turns = static_cast<double>((peers_.size() + base_.peersPerRound - 1) / base_.peersPerRound);
  tuning_.lateVersionMs = base_.lateVersionMs * std::max(1.0, turns);
  tuning_.agreementValidMs = base_.agreementValidMs * std::max(1.0, turns);
}

void ConsistencyChecker::send(const std::string& peer, AuditMessage message, Out& out) {
  const Comparison& comparison = peers_.at(peer);
  message.from = self_;
  message.to = comparison.incarnation();
  message.lastReceivedNumber = comparison.lastReceivedNumber();
  AuditSend& sent = out.sends.emplace_back();
  sent.peer = peer;
  sent.payload = encode(message);
  counters_.bytesOut += sent.payload.size();
}

ConsistencyChecker::Out ConsistencyChecker::onTick(double nowMs) {
  Out out;
  if (!own_.known()) return out;
  if (nextRoundMs_ < 0) nextRoundMs_ = nowMs + base_.roundIntervalMs * random_.between(0, 100) / 100;
  if (nowMs >= nextRoundMs_) {
    // Jitter keeps the rounds of different relays from synchronising; two rounds of one relay are at least
    // nine tenths of the interval apart.
    nextRoundMs_ = nowMs + base_.roundIntervalMs * random_.between(90, 110) / 100;
    ++counters_.rounds;
    auto at = peers_.upper_bound(lastReportedPeer_);
    for (std::size_t i = 0, sent = 0; i < peers_.size() && sent < base_.peersPerRound; ++i, ++at) {
      if (at == peers_.end()) at = peers_.begin();
      if (!at->second.isUp()) continue;
      const std::uint64_t number = ++lastNumber_;
      send(at->first, {{}, {}, number, 0, at->second.makeDigestReport(nowMs, number, own_)}, out);
      lastReportedPeer_ = at->first;
      ++sent;
    }
  }
  advanceComparisons(nowMs, out);
  return out;
}

// Sends the answers that are ready and the questions that are due.
void ConsistencyChecker::advanceComparisons(double nowMs, Out& out) {
  for (auto& [name, comparison] : peers_) {
    comparison.advance(own_, counters_, out.reports);
    if (!comparison.isUp()) continue;
    if (auto answer = comparison.answer(own_))
      send(name, {{}, {}, answer->first, 0, std::move(answer->second)}, out);
    if (const auto question = comparison.nextQuestion(nowMs, lastNumber_ + 1, own_))
      send(name, {{}, {}, ++lastNumber_, 0, *question}, out);
  }
  for (const auto& [name, comparison] : peers_) {
    const auto caseToReplay = own_.known() ? comparison.caseToReplay(own_) : std::nullopt;
    if (caseToReplay) own_.requestReplay(*caseToReplay);
  }
}

std::size_t ConsistencyChecker::play(double nowMs, std::size_t steps, Out& out) {
  std::size_t played = 0;
  while (played < steps) {
    const bool playedCase = own_.play(1) == 1;
    if (!playedCase && !replayWindow(out)) break;
    ++played;
    if (playedCase && !own_.replayPending()) advanceComparisons(nowMs, out);
  }
  counters_.steps += played;
  if (const auto number = own_.takeNondeterministicCase()) {
    AuditReport& report = out.reports.emplace_back();
    report.kind = AuditReport::Kind::kNondeterminism;
    report.version = shortText(own_.digest());
    report.family = own_.cases().at(*number).family->name();
    report.number = own_.cases().at(*number).index;
  }
  return played;
}

bool ConsistencyChecker::onMessage(double nowMs, const std::string& peer, std::string_view payload,
                                   Out& out) {
  AuditMessage message;
  if (!decode(payload, message)) return false;
  const auto at = peers_.find(peer);
  if (at == peers_.end() || !(message.from == at->second.incarnation()) || !(message.to == self_)) {
    ++counters_.stale;
    return true;
  }
  Comparison& comparison = at->second;
  if (const auto* digestReport = std::get_if<DigestReport>(&message.body)) {
    if (own_.known()) comparison.onDigestReport(nowMs, message, *digestReport, own_, counters_, out.reports);
  } else if (const auto* question = std::get_if<AuditQuestion>(&message.body)) {
    comparison.onQuestion(message.number, *question, counters_);
  } else if (auto* answer = std::get_if<AuditAnswer>(&message.body)) {
    if (own_.known()) comparison.onAnswer(message.number, std::move(*answer), own_, counters_);
  } else if (const auto* window = std::get_if<AuditWindow>(&message.body)) {
    onWindow(peer, *window);
  }
  advanceComparisons(nowMs, out);
  return true;
}

// ---- windows of real traffic ----
bool ConsistencyChecker::offerWindow(std::string window, Out& out) {
  if (!own_.known() || window.size() > kMaxWindowBytes) return false;
  auto at = peers_.upper_bound(lastOfferedPeer_);
  for (std::size_t i = 0; i < peers_.size(); ++i, ++at) {
    if (at == peers_.end()) at = peers_.begin();
    if (!at->second.isUp()) continue;
    AuditWindow offered;
    offered.program = own_.version().of(RulesPart::kProgram);
    offered.settings = own_.version().of(RulesPart::kSettings);
    offered.digest = hashOf(window);
    offered.bytes = std::move(window);
    lastOfferedPeer_ = at->first;
    send(at->first, {{}, {}, ++lastNumber_, 0, std::move(offered)}, out);
    return true;
  }
  return false;
}

void ConsistencyChecker::onWindow(const std::string& peer, const AuditWindow& window) {
  if (peerWindow_ || !settings_ || !own_.known()) return;
  if (window.program != own_.version().of(RulesPart::kProgram) ||
      window.settings != own_.version().of(RulesPart::kSettings))
    return;  // recorded under a different version of the rules, thus not comparable
  TrafficWindow traffic;
  if (hashOf(window.bytes) != window.digest || !decode(window.bytes, traffic)) {
    ++counters_.refused;
    return;
  }
  peerWindow_.emplace(PeerWindow{peer, WindowReplay(*settings_, factory_, std::move(traffic))});
}

bool ConsistencyChecker::replayWindow(Out& out) {
  if (!peerWindow_) return false;
  if (peerWindow_->play.next()) return true;
  const auto& local = peerWindow_->play.local();
  const auto peer = peers_.find(peerWindow_->peer);
  ++counters_.windows;
  if (local && peer != peers_.end()) {
    AuditReport& report = out.reports.emplace_back();
    report.kind = AuditReport::Kind::kDiverged;
    report.peer = peerWindow_->peer;
    report.version = shortText(own_.digest());
    report.family = "traffic";
    report.step = peerWindow_->play.step();
    report.difference = moduleDifference(*local, peerWindow_->play.remote());
    ++counters_.diverged;
    peer->second.recordDivergence(own_);
  }
  peerWindow_.reset();
  return true;
}

// ---- verdicts ----
AuditVerdict ConsistencyChecker::verdict(double nowMs, const std::string& peer) const {
  const auto at = peers_.find(peer);
  return at == peers_.end() ? AuditVerdict::kNotKnown : at->second.verdict(nowMs, own_);
}

std::optional<RulesPart> ConsistencyChecker::differingPart(const std::string& peer) const {
  const auto at = peers_.find(peer);
  return at == peers_.end() ? std::nullopt : at->second.differingPart();
}

bool ConsistencyChecker::divergesFromAllOthers(double nowMs) const {
  std::size_t others = 0;
  for (const auto& [name, comparison] : peers_) {
    if (!comparison.isUp()) continue;
    if (comparison.verdict(nowMs, own_) != AuditVerdict::kDiverged) return false;
    ++others;
  }
  return others >= 2;
}

}  // namespace myrtleloft
