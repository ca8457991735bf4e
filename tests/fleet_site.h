// Links of several relays on one event loop, and a scripted peer on a bare socket.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "fleet/frame.h"
#include "fleet/links.h"
#include "net/clock.h"
#include "net/loop.h"

namespace myrtleloft {

// Links of one relay, with a record of the calls to its sink.
struct LinkedRelay : PeerSink {
  LinkedRelay(Loop& loop, const std::string& name, LinkTuning tuning, Incarnation incarnation = {5, 1},
              const std::string& listen = "127.0.0.1:0")
      : name_(name) {
    Links::Options options;
    options.me = {"vina", name, "norte", incarnation};
    options.listen = parseAddress(listen).value();
    options.tuning = tuning;
    options.queueBytes = kMinQueueBytes;
    links = std::make_unique<Links>(Links::Parts{loop, log}, std::move(options), *this);
    std::string error;
    opened = links->open(error);
  }
  void onPeerUp(const PeerIntroduction& peer) override {
    told.push_back("up " + peer.name), last[peer.name] = peer;
  }
  void onPeerDown(const std::string& peer) override { told.push_back("down " + peer); }
  bool onPeerMessage(const std::string& peer, FleetKind kind, std::string_view payload) override {
    if (kind == FleetKind::kAudit) return false;  // plays a package that cannot decode the payload
    got[peer].emplace_back(kind, std::string(payload));
    return true;
  }
  void onPeerWritable(const std::string& peer) override { rooms.push_back(peer); }

  const std::string& name() const { return name_; }
  std::size_t count(const std::string& what) const {
    return static_cast<std::size_t>(std::count(told.begin(), told.end(), what));
  }
  std::uint64_t ends(LinkEnd end) const { return links->figures().ends[static_cast<std::size_t>(end)]; }
  FleetPlan::Peer peer(const std::string& name) const {
    return {name, parseAddress(links->listening()).value()};
  }

  std::string name_;
  std::ostringstream log;
  bool opened = false;
  std::vector<std::string> told, rooms;
  std::map<std::string, PeerIntroduction> last;
  std::map<std::string, std::vector<std::pair<FleetKind, std::string>>> got;
  std::unique_ptr<Links> links;
};

// A socket that sends the bytes that the test gives it.
struct RawPeer {
  explicit RawPeer(const std::string& address) : fd(connectTo(parseAddress(address).value())) {}
  explicit RawPeer(Fd accepted) : fd(std::move(accepted)) {}

  void say(const std::string& bytes) { out += bytes; }
  void hello(const PeerIntroduction& me) { say(frameOf(FleetKind::kHello, encodeIntroduction(me))); }
  void turn() {
    if (!fd || closed) return;
    std::size_t put = 0;
    if (writeSome(fd, out, put) == Io::kFailed) closed = true;
    out.erase(0, put);
    while (reads && !closed) {
      const Io io = readSome(fd, in);
      if (io == Io::kWouldBlock) break;
      if (io != Io::kProgress) closed = true;
    }
  }

  Fd fd;
  std::string in, out;
  bool reads = true, closed = false;
};

// The real clock plus an offset that the test sets.
struct SkippingClock : Clock {
  double steadyMs() const override { return Clock::steadyMs() + skippedMs; }
  double skippedMs = 0;
};

struct FleetSite {
  // Short timeouts for those that tests wait for, and long ones for those that must not expire.
  static LinkTuning tuning() {
    LinkTuning t;
    t.helloMs = 300;
    t.frameTimeoutMs = 200;
    t.stallMs = 300;
    t.minRedialDelayMs = 10;
    t.maxRedialDelayMs = 50;
    t.headStartMs = 20;
    t.tickMs = 10;
    t.duplicateLinkMs = 100;
    t.silenceTimeoutMs = 60e3;
    t.gapMs = 60e3;
    return t;
  }
  // Returns false if `done` is not true within 20 s.
  template <typename Done>
  bool until(Done&& done) {
    const double endMs = clock.steadyMs() + 20e3;
    while (!done()) {
      if (clock.steadyMs() > endMs) return false;
      for (RawPeer* raw : raws) raw->turn();
      loop.after(2, [] {});
      loop.runOnce();
    }
    return true;
  }

  SkippingClock clock;
  Loop loop{clock};
  std::vector<RawPeer*> raws;
};

}  // namespace myrtleloft
