#include "audit/audit.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {

Audit::Audit(const AuditTuning& tuning, const Incarnation& self, std::uint64_t seed)
    : base_(tuning), tuning_(tuning), self_(self), draws_({seed, self.start}, "audit") {}

void Audit::playWindowsWith(const Settings& settings, ModuleMaker make) {
  settings_ = settings;
  make_ = std::move(make);
  visit_.reset();
}

void Audit::onPeerUp(const PeerIntroduction& peer) {
  peers_.try_emplace(peer.name, peer.name, tuning_).first->second.up(peer.incarnation);
  retune();
}

void Audit::onPeerDown(const std::string& peer) {
  const auto at = peers_.find(peer);
  if (at != peers_.end()) at->second.down();
}

void Audit::forget(const std::string& peer) {
  peers_.erase(peer);
  if (visit_ && visit_->peer == peer) visit_.reset();
  retune();
}

// What waits for a turn of each relay waits for more, where they are more than one round takes.
void Audit::retune() {
  const auto turns = static_cast<double>((peers_.size() + base_.peersARound - 1) / base_.peersARound);
  tuning_.lateMs = base_.lateMs * std::max(1.0, turns);
  tuning_.agreeForMs = base_.agreeForMs * std::max(1.0, turns);
}

void Audit::send(const std::string& peer, AuditMessage message, Out& out) {
  const Comparison& comparison = peers_.at(peer);
  message.from = self_;
  message.to = comparison.incarnation();
  message.heard = comparison.heard();
  AuditSend& sent = out.sends.emplace_back();
  sent.peer = peer;
  sent.payload = encode(message);
  counters_.bytesOut += sent.payload.size();
}

Audit::Out Audit::onTick(double nowMs) {
  Out out;
  if (!own_.known()) return out;
  if (nextRoundMs_ < 0) nextRoundMs_ = nowMs + base_.everyMs * draws_.between(0, 100) / 100;
  if (nowMs >= nextRoundMs_) {
    // Not in step with the others, nor ever nearer to each other than nine tenths of it.
    nextRoundMs_ = nowMs + base_.everyMs * draws_.between(90, 110) / 100;
    ++counters_.rounds;
    auto at = peers_.upper_bound(lastTold_);
    for (std::size_t i = 0, told = 0; i < peers_.size() && told < base_.peersARound; ++i, ++at) {
      if (at == peers_.end()) at = peers_.begin();
      if (!at->second.isUp()) continue;
      const std::uint64_t number = ++lastNumber_;
      send(at->first, {{}, {}, number, 0, at->second.tell(nowMs, number, own_)}, out);
      lastTold_ = at->first;
      ++told;
    }
  }
  proceed(nowMs, out);
  return out;
}

// What can go on: answers that are ready, walks whose next question is due.
void Audit::proceed(double nowMs, Out& out) {
  for (auto& [name, comparison] : peers_) {
    comparison.advance(own_, counters_, out.reports);
    if (!comparison.isUp()) continue;
    if (auto answer = comparison.answer(own_))
      send(name, {{}, {}, answer->first, 0, std::move(answer->second)}, out);
    if (const auto question = comparison.ask(nowMs, lastNumber_ + 1, own_))
      send(name, {{}, {}, ++lastNumber_, 0, *question}, out);
  }
  for (const auto& [name, comparison] : peers_) {
    const auto wanted = own_.known() ? comparison.wanted(own_) : std::nullopt;
    if (wanted) own_.want(*wanted);
  }
}

std::size_t Audit::play(double nowMs, std::size_t steps, Out& out) {
  std::size_t played = 0;
  while (played < steps) {
    const bool case_ = own_.play(1) == 1;
    if (!case_ && !playWindow(out)) break;
    ++played;
    if (case_ && !own_.wants()) proceed(nowMs, out);
  }
  counters_.steps += played;
  if (const auto number = own_.takeUnsteady()) {
    AuditReport& report = out.reports.emplace_back();
    report.kind = AuditReport::Kind::kUnsteady;
    report.version = shortText(own_.digest());
    report.family = own_.cases().at(*number).family->name();
    report.number = own_.cases().at(*number).index;
  }
  return played;
}

