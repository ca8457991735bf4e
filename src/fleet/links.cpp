#include "fleet/links.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

constexpr int kAcceptsPerTurn = 8;
constexpr std::size_t kMinReadShareBytes = 4096;

Link::Lane laneOf(FleetKind kind) {
  return kind == FleetKind::kPing || kind == FleetKind::kPingReply ? Link::Lane::kMembers
                                                                   : Link::Lane::kOthers;
}

}  // namespace

Links::Links(const Parts& parts, Options options, PeerSink& sink)
    : parts_(parts), options_(std::move(options)), sink_(sink), random_(options_.seed) {
  setPeers(options_.peers);
}

Links::~Links() {
  parts_.loop.cancel(tickTimer_);
  parts_.loop.cancel(closedLinksTimer_);
  if (listener_) parts_.loop.unwatch(listener_.get());
}

bool Links::open(std::string& error, int* errorNumber) {
  listener_ = listenOn(options_.listen, error, errorNumber);
  if (!listener_) return false;
  parts_.loop.watch(listener_.get(), POLLIN, [this](short) { accept(); });
  lastTickMs_ = parts_.loop.nowMs();
  tick();
  return true;
}

void Links::setPeers(const std::vector<FleetPlan::Peer>& peers) {
  std::set<std::string> names;
  for (const FleetPlan::Peer& wanted : peers) {
    names.insert(wanted.name);
    Peer& peer = peers_[wanted.name];
    const bool moved = !peer.address.text.empty() && peer.address.text != wanted.address.text;
    const bool added = peer.address.text.empty();
    peer.address = wanted.address;
    if (moved && peer.dial) onEnd(*peer.dial, LinkEnd::kRemoved);
    if (moved && peer.link) onEnd(*peer.link, LinkEnd::kRemoved);
    if (added || moved) peer.redialDelayMs = 0, scheduleDial(wanted.name, peer);
  }
  for (auto at = peers_.begin(); at != peers_.end();) {
    if (names.count(at->first)) {
      ++at;
      continue;
    }
    if (at->second.dial) onEnd(*at->second.dial, LinkEnd::kRemoved);
    if (at->second.link) onEnd(*at->second.link, LinkEnd::kRemoved);
    std::erase_if(loggedRefusals_, [&](const auto& refusal) { return refusal.first == at->first; });
    at = peers_.erase(at);
  }
}

// ---- PeerLinks ----
bool Links::send(const std::string& name, FleetKind kind, std::string payload) {
  const auto at = peers_.find(name);
  const Link::Lane lane = laneOf(kind);
  if (at == peers_.end() || !at->second.link || kind == FleetKind::kHello ||
      payload.size() > kMaxFleetPayloadBytes)
    return false;
  Peer& peer = at->second;
  const std::size_t limitBytes = lane == Link::Lane::kMembers ? kMembersLaneBytes : options_.queueBytes;
  if (peer.link->queued(lane) + kFrameHeaderBytes + payload.size() > limitBytes) {
    ++figures_.refusedSends;
    peer.refused = peer.refused || lane == Link::Lane::kOthers;
    return false;
  }
  ++figures_.framesOut;
  figures_.bytesOut += payload.size();
  peer.link->queue(lane, kind, payload);
  return true;
}

bool Links::up(const std::string& name) const {
  const auto at = peers_.find(name);
  return at != peers_.end() && at->second.link;
}

std::size_t Links::room(const std::string& name) const {
  if (!up(name)) return 0;
  const std::size_t taken = peers_.at(name).link->queued(Link::Lane::kOthers) + kFrameHeaderBytes;
  return std::min(kMaxFleetPayloadBytes, options_.queueBytes - std::min(options_.queueBytes, taken));
}

std::size_t Links::linksUp() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& peer) { return peer.second.link != nullptr; }));
}

// ---- connections ----
std::unique_ptr<Link> Links::makeLink(Fd fd, bool dialled) {
  Link::Owner& owner = *this;
  return std::make_unique<Link>(parts_.loop, owner, options_.tuning, std::move(fd), dialled);
}

void Links::accept() {
  for (int i = 0; i < kAcceptsPerTurn; ++i) {
    int error = 0;
    Fd fd = acceptFrom(listener_, error);
    if (!fd) {
      // Without a free descriptor poll would return at once; the next tick tries again.
      if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM)
        parts_.loop.setEvents(listener_.get(), 0);
      return;
    }
    if (pendingIntroductions_.size() >= kMaxPendingIntroductions)
      onEnd(*pendingIntroductions_.front(), LinkEnd::kCrowded);
    pendingIntroductions_.push_back(makeLink(std::move(fd), false));
  }
}

void Links::dial(const std::string& name, Peer& peer) {
  ++figures_.dials;
  peer.dial = makeLink(connectTo(peer.address), true);
  if (peer.dial->phase() != Link::Phase::kClosed) return;
  peer.dial.reset();  // no free descriptor
  scheduleDial(name, peer);
}

