// The part of Links that checks introductions.
#include "fleet/links.h"

namespace myrtleloft {

void Links::onIntroduction(Link& link, const Frame& frame) {
  if (frame.kind != FleetKind::kHello) return onEnd(link, LinkEnd::kBeforeHello);
  PeerIntroduction other;
  if (!decodeIntroduction(frame.payload, other)) return onEnd(link, LinkEnd::kBadHello);
  const LinkEnd end = checkIntroduction(link, other);
  if (end == LinkEnd::kClosed) return comeUp(link, other);
  const bool known = peers_.count(other.name) != 0;
  finish(link, end, known ? other.name : "");
}

LinkEnd Links::checkIntroduction(const Link& link, const PeerIntroduction& other) const {
  if (other.fleet != options_.me.fleet) return LinkEnd::kOtherFleet;
  if (other.name == options_.me.name) return LinkEnd::kOwnName;
  const auto at = peers_.find(other.name);
  if (at == peers_.end()) return LinkEnd::kUnknownName;
  if (link.dialled() && at->second.dial.get() != &link) return LinkEnd::kOtherName;
  return checkAgainstExisting(link, at->second, other);
}

LinkEnd Links::checkAgainstExisting(const Link& link, const Peer& peer, const PeerIntroduction& other) const {
  const bool sameLife = peer.last.life == other.incarnation.life;
  if (sameLife && other.incarnation.start < peer.last.start) return LinkEnd::kOlder;
  const bool ownNameSmaller = options_.me.name < other.name;
  if (!peer.link) {
    // Our own connection has sent its hello and is the one to keep; the peer handles the opposite case. A
    // connection that has waited longer is unlikely to be accepted.
    const Link* ownDial = peer.dial.get();
    const bool ownDialPending = ownDial && ownDial != &link &&
                                ownDial->phase() == Link::Phase::kIntroducing &&
                                parts_.loop.nowMs() - ownDial->beganMs() < options_.tuning.duplicateLinkMs;
    return ownDialPending && ownNameSmaller ? LinkEnd::kReplaced : LinkEnd::kClosed;
  }
  if (!sameLife) return LinkEnd::kNameTaken;
  const bool newer = other.incarnation.start > peer.last.start;
  const bool old = parts_.loop.nowMs() - peer.link->beganMs() >= options_.tuning.duplicateLinkMs;
  const bool dialledAlike = link.dialled() == peer.link->dialled();
  const bool dialledBySmaller = link.dialled() == ownNameSmaller;
  return newer || old || dialledAlike || dialledBySmaller ? LinkEnd::kClosed : LinkEnd::kReplaced;
}

void Links::comeUp(Link& link, const PeerIntroduction& other) {
  Peer& peer = peers_.at(other.name);
  if (peer.link) onEnd(*peer.link, LinkEnd::kReplaced);
  if (peer.dial && peer.dial.get() != &link) onEnd(*peer.dial, LinkEnd::kReplaced);
  if (!link.dialled()) onConnected(link);
  peer.link = detach(link);
  peer.last = other.incarnation;
  link.comeUp();
  ++figures_.ups;
  sink_.onPeerUp(other);
}

}  // namespace myrtleloft