bool Audit::onMessage(double nowMs, const std::string& peer, std::string_view payload, Out& out) {
  AuditMessage message;
  if (!decode(payload, message)) return false;
  const auto at = peers_.find(peer);
  if (at == peers_.end() || !(message.from == at->second.incarnation()) || !(message.to == self_)) {
    ++counters_.stale;
    return true;
  }
  Comparison& comparison = at->second;
  if (const auto* told = std::get_if<AuditTold>(&message.what)) {
    if (own_.known()) comparison.onTold(nowMs, message, *told, own_, counters_, out.reports);
  } else if (const auto* question = std::get_if<AuditQuestion>(&message.what)) {
    comparison.onQuestion(message.number, *question, counters_);
  } else if (auto* answer = std::get_if<AuditAnswer>(&message.what)) {
    if (own_.known()) comparison.onAnswer(message.number, std::move(*answer), own_, counters_);
  } else if (const auto* window = std::get_if<AuditWindow>(&message.what)) {
    onWindow(peer, *window);
  }
  proceed(nowMs, out);
  return true;
}

// ---- windows of real traffic ----
bool Audit::offer(std::string window, Out& out) {
  if (!own_.known() || window.size() > kMostWindow) return false;
  auto at = peers_.upper_bound(lastOffered_);
  for (std::size_t i = 0; i < peers_.size(); ++i, ++at) {
    if (at == peers_.end()) at = peers_.begin();
    if (!at->second.isUp()) continue;
    AuditWindow offered;
    offered.program = own_.version().of(RulesPart::kProgram);
    offered.settings = own_.version().of(RulesPart::kSettings);
    offered.digest = hashOf(window);
    offered.bytes = std::move(window);
    lastOffered_ = at->first;
    send(at->first, {{}, {}, ++lastNumber_, 0, std::move(offered)}, out);
    return true;
  }
  return false;
}

void Audit::onWindow(const std::string& peer, const AuditWindow& window) {
  if (visit_ || !settings_ || !own_.known()) return;
  if (window.program != own_.version().of(RulesPart::kProgram) ||
      window.settings != own_.version().of(RulesPart::kSettings))
    return;  // of other rules: nothing to compare
  TrafficWindow traffic;
  if (hashOf(window.bytes) != window.digest || !decode(window.bytes, traffic)) {
    ++counters_.refused;
    return;
  }
  visit_.emplace(Visit{peer, WindowPlay(*settings_, make_, std::move(traffic))});
}

bool Audit::playWindow(Out& out) {
  if (!visit_) return false;
  if (visit_->play.next()) return true;
  const auto& mine = visit_->play.mine();
  const auto peer = peers_.find(visit_->peer);
  ++counters_.windows;
  if (mine && peer != peers_.end()) {
    AuditReport& report = out.reports.emplace_back();
    report.kind = AuditReport::Kind::kDiffer;
    report.peer = visit_->peer;
    report.version = shortText(own_.digest());
    report.family = "traffic";
    report.step = visit_->play.step();
    report.said = moduleDifference(*mine, visit_->play.theirs());
    ++counters_.differed;
    peer->second.differs(own_);
  }
  visit_.reset();
  return true;
}

// ---- verdicts ----
AuditVerdict Audit::verdict(double nowMs, const std::string& peer) const {
  const auto at = peers_.find(peer);
  return at == peers_.end() ? AuditVerdict::kNotKnown : at->second.verdict(nowMs, own_);
}

std::optional<RulesPart> Audit::differing(const std::string& peer) const {
  const auto at = peers_.find(peer);
  return at == peers_.end() ? std::nullopt : at->second.differing();
}

bool Audit::differsFromAllOthers(double nowMs) const {
  std::size_t others = 0;
  for (const auto& [name, comparison] : peers_) {
    if (!comparison.isUp()) continue;
    if (comparison.verdict(nowMs, own_) != AuditVerdict::kDiffer) return false;
    ++others;
  }
  return others >= 2;
}

}  // namespace myrtleloft
