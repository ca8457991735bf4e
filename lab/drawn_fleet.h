// Relays of a fleet under virtual time, on a network drawn from a seed: delays, loss, one-way cuts, links
// that drop and come up again, processes that stall, crash and start anew. It carries any kind and looks at
// none.
//
//   DrawnFleet fleet(seed, traits);
//   fleet.add("n1", "b1", [](FleetPort& port) { return std::make_unique<SomeNode>(port); });   // a few
//   fleet.start(0);  fleet.start(1);
//   fleet.cut(0, 1);                       // what 0 sends to 1 is gone; the other way is as it was
//   fleet.runUntil(5000);
//   fleet.crash(1, Folder::kKept);  fleet.start(1);
//
// The same seed and the same calls give the same run. One link a pair: in order, each message once or, at the
// stated odds, not at all; it goes down after a crash, and after a cut that lasts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/peer_links.h"

namespace myrtleloft::lab {

class DrawnFleet;

// The links of one node, its clock, and who it is.
class FleetPort : public PeerLinks {
 public:
  bool send(const std::string& peer, FleetKind kind, std::string payload) override;
  bool up(const std::string& peer) const override;
  std::size_t room(const std::string& peer) const override;
  double nowMs() const;
  const PeerIntroduction& self() const { return self_; }
  std::vector<std::string> peers() const;  // all others that were added, there or not
  std::uint64_t seed() const { return seed_; }

 private:
  friend class DrawnFleet;
  DrawnFleet* fleet_ = nullptr;
  int index_ = 0;
  PeerIntroduction self_;
  std::uint64_t seed_ = 0;
};

// A process. It is made anew at each start, and gone with a crash.
class FleetNode : public PeerSink {
 public:
  virtual void onTimer() = 0;
  // Looked at after each call; onTimer comes then, or as soon as a stall is over.
  virtual double nextMs() const = 0;
};

struct NetworkTraits {
  double fastestMs = 0.1, slowestMs = 2;  // one way, drawn evenly
  double loss = 0;                        // share of messages
  double hiccupOdds = 0, hiccupMs = 0;    // share of messages that take as much longer
  double connectMs = 50;                  // up to that for a link, drawn
  double dropAfterMs = 3000;              // a cut that lasts so long, or a crash without a word, drops links
  std::size_t roomBytes = 1 << 20;        // as `room` says; nothing is refused for it
};

enum class Folder : std::uint8_t { kKept, kLost };

class DrawnFleet {
 public:
  using Maker = std::function<std::unique_ptr<FleetNode>(FleetPort&)>;

  DrawnFleet(std::uint64_t seed, const NetworkTraits& traits) : traits_(traits), random_(seed) {}
  int add(const std::string& name, const std::string& building, Maker maker);
  int size() const { return static_cast<int>(hosts_.size()); }

  void start(int node);
  // `told`: the peers' links break at once, as with a killed process; else as with a machine that is gone.
  void crash(int node, Folder folder, bool told = true);
  void stall(int node, double forMs);  // what comes meanwhile, comes then
  void cut(int from, int to);
  void uncut(int from, int to);
  bool isCut(int from, int to) const { return cuts_.contains({from, to}); }
  void setLoss(double share) { traits_.loss = share; }

  void runUntil(double ms);
  double nowMs() const { return nowMs_; }
  FleetNode* node(int index) {
    return hosts_.at(static_cast<std::size_t>(index)).node.get();
  }  // nullptr: down
  const PeerIntroduction& self(int index) const {
    return hosts_.at(static_cast<std::size_t>(index)).port->self_;
  }
  // Of payloads handed to the network, by sender.
  struct Sent {
    std::uint64_t messages = 0, bytes = 0;
  };
  const Sent& sent(int index) const { return hosts_.at(static_cast<std::size_t>(index)).sent; }
  double drawn(double low, double high);
  std::uint64_t drawn() { return random_(); }

 private:
  friend class FleetPort;
  struct Host {
    std::unique_ptr<FleetPort> port;
    Maker maker;
    std::unique_ptr<FleetNode> node;
    double stalledUntilMs = 0, timerMs = 0;
    std::uint64_t process = 0, timer = 0;  // which of its processes; which of its timers counts
    std::vector<std::uint64_t> linkTo;     // by peer: the link that is up as it sees it; 0: none
    std::vector<double> quietUntilMs;      // by peer: what is sent arrives no sooner, so that order is kept
    Sent sent;
  };
  struct Event {
    enum class Kind : std::uint8_t { kTimer, kMessage, kUp, kDown, kConnect, kDrop };
    double atMs = 0;
    std::uint64_t order = 0;
    Kind kind = Kind::kTimer;
    int node = 0, peer = 0;
    std::uint64_t process = 0, link = 0;
    FleetKind message{};
    std::string payload;
    PeerIntroduction introduction;
    bool operator<(const Event& other) const {
      return atMs != other.atMs ? atMs > other.atMs : order > other.order;
    }
  };

  Host& host(int index) { return hosts_[static_cast<std::size_t>(index)]; }
  void push(Event event);
  bool send(int from, int to, FleetKind kind, std::string payload);
  void connectSoon(int a, int b);
  void connect(int a, int b);
  void drop(int a, int b, std::uint64_t link, double inMs);
  void play(Event event);
  void playAt(Host& host, const Event& event);
  void setTimer(int index);

  NetworkTraits traits_;
  std::mt19937_64 random_;
  double nowMs_ = 0;
  std::uint64_t order_ = 0, processes_ = 0, links_ = 0;
  std::vector<Host> hosts_;
  std::map<std::string, int, std::less<>> byName_;
  std::map<std::pair<int, int>, std::uint64_t> cuts_;   // to the number of the cut
  std::map<std::pair<int, int>, std::uint64_t> pairs_;  // lower, higher: the link that is up
  std::priority_queue<Event> events_;
};

}  // namespace myrtleloft::lab
