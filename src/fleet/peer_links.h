// The two sides of the links as other packages see them. `Links` (fleet/links.h) implements the first on the
// loop; tests put a drawn network in its place.
//
// One thread. Nothing here waits: what a link cannot take now is refused, and the caller decides what that
// means.
#pragma once

#include <string>
#include <string_view>

#include "fleet/message.h"

namespace myrtleloft {

class PeerLinks {
 public:
  virtual ~PeerLinks() = default;
  // Queues one message behind all that were queued for that peer. false: there is no link, or its queue is
  // full; nothing was queued. Kinds of the members go before all others, within a bound of their own, so that
  // a peer does not look dead behind a queue. A message that was queued may still be lost with its link, and
  // one that was sent arrives once, whole and in order within one link, or not at all. O(size).
  virtual bool send(const std::string& peer, FleetKind kind, std::string payload) = 0;
  // Whether the link is up: both have introduced themselves. It says nothing of whether the peer still lives.
  virtual bool up(const std::string& peer) const = 0;
  // Bytes of payload that `send` would take at least, for kinds that are not the members'. 0 without a link.
  virtual std::size_t room(const std::string& peer) const = 0;
};

class PeerSink {
 public:
  virtual ~PeerSink() = default;
  // Comes before any message of that link. At most one link a peer is up.
  virtual void onPeerUp(const PeerIntroduction& peer) = 0;
  // Comes once after each onPeerUp; what was queued and not sent is gone.
  virtual void onPeerDown(const std::string& peer) = 0;
  // false: the payload is not of that kind. It is counted, told once, and the link is closed; the sink has
  // taken nothing of it.
  virtual bool onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) = 0;
  // A queue that had refused something has room for half of its bound again.
  virtual void onPeerWritable(const std::string& peer) = 0;
};

}  // namespace myrtleloft
