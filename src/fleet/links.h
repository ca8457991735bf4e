// The links of one relay to the others of its fleet: one listener for relays only, one TCP link for each
// pair.
//
//   Links links({loop, log}, {me, listen, peers, queueBytes, seed}, sink);
//   if (!links.open(error)) ...
//   links.send("n2", FleetKind::kCopy, payload);
//
// Both ends dial, the one with the greater name somewhat later. Who dials says hello; who is dialled answers
// it once it has accepted. Of two links between the same two starts the one dialled by the smaller name
// stays, except that one that has been up for `duplicateLinkMs` gives way: its peer would not dial, had it
// not lost it. A link from a later start of the same life takes the place of an earlier one's, an earlier
// start than the last seen is refused, and another life only comes in while no link stands.
//
// What is refused (fleet/link_end.h) is closed and counted, and told once for each peer and reason; nothing
// of it reaches the sink. It costs the other peers at most its share of a turn's reading. Bounds:
// fleet/bounds.h.
//
// Silence: a link is closed when a question (FleetKind::kPing) was sent over it and nothing at all came
// for `silenceTimeoutMs`. The links ask no question of their own: the members' are enough, and only what they
// cannot reach matters. A machine that is gone is seen by TCP's keepalive too, within 8 s.
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
    std::size_t queueBytes = kMinQueueBytes;  // for each peer; from kMinQueueBytes
    std::uint64_t seed = 1;                   // of the jitter
    LinkTuning tuning;
  };
  struct Figures {
    std::uint64_t dials = 0, ups = 0, downs = 0, refused = 0, refusedSends = 0;
    std::uint64_t framesIn = 0, framesOut = 0, bytesIn = 0, bytesOut = 0;  // of payload
    std::array<std::uint64_t, static_cast<std::size_t>(LinkEnd::kCount)> ends{};
  };

  // `sink` outlives it, and is told of nothing in the destructor.
  Links(const Parts& parts, Options options, PeerSink& sink);
  ~Links() override;

  // Listens and begins to dial. false: `error` says why.
  bool open(std::string& error);
  std::string listening() const { return listener_ ? localAddress(listener_) : ""; }
  // The operator's new list: links to those that are gone, or at another address, are closed.
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
    std::unique_ptr<Link> link;  // up
    std::unique_ptr<Link> dial;  // on its way
    double dialAtMs = 0, pauseMs = 0;
    Incarnation last;      // the last one that was accepted
    bool refused = false;  // a send; onPeerWritable is due
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
  // Why this one may not come in; kClosed: it may.
  LinkEnd checkIntroduction(const Link& link, const PeerIntroduction& other) const;
  // The same for one that is who it says, beside what there is already.
  LinkEnd checkAgainstExisting(const Link& link, const Peer& peer, const PeerIntroduction& other) const;
  void comeUp(Link& link, const PeerIntroduction& other);
  // Whose it is, as far as known; end() where it has not introduced itself.
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
  std::vector<std::unique_ptr<Link>> pendingIntroductions_;  // the oldest first
  std::vector<std::unique_ptr<Link>>
      closedLinks_;  // until the turn is over: a handler of theirs may still run
  std::set<std::pair<std::string, LinkEnd>> loggedRefusals_;
  Loop::Timer tickTimer_ = Loop::kNoTimer, closedLinksTimer_ = Loop::kNoTimer;
  double lastTickMs_ = 0;
  std::mt19937_64 random_;
  Figures figures_;
};

}  // namespace myrtleloft
