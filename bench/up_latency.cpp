// How long the real relay takes to answer GET /up, with many requests held, traffic on, and compaction on or
// off.
//
//   up_latency PROGRAM HELD SECONDS DISK_MB [OPERATOR_FILE]
//
// Holds HELD requests for a destination whose endpoint never answers, hands in others as fast as eight
// connections can, and asks for /up every 2 ms on a connection of its own. One line of figures; the relay's
// counters go to stderr.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "lab/hub.h"
#include "lab/site.h"

namespace {

using namespace myrtleloft::lab;
namespace fs = std::filesystem;

// So many held for so long, and more calls out at once.
std::string settings() {
  std::string text = kSiteSettings;
  for (const char* limit : {"\"targetMs\":2000.0", "\"hardLimitMs\":16000.0"})
    replaceAll(text, limit, std::string(limit).substr(0, std::string(limit).find(':')) + ":600000.0");
  replaceAll(text, "\"maxOpen\":112", "\"maxOpen\":60000");
  replaceAll(text, "\"callSlots\":7", "\"callSlots\":32");
  return text;
}

double nowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string request(std::uint64_t number, int destination) {
  const std::string body(600, 'b');
  return "POST /status-update HTTP/1.1\r\nX-Request-ID: r" + std::to_string(number) +
         "\r\nX-Timeout: 600\r\nX-Addressing: dest=" + std::to_string(destination) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const std::string program = argv[1];
  const std::size_t held = static_cast<std::size_t>(std::atoll(argv[2]));
  const double seconds = std::atof(argv[3]);

  Hub hub;
  const std::string never = hub.listen({[](Hub::Id, const Message&) {}, {}, {}});
  const std::string quick = hub.listen(
      {[&](Hub::Id from, const Message&) { hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); },
       {},
       {}});
  const auto target = [](const char* uid, const std::string& address, int destination) {
    return std::string(R"({"uid":")") + uid + R"(","endpoint":")" + address +
           R"(","az":"norte","model":"other","pod_group":)" + std::to_string(destination) +
           R"(,"state":"active","capacity_hint":100000.0,"boot_ms":0})";
  };
  const std::string list =
      R"({"rev":1,"all":true,"targets":[)" + target("E7", quick, 7) + "," + target("E8", never, 8) + "]}";
  const std::string platform =
      hub.listen({[&](Hub::Id from, const Message& m) {
                    if (m.start.find("after=") != std::string::npos) return;
                    if (m.start.starts_with("GET"))
                      hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) +
                                         "\r\n\r\n" + list);
                    else
                      hub.send(from, "HTTP/1.1 204 No Content\r\n\r\n");
                  },
                  {},
                  {}});
  std::string folder = (fs::temp_directory_path() / "up-latency-XXXXXX").string();
  if (!::mkdtemp(folder.data())) return 1;
  fs::create_directory(folder + "/state");
  std::ofstream(folder + "/config.json") << R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" << platform
                                         << R"(","seed":"5","limits":{"sockets":1024,"disk_mb":)" << argv[4]
                                         << R"(},"known":)" << list << R"(,"settings":)" << settings() << "}";

  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) return 1;
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(ends[1], STDERR_FILENO);
    ::setenv("BALANCER_CONFIG", (folder + "/config.json").c_str(), 1);
    ::setenv("BALANCER_STATE", (folder + "/state").c_str(), 1);
    if (argc > 5) ::setenv("BALANCER_OPERATOR", argv[5], 1);
    ::execl(program.c_str(), program.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(ends[1]);
  std::string log, address;
  hub.adopt(ends[0], {{}, {}, [&](Hub::Id, std::string& text) {
                        log += std::exchange(text, "");
                        const std::size_t at = log.find("listening on ");
                        if (at != std::string::npos && log.find('\n', at) != std::string::npos)
                          address = log.substr(at + 13, log.find('\n', at) - at - 13);
                      }});
  bool good = hub.run([&] { return !address.empty(); }, 5000);

  std::uint64_t number = 0, taken = 0, refused = 0, fast = 0;
  bool filling = true, stop = false;
  Hub::Handler client;
  client.message = [&](Hub::Id from, const Message& m) {
    const bool on = m.start.find(" 202 ") != std::string::npos;
    ++(on ? taken : refused);
    fast += !filling;
    if (!stop) hub.send(from, request(++number, filling ? 8 : 7));
  };
  for (int i = 0; i < 8; ++i) hub.send(hub.connect(address, client), request(++number, 8));
  good = good && hub.run([&] { return taken >= held; }, 120000);
  filling = false;
  hub.run([] { return false; }, 500);
  fast = 0;

  std::vector<double> waits;
  double asked = 0;
  Hub::Handler upClient;
  upClient.message = [&](Hub::Id, const Message&) {
    waits.push_back(nowMs() - asked);
    asked = 0;
  };
  const Hub::Id up = hub.connect(address, upClient);
  double next = nowMs();
  const double until = nowMs() + seconds * 1000;
  hub.run(
      [&] {
        if (asked == 0 && nowMs() >= next) {
          asked = nowMs();
          next = asked + 2;
          hub.send(up, "GET /up HTTP/1.1\r\nHost: relay\r\n\r\n");
        }
        return nowMs() >= until;
      },
      static_cast<int>(seconds * 1000) + 5000);
  stop = true;
  log.clear();
  ::kill(child, SIGUSR1);
  hub.run([] { return false; }, 200);
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  fs::remove_all(folder);
  std::cerr << log;
  if (!good || waits.empty()) {
    std::cout << "did not come so far: taken " << taken << ", refused " << refused << std::endl;
    return 1;
  }
  std::sort(waits.begin(), waits.end());
  std::cout << "held " << held << "  /up asked " << waits.size() << "  median " << waits[waits.size() / 2]
            << " ms  99% " << waits[waits.size() * 99 / 100] << " ms  slowest " << waits.back()
            << " ms  others a second " << static_cast<double>(fast) / seconds << "  refused " << refused
            << std::endl;
  return 0;
}
