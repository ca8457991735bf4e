// A library to be loaded before the C library (LD_PRELOAD) into a relay under test. It makes system calls
// fail as the page of lab/fault_shim.h asks, in ways that their manual pages document, and moves the wall
// clock. Without a page it changes nothing.
//
// Descriptors are told apart by how they were made: files below BALANCER_STATE, sockets that were accepted,
// and sockets that were connected. A fatal error (ETIMEDOUT, EHOSTUNREACH, ECONNRESET) is made up only for
// connected ones, and the connection is ended with it, as the system would; an accepted one gets EINTR,
// ENOBUFS, and short reads and writes.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

#include "lab/fault_shim_state.h"

namespace {

using namespace myrtleloft::lab;
using namespace myrtleloft::lab::shim;

bool networkFails() {
  if (!page() || !drawn(page()->networkPerMille)) return false;
  ++page()->failedCalls;
  return true;
}

// Ends a connection as the error says that it has ended.
ssize_t breakConnection(int fd) {
  ::shutdown(fd, SHUT_RDWR);
  return failWith(std::array{ETIMEDOUT, EHOSTUNREACH, ECONNRESET});
}

// Not the log's pipe: a stand there would lie between a relay's last look at its sockets and its write.
bool writesToSocket(const pollfd& polled) {
  const FdKind kind = kindOf(polled.fd);
  return (polled.events & POLLOUT) && (kind == FdKind::kConnected || kind == FdKind::kAccepted);
}

bool breaks(int fd) { return kindOf(fd) == FdKind::kConnected && nextRandom() % 2 == 0; }

}  // namespace

extern "C" {

int signalfd(int fd, const sigset_t* signals, int flags) noexcept {
  static const auto next = real<int(int, const sigset_t*, int)>("signalfd");
  if (scripted(ShimCall::kSignalfd)) return -1;
  if (networkFails()) return failWith(std::array{ENFILE, ENOMEM});
  return next(fd, signals, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto next = real<int(int, int, int)>("socket");
  if (scripted(ShimCall::kSocket)) return -1;
  if (networkFails()) return failWith(std::array{ENFILE, ENOBUFS, ENOMEM});
  const int fd = next(domain, type, protocol);
  setKind(fd, FdKind::kOther);
  return fd;
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto next = real<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (networkFails()) return failWith(std::array{ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO});
  const int accepted = next(fd, address, size, flags);
  setKind(accepted, FdKind::kAccepted);
  return accepted;
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto next = real<int(int, const sockaddr*, socklen_t)>("connect");
  if (scripted(ShimCall::kConnect)) return -1;
  if (networkFails()) return failWith(std::array{EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS});
  setKind(fd, FdKind::kConnected);
  return next(fd, address, size);
}

int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
  static const auto next = real<int(int, int, int, void*, socklen_t*)>("getsockopt");
  if (level == IPPROTO_TCP && networkFails()) return failWith(std::array{ENOBUFS, ENOPROTOOPT});
  if (level == IPPROTO_TCP && name == TCP_INFO && page() && page()->hidesArrivals) {
    std::memset(value, 0, *size);
    return 0;
  }
  return next(fd, level, name, value, size);
}

int poll(pollfd* fds, nfds_t count, int timeoutMs) {
  static const auto next = real<int(pollfd*, nfds_t, int)>("poll");
  if (networkFails()) return failWith(std::array{EINTR, ENOMEM});
  const bool stands =
      std::any_of(fds, fds + count, writesToSocket) && page() && drawn(page()->standsPerMille);
  const bool standsBefore = stands && nextRandom() % 2 == 0;
  if (standsBefore) stand();
  const int ready = next(fds, count, timeoutMs);
  if (stands && !standsBefore) stand();
  return ready;
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto next = real<ssize_t(int, void*, size_t, int)>("recv");
  if (kindOf(fd) == FdKind::kAccepted && scripted(ShimCall::kRecvAccepted)) return -1;
  if ((flags & MSG_PEEK) || !networkFails()) return next(fd, into, size, flags);
  if (breaks(fd)) return breakConnection(fd);
  if (nextRandom() % 2 == 0) return failWith(std::array{EINTR, ENOMEM});
  return next(fd, into, std::min<std::size_t>(size, 1 + nextRandom() % 64), flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto next = real<ssize_t(int, const void*, size_t, int)>("send");
  maybeDelay();
  if (kindOf(fd) == FdKind::kAccepted && scripted(ShimCall::kSendAccepted)) return -1;
  if (!networkFails()) return next(fd, bytes, size, flags);
  if (breaks(fd)) return breakConnection(fd);
  if (nextRandom() % 2 == 0) return failWith(std::array{EINTR, ENOBUFS, ENOMEM});
  return next(fd, bytes, std::min<std::size_t>(size, 1 + nextRandom() % 64), flags);
}

}  // extern "C"
