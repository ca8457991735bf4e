#include "net/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <cstring>

namespace myrtleloft {
namespace {

constexpr int kMaxFailures = 16;  // failed reads of one discardInput call

void disableNagle(const Fd& fd) {
  const int enabled = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

// Returns true if the failed operation can be retried later on the same connection (man recv, man send).
bool isTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == ENOBUFS || error == ENOMEM;
}

// Returns true if connecting failed for lack of a resource on this machine, independent of the peer.
bool isLocalFailure(int error) {
  return error == EADDRNOTAVAIL || error == ENOBUFS || error == ENOMEM || error == EAGAIN;
}

const sockaddr* asSockaddr(const Address& address) { return reinterpret_cast<const sockaddr*>(&address.raw); }

}  // namespace

std::optional<Address> parseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string host(text.substr(0, colon));
  const std::string_view portText = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (error != std::errc() || end != portText.data() + portText.size()) return std::nullopt;
  Address address;
  address.text = text;
  address.raw.sin_family = AF_INET;
  address.raw.sin_port = htons(port);
  if (::inet_pton(AF_INET, host.c_str(), &address.raw.sin_addr) != 1) return std::nullopt;
  return address;
}

Fd listenOn(const Address& address, std::string& error, int* errorNumber) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (!fd || ::bind(fd.get(), asSockaddr(address), sizeof address.raw) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0) {
    if (errorNumber) *errorNumber = errno;
    error = "cannot listen on " + address.text + ": " + std::strerror(errno);
    return Fd();
  }
  return fd;
}

std::string localAddress(const Fd& fd) {
  sockaddr_in raw{};
  socklen_t size = sizeof raw;
  std::array<char, INET_ADDRSTRLEN> host{};
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&raw), &size) != 0) return "";
  ::inet_ntop(AF_INET, &raw.sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(raw.sin_port));
}

bool hasPendingConnection(const Fd& listener) {
  pollfd pending{listener.get(), POLLIN, 0};
  return ::poll(&pending, 1, 0) > 0;
}

Fd acceptFrom(const Fd& listener, int& error) {
  Fd fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  error = fd ? 0 : errno;
  if (fd) disableNagle(fd);
  return fd;
}

Fd connectTo(const Address& address) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  disableNagle(fd);
  // Errors other than EINPROGRESS stay pending on the socket or make the first write fail.
  const bool begun = ::connect(fd.get(), asSockaddr(address), sizeof address.raw) == 0;
  return begun || !isLocalFailure(errno) ? std::move(fd) : Fd();
}

bool hasFreeDescriptor() { return static_cast<bool>(Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))); }

int pendingError(const Fd& fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

Io readSome(const Fd& fd, std::string& into) {
  std::array<char, 16384> chunk;
  for (;;) {
    const ssize_t received = ::recv(fd.get(), chunk.data(), chunk.size(), 0);
    if (received > 0) {
      into.append(chunk.data(), static_cast<std::size_t>(received));
      return Io::kProgress;
    }
    if (received == 0) return Io::kClosed;
    if (errno == EINTR) continue;
    return isTransient(errno) ? Io::kWouldBlock : Io::kFailed;
  }
}

void discardInput(const Fd& fd, std::size_t maxBytes) {
  std::array<char, 16384> chunk;
  int failures = 0;
  for (std::size_t done = 0; done <= maxBytes;) {
    const ssize_t received = ::recv(fd.get(), chunk.data(), chunk.size(), 0);
    const bool again = received < 0 && (errno == EINTR || errno == ENOBUFS || errno == ENOMEM);
    if (received == 0 || (received < 0 && (!again || ++failures > kMaxFailures))) return;
    if (received > 0) done += static_cast<std::size_t>(received);
  }
}

Io writeSome(const Fd& fd, std::string_view bytes, std::size_t& offset) {
  while (offset < bytes.size()) {
    // No SIGPIPE, so that a closed connection does not terminate the process.
    const ssize_t sent = ::send(fd.get(), bytes.data() + offset, bytes.size() - offset, MSG_NOSIGNAL);
    if (sent >= 0) {
      offset += static_cast<std::size_t>(sent);
      continue;
    }
    if (errno == EINTR) continue;
    return isTransient(errno) ? Io::kWouldBlock : Io::kFailed;
  }
  return Io::kProgress;
}

std::optional<double> lastArrivalAgeMs(const Fd& fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return std::nullopt;
  if (info.tcpi_rto == 0) return std::nullopt;  // never 0 if TCP_INFO is implemented
  return info.tcpi_last_data_recv;
}

bool hasUnreadBytes(const Fd& fd) {
  int bytes = 0;
  return ::ioctl(fd.get(), FIONREAD, &bytes) != 0 || bytes > 0;
}

bool hasInput(const Fd& fd) {
  char byte = 0;
  const ssize_t received = ::recv(fd.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace myrtleloft
