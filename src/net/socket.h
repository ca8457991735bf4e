// Non-blocking TCP sockets over IPv4: RAII descriptors, addresses, and reads and writes.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace myrtleloft {

// Owns a file descriptor and closes it in the destructor.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Fd() { reset(); }

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

struct Address {
  sockaddr_in raw{};
  std::string text;
};

// Parses "127.0.0.1:3000". Returns std::nullopt if the text is not an IPv4 address with a port.
std::optional<Address> parseAddress(std::string_view text);

// Result of a non-blocking read or write.
enum class Io { kProgress, kWouldBlock, kClosed, kFailed };

// On failure, returns an empty Fd and sets `error` to a message and `*errorNumber`, if given, to the errno.
Fd listenOn(const Address& address, std::string& error, int* errorNumber = nullptr);
// Returns the address that a socket is bound to, with the actual port if it was bound to port 0.
std::string localAddress(const Fd& fd);
// Returns true if a connection is waiting to be accepted.
bool hasPendingConnection(const Fd& listener);
Fd acceptFrom(const Fd& listener, int& error);
// Starts to connect. Returns an empty Fd if this machine lacks a descriptor, port or memory, for which the
// peer is not responsible. A refused connection is reported when the descriptor becomes writable.
Fd connectTo(const Address& address);
// Returns true if a further descriptor can be opened.
bool hasFreeDescriptor();
// Returns the pending error of the socket (SO_ERROR), or 0.
int pendingError(const Fd& fd);
// Reads once and appends to `into`. For readSome and writeSome, transient errors that do not affect the
// connection (ENOBUFS, ENOMEM) are reported as kWouldBlock: the descriptor stays ready, so the loop retries.
// After kFailed the connection is unusable.
Io readSome(const Fd& fd, std::string& into);
// Reads and discards available input, at most `maxBytes` plus one read of 16 KiB. Does not allocate.
void discardInput(const Fd& fd, std::size_t maxBytes);
// Writes `bytes` from `offset` on and advances `offset`.
Io writeSome(const Fd& fd, std::string_view bytes, std::size_t& offset);
// Returns the milliseconds since the last bytes of a TCP connection arrived, whether or not they have been
// read and even if the connection was still in the backlog then. Before the first bytes, it is the time since
// the connection was established. Returns std::nullopt if the system does not provide it. Source: TCP_INFO,
// tcpi_last_data_recv (man 7 tcp).
std::optional<double> lastArrivalAgeMs(const Fd& fd);
// Returns true if there are unread bytes or the system does not tell. Unlike hasInput, ignores the peer's
// close.
bool hasUnreadBytes(const Fd& fd);
// Returns true if there are unread bytes, or the peer has closed the connection or its sending side.
bool hasInput(const Fd& fd);

}  // namespace myrtleloft