void Links::scheduleDial(const std::string& name, Peer& peer) {
  const LinkTuning& t = options_.tuning;
  const double first = peer.redialDelayMs == 0 ? 0 : t.minRedialDelayMs;
  peer.dialAtMs = parts_.loop.nowMs() + std::max(first, peer.redialDelayMs) * jitter() +
                  (options_.me.name < name ? 0 : t.headStartMs);
  peer.redialDelayMs = std::clamp(2 * peer.redialDelayMs, t.minRedialDelayMs, t.maxRedialDelayMs);
}

void Links::tick() {
  const double now = parts_.loop.nowMs();
  const bool stalled = now - std::exchange(lastTickMs_, now) > options_.tuning.gapMs;
  parts_.loop.setEvents(listener_.get(), POLLIN);
  std::vector<Link*> all;
  for (const auto& link : pendingIntroductions_) all.push_back(link.get());
  for (auto& [name, peer] : peers_) {
    if (peer.link) all.push_back(peer.link.get());
    if (peer.dial) all.push_back(peer.dial.get());
  }
  for (Link* link : all) {
    if (stalled) link->restartTimeouts();
    const LinkEnd end = link->overdue();
    if (end != LinkEnd::kClosed) onEnd(*link, end);
  }
  for (auto& [name, peer] : peers_)
    if (!peer.link && !peer.dial && now >= peer.dialAtMs) dial(name, peer);
  tickTimer_ = parts_.loop.after(options_.tuning.tickMs, [this] { tick(); });
}

std::size_t Links::readShare() const {
  return std::max(kMinReadShareBytes, options_.tuning.bytesPerTurn / std::max<std::size_t>(1, linksUp()));
}

void Links::onConnected(Link& link) {
  link.queue(Link::Lane::kMembers, FleetKind::kHello, encodeIntroduction(options_.me));
}

void Links::onFrame(Link& link, const Frame& frame) {
  if (link.phase() != Link::Phase::kUp) return onIntroduction(link, frame);
  if (frame.kind == FleetKind::kHello) return onEnd(link, LinkEnd::kSecondHello);
  ++figures_.framesIn;
  figures_.bytesIn += frame.payload.size();
  const auto at = ownerOf(link);
  if (!sink_.onPeerMessage(at->first, frame.kind, frame.payload)) onEnd(link, LinkEnd::kBadPayload);
}

void Links::onWritten(Link& link) {
  const auto at = ownerOf(link);
  if (at == peers_.end() || !at->second.refused) return;
  if (link.queued(Link::Lane::kOthers) > options_.queueBytes / 2) return;
  at->second.refused = false;
  sink_.onPeerWritable(at->first);
}

void Links::onEnd(Link& link, LinkEnd end) {
  const auto at = ownerOf(link);
  finish(link, end, at == peers_.end() ? "" : at->first);
}

Links::Peers::iterator Links::ownerOf(const Link& link) {
  return std::find_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return peer.second.link.get() == &link || peer.second.dial.get() == &link;
  });
}

std::unique_ptr<Link> Links::detach(Link& link) {
  const auto at = ownerOf(link);
  if (at != peers_.end())
    return std::move(at->second.link.get() == &link ? at->second.link : at->second.dial);
  const auto stranger = std::find_if(pendingIntroductions_.begin(), pendingIntroductions_.end(),
                                     [&](const auto& other) { return other.get() == &link; });
  if (stranger == pendingIntroductions_.end()) return nullptr;
  std::unique_ptr<Link> taken = std::move(*stranger);
  pendingIntroductions_.erase(stranger);
  return taken;
}

// `name` is the peer that the log names. For an unidentified link it is the claimed name if that is a peer's.
void Links::finish(Link& link, LinkEnd end, const std::string& name) {
  const bool wasUp = link.phase() == Link::Phase::kUp;
  const double upMs = parts_.loop.nowMs() - link.beganMs();
  const auto at = ownerOf(link);
  std::unique_ptr<Link> taken = detach(link);
  if (!taken) return;
  taken->close();
  destroyLater(std::move(taken));
  ++figures_.ends[static_cast<std::size_t>(end)];
  if (isRefusal(end)) logRefusal(name, end);
  if (at == peers_.end()) return;
  Peer& peer = at->second;
  if (wasUp && upMs >= options_.tuning.maxRedialDelayMs) peer.redialDelayMs = 0;
  if (!peer.link && !peer.dial && end != LinkEnd::kReplaced) scheduleDial(at->first, peer);
  if (!wasUp) return;
  ++figures_.downs;
  peer.refused = false;
  sink_.onPeerDown(at->first);
}

void Links::destroyLater(std::unique_ptr<Link> link) {
  closedLinks_.push_back(std::move(link));
  if (closedLinks_.size() > 1) return;
  closedLinksTimer_ = parts_.loop.after(0, [this] {
    closedLinksTimer_ = Loop::kNoTimer;
    closedLinks_.clear();
  });
}

void Links::logRefusal(const std::string& name, LinkEnd end) {
  ++figures_.refused;
  if (!loggedRefusals_.emplace(name, end).second) return;
  const std::string who = name.empty() ? "an unidentified peer" : name;
  parts_.log.write(LogLevel::kWarning, "fleet.refused",
                   "fleet: closed a link to " + who + ": " + nameOf(end) + " (logged once)",
                   {{"peer", name}, {"reason", nameOf(end)}});
}

}  // namespace myrtleloft
