// One TCP connection to another relay: reads and writes frames, with bounded buffers and timeouts. It does
// not know which peer it serves; its owner (fleet/links.h) decides that, and when the link is closed.
//
// Reading: at most `readShare` bytes in one turn of the event loop, so that no peer delays the others or the
// clients. A complete frame is passed to the owner at once; only an incomplete frame is buffered.
// Writing: the membership lane first, then the other lane. TCP_NOTSENT_LOWAT limits unsent data in the
// kernel, so that membership messages do not wait behind megabytes of other data.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "fleet/frame.h"
#include "fleet/link_end.h"
#include "net/loop.h"
#include "net/socket.h"

namespace myrtleloft {

// Timeouts in ms. A live peer answers a hello within one round trip; each timeout allows seconds more for a
// stalled peer.
struct LinkTuning {
  double helloMs = 2000;           // from the start of the connection to the peer's hello
  double frameTimeoutMs = 5000;    // from the first byte of a frame to its last
  double stallMs = 5000;           // data is pending, and nothing could be written
  double silenceTimeoutMs = 5000;  // nothing was received after a ping
  double duplicateLinkMs =
      // A link up for this long yields to a new one from its peer, which would not dial if it still had the
      // link.
      1000;
  double minRedialDelayMs = 100,
         maxRedialDelayMs = 5000;  // delay between two dials; it doubles, with 50% jitter
  double headStartMs = 500;        // extra delay of the relay with the greater name
  double tickMs = 100;
  double gapMs = 1000;  // a longer gap between two ticks restarts all timeouts, as the process did not run
  std::size_t bytesPerTurn =
      256 * 1024;  // limit for reading from all links in a turn; each link may read at least 4 KiB
  std::uint64_t framesPerS =
      20000;  // limit for one peer, as packages send in batches; more frames are a flood
};

class Link {
 public:
  enum class Phase { kConnecting, kIntroducing, kUp, kClosed };
  enum class Lane { kMembers, kOthers };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void onConnected(Link& link) = 0;
    // May close this or other links, but must not destroy one before the turn of the loop ends.
    virtual void onFrame(Link& link, const Frame& frame) = 0;
    virtual void onEnd(Link& link, LinkEnd end) = 0;
    // Called when queued bytes of the kOthers lane were written.
    virtual void onWritten(Link& link) = 0;
    virtual std::size_t readShare() const = 0;
  };

  // Takes an accepted connection or, if `dialled`, one being opened. With an empty `fd` phase() is kClosed.
  Link(Loop& loop, Owner& owner, const LinkTuning& tuning, Fd fd, bool dialled);
  ~Link() { close(); }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  Phase phase() const { return phase_; }
  bool dialled() const { return dialled_; }
  double beganMs() const { return beganMs_; }  // time of the connection attempt, or of comeUp() once it is up
  void comeUp();
  // Queues a frame. The owner must have checked the bounds.
  void queue(Lane lane, FleetKind kind, std::string_view payload);
  std::size_t queued(Lane lane) const { return bytes_[static_cast<int>(lane)]; }
  // Returns the timeout that has expired, or kClosed if none has.
  LinkEnd overdue() const;
  // Restarts all timeouts after the process did not run, as data may wait unread.
  void restartTimeouts();
  void close();

 private:
  void onEvents(short revents);
  void read();
  // Passes complete frames to the owner. Returns false if the link was closed.
  bool deliver();
  void write();
  void refill();
  void updatePollEvents() { loop_.setEvents(fd_.get(), writing() ? POLLIN | POLLOUT : POLLIN); }
  bool writing() const { return !out_.empty() || !lanes_[0].empty() || !lanes_[1].empty(); }
  void end(LinkEnd end);

  Loop& loop_;
  Owner& owner_;
  const LinkTuning& tuning_;
  Fd fd_;
  bool dialled_;
  Phase phase_;
  double beganMs_;
  FrameReader reader_;
  std::deque<std::string> lanes_[2];
  std::size_t bytes_[2] = {0, 0};  // queued in each lane, including its part of `out_`
  std::string out_;                // bytes being written
  std::size_t written_ = 0, outBytes_[2] = {0, 0};
  // Start times of the running timeouts; 0 while a timeout is not running.
  double frameSinceMs_ = 0, writeSinceMs_ = 0, pingSentMs_ = 0;
  double secondMs_ = 0;
  std::uint64_t framesInSecond_ = 0;
};

}  // namespace myrtleloft
