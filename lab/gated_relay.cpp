// The whole program, with the system calls that lab/gate.h names led through its gate (linked with --wrap).
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <iostream>

#include "lab/gate.h"
#include "myrtleloft/command_line.h"
#include "myrtleloft/standard_error.h"

namespace {

using namespace myrtleloft::lab;

GateWords* gateWords() {
  static GateWords* const words = [] {
    const char* const path = std::getenv("LAB_GATE");
    const int fd = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return static_cast<GateWords*>(nullptr);
    void* const at = ::mmap(nullptr, sizeof(GateWords), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    return at == MAP_FAILED ? nullptr : static_cast<GateWords*>(at);
  }();
  return words;
}

std::uint32_t peerPortOf(int fd) {
  sockaddr_in raw{};
  socklen_t size = sizeof raw;
  if (::getpeername(fd, reinterpret_cast<sockaddr*>(&raw), &size) == 0) return ntohs(raw.sin_port);
  int type = 0;
  socklen_t typeSize = sizeof type;
  const bool isSocket = ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &typeSize) == 0;
  return isSocket ? Instant::kAnyPeer : Instant::kFile;
}

// Waits here while the test holds this instant.
void pass(Call call, When when, int fd) {
  GateWords* const words = gateWords();
  if (!words || words->state != GateWords::kArmed) return;
  if (words->call != static_cast<std::uint32_t>(call) || words->when != static_cast<std::uint32_t>(when))
    return;
  const int error = errno;
  const std::uint32_t wanted = words->peerPort;
  const bool here = wanted == Instant::kAnyPeer || peerPortOf(fd) == wanted;
  if (here && words->skip > 0) {
    --words->skip;
  } else if (here) {
    words->state = GateWords::kHeld;
    while (words->state == GateWords::kHeld) ::usleep(100);
    std::uint32_t letGo = GateWords::kLetGo;  // or armed anew meanwhile
    words->state.compare_exchange_strong(letGo, GateWords::kIdle);
  }
  errno = error;
}

template <typename Result>
Result passed(Call call, int fd, Result result) {
  if (result >= 0) pass(call, When::kAfter, fd);
  return result;
}

}  // namespace

// The names are the linker's.
extern "C" {
int __real_close(int fd);
int __real_fdatasync(int fd);
int __real_poll(pollfd* polled, nfds_t count, int waitMs);
ssize_t __real_recv(int fd, void* into, std::size_t size, int flags);
ssize_t __real_send(int fd, const void* bytes, std::size_t size, int flags);
int __real_shutdown(int fd, int how);
ssize_t __real_write(int fd, const void* bytes, std::size_t size);

int __wrap_close(int fd) {
  pass(Call::kClose, When::kBefore, fd);
  return __real_close(fd);  // no descriptor is left to hold it by
}
int __wrap_fdatasync(int fd) {
  pass(Call::kFdatasync, When::kBefore, fd);
  return passed(Call::kFdatasync, fd, __real_fdatasync(fd));
}
int __wrap_poll(pollfd* polled, nfds_t count, int waitMs) {
  pass(Call::kPoll, When::kBefore, -1);
  return passed(Call::kPoll, -1, __real_poll(polled, count, waitMs));
}
ssize_t __wrap_recv(int fd, void* into, std::size_t size, int flags) {
  const bool peeks = flags & MSG_PEEK;
  const Call call = peeks ? Call::kPeek : Call::kRecv;
  pass(call, When::kBefore, fd);
  const ssize_t got = __real_recv(fd, into, size, flags);
  if (got >= 0 || peeks) pass(call, When::kAfter, fd);
  return got;
}
ssize_t __wrap_send(int fd, const void* bytes, std::size_t size, int flags) {
  pass(Call::kSend, When::kBefore, fd);
  return passed(Call::kSend, fd, __real_send(fd, bytes, size, flags));
}
int __wrap_shutdown(int fd, int how) {
  pass(Call::kShutdown, When::kBefore, fd);
  return passed(Call::kShutdown, fd, __real_shutdown(fd, how));
}
ssize_t __wrap_write(int fd, const void* bytes, std::size_t size) {
  pass(Call::kWrite, When::kBefore, fd);
  return passed(Call::kWrite, fd, __real_write(fd, bytes, size));
}
}

int main(int argc, char** argv) {
  myrtleloft::StandardError err;
  return myrtleloft::runCommandLine(argc, argv, myrtleloft::environmentOf(environ), std::cout, err);
}
