#include "fleet/fleet.h"

#include <set>
#include <utility>

namespace myrtleloft {

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
  links_.emplace(Links::Parts{parts_.loop, parts_.log}, std::move(options), static_cast<PeerSink&>(*this));
  if (!links_->open(error)) return false;
  if (plan.auditEveryS > 0)
    audit_.emplace(AuditDriver::Parts{parts_.loop, *links_, parts_.log, parts_.rules}, plan.auditEveryS,
                   incarnation_, options_.seed);
  parts_.log.write(LogLevel::kInfo, "fleet.listening",
                   "fleet: the relays of '" + plan.name + "' are taken at " + listening(),
                   {{"address", listening()}, {"fleet", plan.name}, {"peers", links_->peers()}});
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
  options_.plan.peers = peers;
  links_->setPeers(peers);
  std::set<std::string> names;
  for (const FleetPlan::Peer& peer : peers) names.insert(peer.name);
  if (audit_) audit_->setPeers(names);
  parts_.log.write(LogLevel::kInfo, "fleet.peers",
                   "fleet: " + std::to_string(peers.size()) + " peers from now on",
                   {{"peers", peers.size()}});
}

void Fleet::onPeerUp(const PeerIntroduction& peer) {
  const auto start = peer.incarnation.start;
  parts_.log.write(LogLevel::kInfo, "fleet.up",
                   "fleet: linked to " + peer.name + ", start " + std::to_string(start) + " of its life",
                   {{"peer", peer.name}, {"start", start}, {"building", peer.building}});
  if (audit_) audit_->onPeerUp(peer);
}

void Fleet::onPeerDown(const std::string& peer) {
  parts_.log.write(LogLevel::kInfo, "fleet.down", "fleet: the link to " + peer + " is down",
                   {{"peer", peer}});
  if (audit_) audit_->onPeerDown(peer);
}

bool Fleet::onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) {
  if (kind != FleetKind::kAudit) return false;         // nobody takes any other kind yet
  return !audit_ || audit_->onMessage(peer, payload);  // a fleet may have it at some relays only
}

void Fleet::onPeerRoom(const std::string&) {}

void Fleet::print(std::ostream& out) const {
  if (!links_) return;
  const Links::Figures& f = links_->figures();
  out << "counters fleet: peers=" << links_->peers() << " up=" << links_->linksUp() << " ups=" << f.ups
      << " downs=" << f.downs << " dials=" << f.dials << " refused=" << f.refused
      << " refused-sends=" << f.refusedSends << " frames-in=" << f.framesIn << " frames-out=" << f.framesOut
      << " bytes-in=" << f.bytesIn << " bytes-out=" << f.bytesOut;
  for (std::size_t i = 0; i < f.ends.size(); ++i)
    if (f.ends[i] > 0) out << " end-" << nameOf(static_cast<LinkEnd>(i)) << '=' << f.ends[i];
  if (audit_) audit_->print(out);
  out << '\n';
}

}  // namespace myrtleloft
