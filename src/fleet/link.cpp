#include "fleet/link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "fleet/bounds.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kWriteChunkBytes = 64 * 1024;
constexpr int kKernelBytes = 256 * 1024, kUnsentBytes = 64 * 1024;
// TCP keepalive detects a lost machine on an idle link after 5 + 3 x 1 s.
constexpr int kIdleS = 5, kProbeS = 1, kProbes = 3;

void setOption(const Fd& fd, int level, int name, int value) {
  ::setsockopt(fd.get(), level, name, &value, sizeof value);
}

LinkEnd endFor(FrameFault fault) {
  switch (fault) {
    case FrameFault::kVersion:
      return LinkEnd::kVersion;
    case FrameFault::kChecksum:
      return LinkEnd::kChecksum;
    case FrameFault::kOversized:
      return LinkEnd::kOversized;
    case FrameFault::kUnknownKind:
      return LinkEnd::kUnknownKind;
    default:
      return LinkEnd::kNoFrame;
  }
}

}  // namespace

const char* nameOf(LinkEnd end) {
  static constexpr const char* kNames[] = {
      "closed",       "unreachable",  "replaced",  "removed",      "no-hello",
      "silent",       "crowded",      "stalled",   "torn",         "no-frame",
      "version",      "checksum",     "oversized", "unknown-kind", "flood",
      "before-hello", "second-hello", "bad-hello", "other-fleet",  "unknown-name",
      "own-name",     "other-name",   "older",     "name-taken",   "bad-payload"};
  static_assert(sizeof kNames / sizeof *kNames == static_cast<std::size_t>(LinkEnd::kCount));
  return kNames[static_cast<std::size_t>(end)];
}

