// One TCP connection to another relay: frames in and out, both bounded, and watched for what does not go on.
// It knows nothing of who the peer is; its owner (fleet/links.h) decides that, and when it is over.
//
// Reading: at most `readShare` bytes in one turn of the loop, so that no peer holds up the others or the
// clients; a frame goes to the owner as soon as it is whole, so nothing is queued but the one half read.
// Writing: the members' lane first, then the others in turn. Into the kernel goes only what it can pass on
// soon (TCP_NOTSENT_LOWAT), so that the members' lane does not wait behind megabytes.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "fleet/frame.h"
#include "fleet/link_end.h"
#include "net/loop.h"
#include "net/socket.h"

namespace myrtleloft {

// Spans in ms. From the protocol: a peer that lives answers a hello in a round trip; each span leaves seconds
// for a stalled one.
struct LinkTuning {
  double helloMs = 2000;           // from the connection's begin to the other's hello
  double frameTimeoutMs = 5000;    // from a frame's first byte to its last
  double stallMs = 5000;           // something waits, and nothing could be written
  double silenceTimeoutMs = 5000;  // after a question nothing came
  double duplicateLinkMs =
      1000;  // a link so old gives way to a new one: its peer would not dial, had it this one
  double minRedialDelayMs = 100, maxRedialDelayMs = 5000;  // between two dials; doubles, half of it jitter
  double headStartMs = 500;                                // the greater name of the two dials so much later
  double tickMs = 100;
  double gapMs = 1000;  // between two ticks: the process stood still, and all spans begin anew
  std::size_t bytesPerTurn =
      256 * 1024;                    // read from all links in a turn; a link has its share, 4 KiB at least
  std::uint64_t framesPerS = 20000;  // from one peer; more is a flood. Packages send in batches
};

class Link {
 public:
  enum class Phase { kConnecting, kIntroducing, kUp, kClosed };
  enum class Lane { kMembers, kOthers };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void onConnected(Link& link) = 0;
    // May close the link, but not destroy it before the loop's turn is over; so may the others.
    virtual void onFrame(Link& link, const Frame& frame) = 0;
    virtual void onEnd(Link& link, LinkEnd end) = 0;
    // Bytes in the lane of the others have become fewer.
    virtual void onWritten(Link& link) = 0;
    virtual std::size_t readShare() const = 0;
  };

  // One that the peer opened, and one that is opened here. `fd` may be empty: then phase() is kClosed.
  Link(Loop& loop, Owner& owner, const LinkTuning& tuning, Fd fd, bool dialled);
  ~Link() { close(); }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  Phase phase() const { return phase_; }
  bool dialled() const { return dialled_; }
  double beganMs() const { return beganMs_; }  // or came up, once it is up
  void comeUp();
  // Queues a frame; the owner has looked at the bounds.
  void queue(Lane lane, FleetKind kind, std::string_view payload);
  std::size_t queued(Lane lane) const { return bytes_[static_cast<int>(lane)]; }
  // What does not go on for longer than it may; kClosed: all is well.
  LinkEnd overdue() const;
  // The process stood still: what did not come meanwhile counts for nothing.
  void restartTimeouts();
  void close();

 private:
  void onEvents(short revents);
  void read();
  // Hands out whole frames; false: it is over.
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
  std::size_t bytes_[2] = {0, 0};  // in the lane, and of it in `out_`
  std::string out_;                // being written
  std::size_t written_ = 0, outBytes_[2] = {0, 0};
  // 0: nothing of the kind is waited for.
  double frameSinceMs_ = 0, writeSinceMs_ = 0, pingSentMs_ = 0;
  double secondMs_ = 0;
  std::uint64_t framesInSecond_ = 0;
};

}  // namespace myrtleloft
