// How soon a restarted process is ready with a journal full of owed requests, whatever its discovery does.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "journal/journal.h"
#include "lab/hand_endpoint.h"
#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"
#include "log/log.h"

namespace {

using namespace myrtleloft;
using namespace myrtleloft::lab;
namespace fs = std::filesystem;

constexpr int kStarts = 7, kPatienceMs = 60000;
constexpr double kReadyMs = 10000;  // for nine in ten

enum class Discovery { kRefuses, kSilent, kCrowded };
const std::array<std::string, 3> kNames = {"refuses", "accepts and says nothing", "lets nobody in"};

std::string freshFolder() {
  std::string name = (fs::temp_directory_path() / "ready-XXXXXX").string();
  REQUIRE(::mkdtemp(name.data()));
  return name;
}

// As many requests as a journal of that size takes on, a third of them with a call that may have run.
std::size_t fill(const std::string& folder, std::size_t diskMb) {
  PosixFiles files;
  const Clock clock;
  std::ostringstream out;
  const Log log(out, LogOptions{}, clock);
  Journal journal({files, clock, log, nullptr}, {folder, diskMb << 20, 0, {}, "the test", 5});
  REQUIRE(journal.open());
  const double now = clock.wallMs();
  std::size_t owed = 0;
  for (;; ++owed) {
    PendingRequest request;
    request.id = "owed-" + std::to_string(owed);
    request.key = "key-" + std::to_string(owed);
    request.body = std::string(200, 'b');
    request.classIndex = static_cast<int>(owed % 3);
    request.destination = 7;
    request.acceptedWallMs = now;
    request.deadlineWallMs = now + 15000;
    if (!journal.recordAccepted(request)) return owed;
    if (owed % 9 < 3) REQUIRE(journal.recordAttempt(request, {"a", 0, now, 0}));
  }
}

// A port whose queue is full: connections to it never come up.
class CrowdedPort {
 public:
  CrowdedPort() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof raw;
    auto* const at = reinterpret_cast<sockaddr*>(&raw);
    REQUIRE(::bind(fd_, at, size) == 0);
    REQUIRE(::listen(fd_, 0) == 0);
    REQUIRE(::getsockname(fd_, at, &size) == 0);
    address = "127.0.0.1:" + std::to_string(ntohs(raw.sin_port));
    for (bool full = false; !full;) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      ::connect(fd, at, size);
      pollfd p{fd, POLLOUT, 0};
      full = ::poll(&p, 1, 200) == 0;  // on loopback all others are up at once
      guests_.push_back(fd);
    }
  }
  ~CrowdedPort() {
    for (const int fd : guests_) ::close(fd);
    ::close(fd_);
  }
  CrowdedPort(const CrowdedPort&) = delete;
  CrowdedPort& operator=(const CrowdedPort&) = delete;

  std::string address;

 private:
  int fd_;
  std::vector<int> guests_;
};

// One start: milliseconds until GET /up is answered with 200; negative: never.
double start(Hub& hub, const std::string& discovery, const std::string& endpoint, const std::string& full,
             std::size_t diskMb) {
  const std::string folder = freshFolder();
  std::string settings = kSiteSettings;
  replaceAll(settings, "\"maxOpen\":112", "\"maxOpen\":20000");
  Program relay(
      hub, MYRTLELOFT_PROGRAM, folder,
      R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + discovery +
          R"(","seed":"5","limits":{"sockets":256,"disk_mb":)" + std::to_string(diskMb) +
          R"(},"known":{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":")" + endpoint +
          R"(","az":"norte","model":"other","pod_group":7,"state":"active","capacity_hint":1000.0,)" +
          R"("boot_ms":0}]},"settings":)" + settings + "}");
  fs::copy(full, folder + "/state", fs::copy_options::recursive | fs::copy_options::overwrite_existing);
  const double fromMs = steadyMs();
  bool ready = false;
  Hub::Id asker = 0;
  relay.start();
  hub.run(
      [&] {
        if (relay.ready() && !hub.open(asker)) {
          asker = hub.connect(relay.address(), {[&](Hub::Id from, const Message& m) {
                                                  ready = ready || m.start.find(" 200 ") != std::string::npos;
                                                  if (!ready) hub.send(from, "GET /up HTTP/1.1\r\n\r\n");
                                                },
                                                {},
                                                {}});
          hub.send(asker, "GET /up HTTP/1.1\r\n\r\n");
        }
        return ready;
      },
      kPatienceMs);
  const double took = steadyMs() - fromMs;
  CHECK(relay.log().find(": 0 pending requests recovered") == std::string::npos);
  hub.close(asker);
  relay.kill();
  fs::remove_all(folder);
  return ready ? took : -1;
}

}  // namespace

TEST_CASE("nine in ten restarts with a full journal are ready within 10 s, whatever discovery does") {
  std::vector<double> all;
  for (const std::size_t diskMb : {1, 2, 3}) {
    const std::string full = freshFolder();
    const std::size_t owed = fill(full, diskMb);
    CHECK(owed > 700 * diskMb);
    for (const Discovery kind : {Discovery::kRefuses, Discovery::kSilent, Discovery::kCrowded}) {
      Hub hub;
      HandEndpoint endpoint(hub);
      Directory directory(hub);
      directory.become(kind == Discovery::kRefuses ? Directory::Mode::kDown : Directory::Mode::kSilent);
      const CrowdedPort crowded;
      const std::string& address = kind == Discovery::kCrowded ? crowded.address : directory.address();
      std::vector<double> took;
      for (int i = 0; i < kStarts; ++i) took.push_back(start(hub, address, endpoint.address, full, diskMb));
      std::sort(took.begin(), took.end());
      CHECK(took.front() > 0);
      all.insert(all.end(), took.begin(), took.end());
      MESSAGE(diskMb << " MB, " << owed << " owed, discovery " << kNames[static_cast<std::size_t>(kind)]
                     << ": ready after " << took[took.size() / 2] << " ms, the slowest of " << kStarts
                     << " after " << took.back());
    }
    fs::remove_all(full);
  }
  std::sort(all.begin(), all.end());
  CHECK(all[all.size() * 9 / 10] < kReadyMs);
}
