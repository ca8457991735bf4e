// Which polls the shim holds up.
#include "lab/fault_shim.h"

#include <dlfcn.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <string>
#include <thread>

using namespace myrtleloft::lab;

namespace {

// The shim's own functions, without that they stand before the C library's in this process.
class LoadedShim {
 public:
  LoadedShim() {
    ::setenv(kShimPageVariable, pagePath().c_str(), 1);
    library_ = ::dlopen(MYRTLELOFT_SHIM, RTLD_NOW | RTLD_LOCAL);
    REQUIRE(library_ != nullptr);
  }

  ~LoadedShim() { ::unlink(pagePath().c_str()); }
  LoadedShim(const LoadedShim&) = delete;
  LoadedShim& operator=(const LoadedShim&) = delete;

  template <typename Function>
  Function* function(const char* name) const {
    return reinterpret_cast<Function*>(::dlsym(library_, name));
  }

  // Polls so that it waits for nothing, and tells how often the process was held up for it.
  std::uint64_t standsIn(int fd) const {
    const std::uint64_t before = shim.page().stands;
    pollfd polled{fd, POLLOUT, 0};
    function<decltype(::poll)>("poll")(&polled, 1, 0);
    return shim.page().stands - before;
  }

  FaultShim shim{pagePath(), 1};

 private:
  static std::string pagePath() { return "fault-shim-page-" + std::to_string(::getpid()); }

  void* library_ = nullptr;
};

}  // namespace

// A stand between a relay's look at what lies unread and its write, as in the polls with which each line of
// the log asks whether its reader takes it, made the soak call waits broken of which the relay could not
// know.
TEST_CASE("the shim holds up polls of sockets that are to be written, and not those of the log") {
  LoadedShim loaded;
  loaded.shim.standInPoll(1000);
  std::array<int, 2> pipe{};
  REQUIRE(::pipe(pipe.data()) == 0);
  CHECK(loaded.standsIn(pipe[1]) == 0);

  const int fd = loaded.function<decltype(::socket)>("socket")(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in nobody{};
  nobody.sin_family = AF_INET;
  nobody.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  nobody.sin_port = htons(1);
  loaded.function<decltype(::connect)>("connect")(fd, reinterpret_cast<const sockaddr*>(&nobody),
                                                  sizeof nobody);

  std::uint64_t stands = 0;
  std::thread polls([&] { stands = loaded.standsIn(fd); });
  const FaultPage& page = loaded.shim.page();
  while (page.stands == 0 || page.holdingSinceMs == 0) std::this_thread::yield();
  CHECK(page.holdCount == 0);  // as long as it lasts
  polls.join();
  CHECK(stands == 1);
  CHECK(page.holdCount == 1);
  CHECK(page.holdingSinceMs == 0);

  for (const int each : {pipe[0], pipe[1], fd}) ::close(each);
}
