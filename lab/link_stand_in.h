// Stands on the hub between a relay and one peer of it: the relay dials the stand-in's address, and the
// stand-in the peer's. It knows nothing of frames; all its faults are of bytes.
//
//   LinkStandIn link(hub, "127.0.0.1:7102");
//   link.set(LinkStandIn::Way::kThere, {.holds = true});   // cut one way
//   link.heal();
//   hub.run([&] { link.turn(); return done; }, 2000);
//
// What it holds is bounded for each connection and way: at the bound it reads no more, so that the sender's
// window fills as on a real link. One thread; must outlive the hub's last turn.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>

#include "lab/hub.h"

namespace myrtleloft::lab {

class LinkStandIn {
 public:
  enum class Way : std::uint8_t { kThere, kBack };  // from who dialled; towards it
  struct Faults {
    bool holds = false;  // bytes wait, also the word that a side has ended; the connection stays
    bool drops = false;  // bytes are lost; the connection stays until `heal`, which resets it
    double delayMs = 0;
    double bytesPerS = 0;  // 0: no bound
    // After so many bytes more of that way, over all its connections; each happens once.
    std::optional<std::size_t> resetAfter = {}, spoilAfter = {};
    // Behind so many bytes of its own, the next connection carries all bytes of the last one that ended.
    std::optional<std::size_t> repeatAfter = {};
  };

  LinkStandIn(Hub& hub, std::string target, std::size_t mostHeld = 256 * 1024);
  LinkStandIn(const LinkStandIn&) = delete;
  LinkStandIn& operator=(const LinkStandIn&) = delete;

  const std::string& address() const { return address_; }
  void set(Way way, const Faults& faults) { faults_[index(way)] = faults; }
  void heal();
  // Passes on what is due; to be called often.
  void turn();
  std::size_t connections() const { return pairs_.size(); }
  std::size_t held() const;

 private:
  static constexpr std::size_t kMostRecorded = 64 * 1024;
  struct Chunk {
    double dueMs = 0;
    std::string bytes;
  };
  struct Lane {
    Hub::Id from = 0, to = 0;
    std::deque<Chunk> waiting;
    std::size_t waitingBytes = 0, own = 0;
    std::optional<std::size_t> repeatAt;
    std::string recorded;
    bool lost = false, ended = false;
  };
  struct Pair {
    std::array<Lane, 2> lanes;
    bool over = false;
  };
  static std::size_t index(Way way) { return static_cast<std::size_t>(way); }
  void open(Hub::Id near);
  void take(Hub::Id from, std::string bytes);
  void queue(Lane& lane, std::string bytes, double dueMs);
  void ended(Hub::Id id);
  void pass(Pair& pair, std::size_t way);
  void finish(Pair& pair, bool reset);

  Hub& hub_;
  std::string target_, address_;
  std::size_t mostHeld_;
  std::array<Faults, 2> faults_;
  std::array<std::string, 2> earlier_;
  std::array<double, 2> allowance_{};  // bytes, of a throttled way
  double passedMs_ = 0;
  std::list<Pair> pairs_;
};

}  // namespace myrtleloft::lab
