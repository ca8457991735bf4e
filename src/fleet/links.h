// Links of one relay to the others of its fleet: one listener for relays only, and one TCP link for each
// pair.
//
//   Links links({loop, log}, {me, listen, peers, queueBytes, seed}, sink);
//   if (!links.open(error)) ...
//   links.send("n2", FleetKind::kCopy, payload);
//
// Both ends dial; the one with the greater name starts somewhat later. The dialling side sends its hello
// first, and the accepting side answers after it has accepted the hello. If two links connect the same two
// incarnations, the one dialled by the smaller name is kept, except that a link older than `duplicateLinkMs`
// is replaced: its peer would not dial if it still had that link. A link from a later run (`start`) of the
// same `life` replaces an earlier one; an earlier run than the last one seen is refused. Another `life` is
// accepted only while no link is up.
//
// A refused connection (fleet/link_end.h) is closed and counted, and logged once for each peer and reason.
// None of its messages reaches the sink, and it takes at most its share of the reads in a turn. Bounds:
// fleet/bounds.h.
//
// A link is closed as silent if nothing was received within `silenceTimeoutMs` after a ping
// (FleetKind::kPing) was sent over it. The links send no pings of their own, as those of the members suffice.
// TCP keepalive also detects a lost machine, within 8 s.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/bounds.h"
#include "fleet/link.h"
#include "fleet/peer_links.h"
#include "fleet/plan.h"
#include "log/log.h"

namespace myrtleloft {

class Links : public PeerLinks, private Link::Owner {
 public:
  struct Parts {
    Loop& loop;
    Log log;
  };
  struct Options {
    PeerIntroduction me;
    Address listen;
    std::vector<FleetPlan::Peer> peers;
    std::size_t queueBytes = kMinQueueBytes;  // for each peer; at least kMinQueueBytes
    std::uint64_t seed = 1;                   // seed of the jitter
    LinkTuning tuning;
  };
  struct Figures {
    std::uint64_t dials = 0, ups = 0, downs = 0, refused = 0, refusedSends = 0;
    std::uint64_t framesIn = 0, framesOut = 0, bytesIn = 0, bytesOut = 0;  // bytes of payload
    std::array<std::uint64_t, static_cast<std::size_t>(LinkEnd::kCount)> ends{};
  };

  // `sink` must outlive this object; the destructor does not call it.
  Links(const Parts& parts, Options options, PeerSink& sink);
  ~Links() override;

  // Listens and starts to dial. Returns false and sets `error` on failure.
  bool open(std::string& error, int* errorNumber = nullptr);
  std::string listening() const { return listener_ ? localAddress(listener_) : ""; }
  // Applies the new list of the operator: closes links to peers that were removed or have a new address.
  void setPeers(const std::vector<FleetPlan::Peer>& peers);

  bool send(const std::string& peer, FleetKind kind, std::string payload) override;
  bool up(const std::string& peer) const override;
  std::size_t room(const std::string& peer) const override;

  std::size_t linksUp() const;
  std::size_t peers() const { return peers_.size(); }
  const Figures& figures() const { return figures_; }

 private:
  struct Peer {
    Address address;
    std::unique_ptr<Link> link;  // established link
    std::unique_ptr<Link> dial;  // connection being opened
    double dialAtMs = 0, redialDelayMs = 0;
    Incarnation last;      // last accepted incarnation
    bool refused = false;  // a send was refused; onPeerWritable is pending
  };
  using Peers = std::map<std::string, Peer>;

  void onConnected(Link& link) override;
  void onFrame(Link& link, const Frame& frame) override;
  void onEnd(Link& link, LinkEnd end) override;
  void onWritten(Link& link) override;
  std::size_t readShare() const override;

  std::unique_ptr<Link> makeLink(Fd fd, bool dialled);
  void tick();
  void dial(const std::string& name, Peer& peer);
  void scheduleDial(const std::string& name, Peer& peer);
  void accept();
  void onIntroduction(Link& link, const Frame& frame);
  // Returns the reason to refuse this peer, or kClosed if it is accepted.
  LinkEnd checkIntroduction(const Link& link, const PeerIntroduction& other) const;
  // Checks an identified peer against the links that it already has; the result is as above.
  LinkEnd checkAgainstExisting(const Link& link, const Peer& peer, const PeerIntroduction& other) const;
  void comeUp(Link& link, const PeerIntroduction& other);
  // Returns the peer of the link, or end() if it has not introduced itself.
  Peers::iterator ownerOf(const Link& link);
  std::unique_ptr<Link> detach(Link& link);
  void finish(Link& link, LinkEnd end, const std::string& name);
  void logRefusal(const std::string& name, LinkEnd end);
  void destroyLater(std::unique_ptr<Link> link);
  double jitter() { return std::uniform_real_distribution<double>(0.5, 1.5)(random_); }

  Parts parts_;
  Options options_;
  PeerSink& sink_;
  Fd listener_;
  Peers peers_;
  std::vector<std::unique_ptr<Link>> pendingIntroductions_;  // oldest first
  std::vector<std::unique_ptr<Link>>
      closedLinks_;  // closed in this turn of the loop; their handlers may still be running
  std::set<std::pair<std::string, LinkEnd>> loggedRefusals_;
  Loop::Timer tickTimer_ = Loop::kNoTimer, closedLinksTimer_ = Loop::kNoTimer;
  double lastTickMs_ = 0;
  std::mt19937_64 random_;
  Figures figures_;
};

}  // namespace myrtleloft
