// Interface between the links and the other packages. `Links` (fleet/links.h) implements `PeerLinks` on the
// event loop; tests use a simulated network instead. Single-threaded. No call blocks: a message that a link
// cannot queue is refused, and the caller decides what follows.
#pragma once

#include <string>
#include <string_view>

#include "fleet/message.h"

namespace myrtleloft {

class PeerLinks {
 public:
  virtual ~PeerLinks() = default;
  // Appends one message to the queue of that peer. Returns false, with nothing queued, if there is no link or
  // the queue is full. Membership messages are sent before all others, within a bound of their own, so that a
  // full queue does not make the peer seem dead. A queued message may be lost with its link. Within one link
  // each message is delivered at most once, complete and in order. O(size).
  virtual bool send(const std::string& peer, FleetKind kind, std::string payload) = 0;
  // Whether both sides of the link have introduced themselves. This does not imply that the peer is alive.
  virtual bool up(const std::string& peer) const = 0;
  // Returns the payload bytes that `send` would accept now for kinds other than membership; 0 without a link.
  virtual std::size_t room(const std::string& peer) const = 0;
};

class PeerSink {
 public:
  virtual ~PeerSink() = default;
  // Called before any message of that link. At most one link per peer is up.
  virtual void onPeerUp(const PeerIntroduction& peer) = 0;
  // Called once after each onPeerUp; queued messages that were not sent are lost.
  virtual void onPeerDown(const std::string& peer) = 0;
  // Returns false, having used nothing of it, if the payload is not valid for that kind. The links then count
  // the refusal, log it once and close the link.
  virtual bool onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) = 0;
  // Called when a queue that refused a message is at most half full again.
  virtual void onPeerWritable(const std::string& peer) = 0;
};

}  // namespace myrtleloft
