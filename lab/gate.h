// Holds the real relay in the middle of one system call, so that a test can make what would cross it by
// chance come at exactly that instant: the process is the program itself with these calls led through a gate
// (lab/gated_relay.cpp, the executable MYRTLELOFT_GATED).
//
//   Gate gate(folder);                                   // before the relay starts: it inherits LAB_GATE
//   gate.hold({Call::kClose, When::kBefore, client.port()});
//   site.until([&] { return gate.held(); });             // it is about to close that connection
//   client.send(request);                                // in the kernel before the close
//   gate.open();
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <string>

namespace myrtleloft::lab {

enum class Call : std::uint32_t { kNone, kClose, kFdatasync, kPeek, kPoll, kRecv, kSend, kShutdown, kWrite };
// `kAfter` a call waits only where it succeeded (a kRecv: got a byte or the end; a kPeek: in any case).
enum class When : std::uint32_t { kBefore, kAfter };

struct Instant {
  static constexpr std::uint32_t kAnyPeer = 0, kFile = 0xffffffff;  // any descriptor; one that is no socket
  Call call = Call::kNone;
  When when = When::kBefore;
  std::uint32_t peerPort = kAnyPeer;  // of the socket: a client's own port, an endpoint's port
  std::uint32_t skip = 0;             // how many such instants pass before the one that is held
};

// What both processes see, in a file mapped by both.
struct GateWords {
  enum State : std::uint32_t { kIdle, kArmed, kHeld, kLetGo };
  std::atomic<std::uint32_t> state, call, when, peerPort, skip;
};

// The test's side. One instant at a time.
class Gate {
 public:
  // The file is made in `folder`, which must exist. Words are null where it cannot be had.
  explicit Gate(const std::string& folder) {
    const std::string path = folder + "/gate";
    const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0 || ::ftruncate(fd, sizeof(GateWords)) != 0) std::abort();
    void* const at = ::mmap(nullptr, sizeof(GateWords), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    if (at == MAP_FAILED) std::abort();
    words_ = new (at) GateWords{};
    ::setenv("LAB_GATE", path.c_str(), 1);
  }
  ~Gate() {
    open();
    ::unsetenv("LAB_GATE");
    ::munmap(words_, sizeof(GateWords));
  }
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  // A relay that is held goes on to this one.
  void hold(const Instant& instant) {
    words_->call = static_cast<std::uint32_t>(instant.call);
    words_->when = static_cast<std::uint32_t>(instant.when);
    words_->peerPort = instant.peerPort;
    words_->skip = instant.skip;
    words_->state = GateWords::kArmed;
  }
  // Whether the relay's thread stands at the instant.
  bool held() const { return words_->state == GateWords::kHeld; }
  // Lets it go on; an instant that has not come is held no more.
  void open() { words_->state = held() ? GateWords::kLetGo : GateWords::kIdle; }

 private:
  GateWords* words_ = nullptr;
};

}  // namespace myrtleloft::lab
