// Descriptors and addresses: IPv4 over TCP, never blocking.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace myrtleloft {

class Fd {  // owns one descriptor
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

// "127.0.0.1:3000"; nothing where the text is not an IPv4 address and a port.
std::optional<Address> parseAddress(std::string_view text);

// What one non-blocking read or write came to.
enum class Io { kProgress, kWouldBlock, kClosed, kFailed };

// An empty Fd: `error` says why, and `number`, where it is given, is the errno.
Fd listenOn(const Address& address, std::string& error, int* number = nullptr);
// Where a listener really listens: port 0 asks for any.
std::string localAddress(const Fd& fd);
// Whether a connection waits to be accepted.
bool hasPendingConnection(const Fd& listener);
Fd acceptFrom(const Fd& listener, int& error);
// An empty Fd: no descriptor or no port could be had, which says nothing of the peer. A refused connection
// shows when the descriptor becomes writable.
Fd connectTo(const Address& address);
// Whether one more descriptor can be had.
bool descriptorFree();
int pendingError(const Fd& fd);
// Both: an error that leaves the connection as it was (ENOBUFS, ENOMEM) is kWouldBlock, for the descriptor
// stays ready and the loop comes back to it; kFailed is the connection's end.
Io readSome(const Fd& fd, std::string& into);
// Reads and forgets what is there, `most` bytes and one read of 16 KiB at the most. Allocates nothing.
void discardInput(const Fd& fd, std::size_t most);
// Writes from `bytes` at `offset`, and moves `offset`.
Io writeSome(const Fd& fd, std::string_view bytes, std::size_t& offset);
// How long ago the last bytes of a TCP connection came, in ms, whether they were read or not and whether the
// connection was accepted by then or lay in the backlog; before any bytes, how long ago it was established.
// Nothing where the system does not tell. Source: TCP_INFO, tcpi_last_data_recv (man 7 tcp).
std::optional<double> lastArrivalAgeMs(const Fd& fd);
// Whether bytes wait to be read; the peer's close alone does not count. true where the system does not tell.
bool hasUnreadBytes(const Fd& fd);
// Whether anything waits to be read: bytes, or the peer's close.
bool hasInput(const Fd& fd);

}  // namespace myrtleloft
