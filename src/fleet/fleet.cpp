#include "fleet/fleet.h"

#include <set>
#include <utility>

namespace myrtleloft {
namespace {

const char* nameOf(MemberState state) {
  switch (state) {
    case MemberState::kUnknown:
      return "unknown";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
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

bool Fleet::start(std::string& error, int& errorNumber) {
  storeIncarnation();
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
  if (!links_->open(error, &errorNumber)) return false;
  if (plan.auditIntervalS > 0)
    audit_.emplace(AuditDriver::Parts{parts_.loop, *links_, parts_.log, parts_.rules}, plan.auditIntervalS,
                   incarnation_, options_.seed);
  parts_.log.write(LogLevel::kInfo, "fleet.listening",
                   "fleet: accepting relays of fleet '" + plan.name + "' at " + listening(),
                   {{"address", listening()}, {"fleet", plan.name}, {"peers", links_->peers()}});
  applyStep(members_->onTick(nowMs()));
  return true;
}

void Fleet::storeIncarnation() {
  const StoredIncarnation kept = nextIncarnation({parts_.files, parts_.disk}, options_.folder, options_.seed);
  incarnation_ = kept.incarnation;
  const auto start = incarnation_.start;
  if (!kept.damage.empty())
    parts_.log.write(LogLevel::kError, "fleet.incarnation-damaged",
                     std::string("fleet: the file ") + kIncarnationName + " cannot be used (" + kept.damage +
                         "): starting with a new relay identifier",
                     {{"fault", kept.damage}});
  if (!kept.fault.empty())
    parts_.log.write(LogLevel::kError, "fleet.incarnation-fault",
                     std::string("fleet: cannot store the file ") + kIncarnationName + ": " + kept.fault +
                         "; using a relay identifier for this process only",
                     {{"fault", kept.fault}});
  parts_.log.write(LogLevel::kInfo, "fleet.incarnation",
                   "fleet: run " + std::to_string(start) + " with this state folder", {{"start", start}});
}

void Fleet::setPeers(const std::vector<FleetPlan::Peer>& peers) {
  if (!links_) return;
  checkForStall();
  options_.plan.peers = peers;
  links_->setPeers(peers);
  std::set<std::string> names;
  for (const FleetPlan::Peer& peer : peers) names.insert(peer.name);
  if (audit_) audit_->setPeers(names);
  applyStep(members_->setPeers(nowMs(), namesOf(peers)));
  parts_.log.write(LogLevel::kInfo, "fleet.peers",
                   "fleet: " + std::to_string(peers.size()) + " peers configured", {{"peers", peers.size()}});
}

bool Fleet::isCatchingUp() {
  if (members_) checkForStall();
  return members_ && members_->isCatchingUp();
}

// ---- members ----
void Fleet::checkForStall() {
  const double lateMs = nowMs() - dueMs_;
  if (lateMs <= options_.members.stallMs) return;
  ++stalls_;
  parts_.log.writeRateLimited(
      nowMs(), LogLevel::kWarning, "fleet.stalled",
      "fleet: this process did not run for " + std::to_string(static_cast<int>(lateMs)) + " ms",
      {{"ms", lateMs}});
  applyStep(members_->onTick(nowMs()));
}

void Fleet::applyStep(Members::Step step) {
  for (MemberSend& send : step.sends) links_->send(send.to, send.kind, std::move(send.payload));
  for (const MemberChange& change : step.changes) logChange(change);
  if (members_->isCatchingUp() != reportedCatchingUp_) {
    reportedCatchingUp_ = !reportedCatchingUp_;
    parts_.log.write(LogLevel::kInfo, reportedCatchingUp_ ? "fleet.catching-up" : "fleet.caught-up",
                     reportedCatchingUp_ ? "fleet: catching up with the other relays"
                                         : "fleet: caught up, with replies from more than half of the fleet");
  }
  dueMs_ = step.nextMs;
  parts_.loop.cancel(timer_);
  timer_ = parts_.loop.after(dueMs_ - nowMs(), [this] {
    timer_ = Loop::kNoTimer;
    checkForStall();
    if (timer_ == Loop::kNoTimer) applyStep(members_->onTick(nowMs()));
  });
}

void Fleet::logChange(const MemberChange& change) const {
  const auto start = change.incarnation.start;
  parts_.log.write(change.is == MemberState::kDead ? LogLevel::kWarning : LogLevel::kInfo, "fleet.standing",
                   "fleet: " + change.name + " is " + nameOf(change.is) + ", run " + std::to_string(start) +
                       " (was " + nameOf(change.was) + ")",
                   {{"peer", change.name},
                    {"standing", nameOf(change.is)},
                    {"was", nameOf(change.was)},
                    {"start", start}});
}

// ---- links ----
void Fleet::onPeerUp(const PeerIntroduction& peer) {
  checkForStall();
  const auto start = peer.incarnation.start;
  parts_.log.write(LogLevel::kInfo, "fleet.up",
                   "fleet: link established to " + peer.name + " (run " + std::to_string(start) + ")",
                   {{"peer", peer.name}, {"start", start}, {"building", peer.building}});
  if (audit_) audit_->onPeerUp(peer);
  applyStep(members_->onLinkUp(nowMs(), peer));
}

void Fleet::onPeerDown(const std::string& peer) {
  checkForStall();
  parts_.log.write(LogLevel::kInfo, "fleet.down", "fleet: the link to " + peer + " is down",
                   {{"peer", peer}});
  if (audit_) audit_->onPeerDown(peer);
  applyStep(members_->onLinkDown(nowMs(), peer));
}

bool Fleet::onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) {
  checkForStall();
  // The audit may be enabled at some relays of a fleet only.
  if (kind == FleetKind::kAudit) return !audit_ || audit_->onMessage(peer, payload);
  // The other kinds have no receiver yet.
  if (kind != FleetKind::kPing && kind != FleetKind::kPingReply) return false;
  Members::Step step;
  if (!members_->onMessage(nowMs(), peer, kind, payload, step)) return false;
  applyStep(std::move(step));
  return true;
}

void Fleet::onPeerWritable(const std::string&) {}

void Fleet::print(std::ostream& out) const {
  if (!links_) return;
  const Links::Figures& f = links_->figures();
  std::size_t stateCounts[4] = {}, oneWay = 0;
  for (const MemberView& member : members_->all()) {
    ++stateCounts[static_cast<std::size_t>(member.state)];
    oneWay += (member.hears == Hears::kYes && !member.heard) || (member.hears == Hears::kNo && member.heard);
  }
  out << "counters fleet: peers=" << links_->peers() << " up=" << links_->linksUp() << " ups=" << f.ups
      << " downs=" << f.downs << " dials=" << f.dials << " refused=" << f.refused
      << " refused-sends=" << f.refusedSends << " frames-in=" << f.framesIn << " frames-out=" << f.framesOut
      << " bytes-in=" << f.bytesIn << " bytes-out=" << f.bytesOut << " alive=" << stateCounts[1]
      << " suspect=" << stateCounts[2] << " dead=" << stateCounts[3] << " one-way=" << oneWay
      << " stalls=" << stalls_ << " catching-up=" << members_->isCatchingUp()
      << " health=" << members_->health();
  for (std::size_t i = 0; i < f.ends.size(); ++i)
    if (f.ends[i] > 0) out << " end-" << nameOf(static_cast<LinkEnd>(i)) << '=' << f.ends[i];
  if (audit_) audit_->print(out);
  out << '\n';
}

}  // namespace myrtleloft
