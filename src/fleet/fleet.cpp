#include "fleet/fleet.h"

#include <set>
#include <utility>

namespace myrtleloft {
namespace {

const char* nameOf(Standing standing) {
  switch (standing) {
    case Standing::kUnknown:
      return "unknown";
    case Standing::kAlive:
      return "alive";
    case Standing::kSuspect:
      return "suspect";
    case Standing::kDead:
      return "dead";
  }
  return "";
}

std::vector<std::string> namesOf(const std::vector<FleetPlan::Peer>& peers) {
  std::vector<std::string> names;
  for (const FleetPlan::Peer& peer : peers) names.push_back(peer.name);
  return names;
}

}  // namespace

bool Fleet::start(std::string& error) {
  keepIncarnation();
  const FleetPlan& plan = options_.plan;
  Links::Options options;
  options.me = {plan.name, options_.name, options_.building, incarnation_};
  options.listen = plan.listen;
  options.peers = plan.peers;
  options.queueBytes = queueBytesFor(plan.peers.size(), options_.memoryBytes);
  options.seed = options_.seed;
  options.tuning = options_.tuning;
  members_.emplace(options_.members, options.me, namesOf(plan.peers), options_.seed);
  links_.emplace(Links::Parts{parts_.loop, parts_.log}, std::move(options), static_cast<PeerSink&>(*this));
  if (!links_->open(error)) return false;
  if (plan.auditEveryS > 0)
    audit_.emplace(AuditDriver::Parts{parts_.loop, *links_, parts_.log, parts_.rules}, plan.auditEveryS,
                   incarnation_, options_.seed);
  parts_.log.write(LogLevel::kInfo, "fleet.listening",
                   "fleet: the relays of '" + plan.name + "' are taken at " + listening(),
                   {{"address", listening()}, {"fleet", plan.name}, {"peers", links_->peers()}});
  take(members_->onTick(nowMs()));
  return true;
}

void Fleet::keepIncarnation() {
  const KeptIncarnation kept = nextIncarnation({parts_.files, parts_.disk}, options_.folder, options_.seed);
  incarnation_ = kept.incarnation;
  const auto start = incarnation_.start;
  if (!kept.damage.empty())
    parts_.log.write(LogLevel::kError, "fleet.incarnation-damaged",
                     std::string("fleet: the file ") + kIncarnationName + " cannot be used (" + kept.damage +
                         "): this relay begins a new life",
                     {{"fault", kept.damage}});
  if (!kept.fault.empty())
    parts_.log.write(LogLevel::kError, "fleet.incarnation-fault",
                     std::string("fleet: cannot keep the file ") + kIncarnationName + ": " + kept.fault +
                         "; this life ends with the process",
                     {{"fault", kept.fault}});
  parts_.log.write(LogLevel::kInfo, "fleet.incarnation",
                   "fleet: start " + std::to_string(start) + " of this life", {{"start", start}});
}

void Fleet::setPeers(const std::vector<FleetPlan::Peer>& peers) {
  if (!links_) return;
  wake();
  options_.plan.peers = peers;
  links_->setPeers(peers);
  std::set<std::string> names;
  for (const FleetPlan::Peer& peer : peers) names.insert(peer.name);
  if (audit_) audit_->setPeers(names);
  take(members_->setPeers(nowMs(), namesOf(peers)));
  parts_.log.write(LogLevel::kInfo, "fleet.peers",
                   "fleet: " + std::to_string(peers.size()) + " peers from now on",
                   {{"peers", peers.size()}});
}

bool Fleet::mustAsk() {
  if (members_) wake();
  return members_ && members_->mustAsk();
}

// ---- members ----
void Fleet::wake() {
  const double lateMs = nowMs() - dueMs_;
  if (lateMs <= options_.members.stallMs) return;
  ++stalls_;
  parts_.log.writeRateLimited(
      nowMs(), LogLevel::kWarning, "fleet.stalled",
      "fleet: this process stood still for " + std::to_string(static_cast<int>(lateMs)) + " ms",
      {{"ms", lateMs}});
  take(members_->onTick(nowMs()));
}

void Fleet::take(Members::Step step) {
  for (MemberSend& send : step.sends) links_->send(send.to, send.kind, std::move(send.payload));
  for (const MemberChange& change : step.changes) tell(change);
  if (members_->mustAsk() != mustAsked_) {
    mustAsked_ = !mustAsked_;
    parts_.log.write(
        LogLevel::kInfo, mustAsked_ ? "fleet.catching-up" : "fleet.caught-up",
        mustAsked_ ? "fleet: asking what was missed" : "fleet: heard of more than half of the fleet");
  }
  dueMs_ = step.nextMs;
  parts_.loop.cancel(timer_);
  timer_ = parts_.loop.after(dueMs_ - nowMs(), [this] {
    timer_ = Loop::kNoTimer;
    wake();
    if (timer_ == Loop::kNoTimer) take(members_->onTick(nowMs()));
  });
}

void Fleet::tell(const MemberChange& change) const {
  const auto start = change.incarnation.start;
  parts_.log.write(change.is == Standing::kDead ? LogLevel::kWarning : LogLevel::kInfo, "fleet.standing",
                   "fleet: " + change.name + " is " + nameOf(change.is) + ", start " + std::to_string(start) +
                       " of its life (was " + nameOf(change.was) + ")",
                   {{"peer", change.name},
                    {"standing", nameOf(change.is)},
                    {"was", nameOf(change.was)},
                    {"start", start}});
}

// ---- links ----
void Fleet::onPeerUp(const PeerIntroduction& peer) {
  wake();
  const auto start = peer.incarnation.start;
  parts_.log.write(LogLevel::kInfo, "fleet.up",
                   "fleet: linked to " + peer.name + ", start " + std::to_string(start) + " of its life",
                   {{"peer", peer.name}, {"start", start}, {"building", peer.building}});
  if (audit_) audit_->onPeerUp(peer);
  take(members_->onLinkUp(nowMs(), peer));
}

void Fleet::onPeerDown(const std::string& peer) {
  wake();
  parts_.log.write(LogLevel::kInfo, "fleet.down", "fleet: the link to " + peer + " is down",
                   {{"peer", peer}});
  if (audit_) audit_->onPeerDown(peer);
  take(members_->onLinkDown(nowMs(), peer));
}

bool Fleet::onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) {
  wake();
  // A fleet may have the audit at some relays only.
  if (kind == FleetKind::kAudit) return !audit_ || audit_->onMessage(peer, payload);
  // Nobody takes the other kinds yet.
  if (kind != FleetKind::kQuestion && kind != FleetKind::kReply) return false;
  Members::Step step;
  if (!members_->onMessage(nowMs(), peer, kind, payload, step)) return false;
  take(std::move(step));
  return true;
}