Link::Link(Loop& loop, Owner& owner, const LinkTuning& tuning, Fd fd, bool dialled)
    : loop_(loop),
      owner_(owner),
      tuning_(tuning),
      fd_(std::move(fd)),
      dialled_(dialled),
      phase_(!fd_      ? Phase::kClosed
             : dialled ? Phase::kConnecting
                       : Phase::kIntroducing),
      beganMs_(loop.nowMs()) {
  if (!fd_) return;
  reader_.allow(kMaxHelloPayloadBytes);
  setOption(fd_, SOL_SOCKET, SO_SNDBUF, kKernelBytes);
  setOption(fd_, SOL_SOCKET, SO_RCVBUF, kKernelBytes);
  setOption(fd_, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd_, IPPROTO_TCP, TCP_KEEPIDLE, kIdleS);
  setOption(fd_, IPPROTO_TCP, TCP_KEEPINTVL, kProbeS);
  setOption(fd_, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  setOption(fd_, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kUnsentBytes);
  loop_.watch(fd_.get(), dialled ? POLLOUT : POLLIN, [this](short revents) { onEvents(revents); });
}

void Link::close() {
  if (!fd_) return;
  loop_.unwatch(fd_.get());
  fd_.reset();
  phase_ = Phase::kClosed;
  for (int i = 0; i < 2; ++i) lanes_[i].clear(), bytes_[i] = outBytes_[i] = 0;
  std::string().swap(out_);
}

void Link::end(LinkEnd end) {
  if (phase_ != Phase::kClosed) owner_.onEnd(*this, end);
}

void Link::comeUp() {
  phase_ = Phase::kUp;
  beganMs_ = loop_.nowMs();
  reader_.allow(kMaxFleetPayloadBytes);
}

void Link::queue(Lane lane, FleetKind kind, std::string_view payload) {
  if (phase_ == Phase::kClosed) return;
  const double now = loop_.nowMs();
  if (!writing()) writeSinceMs_ = now;
  if (kind == FleetKind::kPing && pingSentMs_ == 0) pingSentMs_ = now;
  std::string frame = frameOf(kind, payload);
  bytes_[static_cast<int>(lane)] += frame.size();
  lanes_[static_cast<int>(lane)].push_back(std::move(frame));
  if (phase_ != Phase::kConnecting) updatePollEvents();
}

LinkEnd Link::overdue() const {
  const double now = loop_.nowMs();
  const auto longer = [now](double sinceMs, double limitMs) {
    return sinceMs > 0 && now - sinceMs > limitMs;
  };
  if (phase_ == Phase::kConnecting && longer(beganMs_, tuning_.helloMs)) return LinkEnd::kUnreachable;
  if (phase_ == Phase::kIntroducing && longer(beganMs_, tuning_.helloMs))
    return reader_.midFrame() ? LinkEnd::kTorn : LinkEnd::kNoHello;
  if (phase_ != Phase::kUp) return LinkEnd::kClosed;
  if (longer(frameSinceMs_, tuning_.frameTimeoutMs)) return LinkEnd::kTorn;
  if (writing() && longer(writeSinceMs_, tuning_.stallMs)) return LinkEnd::kStalled;
  return longer(pingSentMs_, tuning_.silenceTimeoutMs) ? LinkEnd::kSilent : LinkEnd::kClosed;
}

void Link::restartTimeouts() {
  const double now = loop_.nowMs();
  for (double* since : {&frameSinceMs_, &writeSinceMs_, &pingSentMs_})
    if (*since > 0) *since = now;
  if (phase_ != Phase::kUp) beganMs_ = now;
}

void Link::onEvents(short revents) {
  if (phase_ == Phase::kConnecting) {
    if (pendingError(fd_) != 0 || !(revents & (POLLIN | POLLOUT))) return end(LinkEnd::kUnreachable);
    phase_ = Phase::kIntroducing;
    beganMs_ = loop_.nowMs();
    owner_.onConnected(*this);
    if (fd_) updatePollEvents();
    return;
  }
  if (revents & (POLLIN | POLLHUP | POLLERR)) read();
  if (fd_ && (revents & POLLOUT)) write();
}

void Link::read() {
  for (std::size_t left = owner_.readShare(); left > 0;) {
    std::string& buffer = reader_.buffer();
    const std::size_t before = buffer.size();
    const Io io = readSome(fd_, buffer);
    if (io == Io::kWouldBlock) return;
    if (io != Io::kProgress) return end(LinkEnd::kClosed);
    left -= std::min(left, buffer.size() - before);
    pingSentMs_ = 0;
    if (!deliver()) return;
  }
}

bool Link::deliver() {
  const double now = loop_.nowMs();
  Frame frame;
  for (;;) {
    const FrameReader::State state = reader_.next(frame);
    if (state == FrameReader::State::kMore) break;
    frameSinceMs_ = 0;
    if (state == FrameReader::State::kBad) return end(endFor(reader_.fault())), false;
    if (now - secondMs_ >= 1000) secondMs_ = now, framesInSecond_ = 0;
    if (++framesInSecond_ > tuning_.framesPerS) return end(LinkEnd::kFlood), false;
    owner_.onFrame(*this, frame);
    if (!fd_) return false;
  }
  if (reader_.midFrame() && frameSinceMs_ == 0) frameSinceMs_ = now;
  return true;
}

void Link::refill() {
  for (int i = 0; i < 2; ++i)
    while (!lanes_[i].empty() && out_.size() < kWriteChunkBytes) {
      std::string& frame = lanes_[i].front();
      outBytes_[i] += frame.size();
      if (out_.empty())
        out_ = std::move(frame);
      else
        out_ += frame;
      lanes_[i].pop_front();
    }
}

void Link::write() {
  if (out_.empty()) refill();
  const std::size_t before = written_;
  const Io io = writeSome(fd_, out_, written_);
  if (io == Io::kFailed) return end(LinkEnd::kClosed);
  if (written_ > before) writeSinceMs_ = loop_.nowMs();
  if (written_ < out_.size()) return;
  std::string().swap(out_);  // frees the memory of idle links
  written_ = 0;
  for (int i = 0; i < 2; ++i) bytes_[i] -= std::exchange(outBytes_[i], 0);
  updatePollEvents();
  owner_.onWritten(*this);
}

}  // namespace myrtleloft