void Fleet::onPeerRoom(const std::string&) {}

void Fleet::print(std::ostream& out) const {
  if (!links_) return;
  const Links::Figures& f = links_->figures();
  std::size_t standings[4] = {}, oneWay = 0;
  for (const MemberView& member : members_->all()) {
    ++standings[static_cast<std::size_t>(member.standing)];
    oneWay += (member.hears == Hears::kYes && !member.heard) || (member.hears == Hears::kNo && member.heard);
  }
  out << "counters fleet: peers=" << links_->peers() << " up=" << links_->linksUp() << " ups=" << f.ups
      << " downs=" << f.downs << " dials=" << f.dials << " refused=" << f.refused
      << " refused-sends=" << f.refusedSends << " frames-in=" << f.framesIn << " frames-out=" << f.framesOut
      << " bytes-in=" << f.bytesIn << " bytes-out=" << f.bytesOut << " alive=" << standings[1]
      << " suspect=" << standings[2] << " dead=" << standings[3] << " one-way=" << oneWay
      << " stalls=" << stalls_ << " catching-up=" << members_->mustAsk() << " health=" << members_->health();
  for (std::size_t i = 0; i < f.ends.size(); ++i)
    if (f.ends[i] > 0) out << " end-" << nameOf(static_cast<LinkEnd>(i)) << '=' << f.ends[i];
  if (audit_) audit_->print(out);
  out << '\n';
}

}  // namespace myrtleloft
