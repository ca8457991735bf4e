// How long the real relay takes from its start to its first delivery while discovery is silent, beginning
// with a kept list.
//
//   first_delivery PROGRAM ENDPOINTS ROUNDS
//
// The list stands in the state folder, as an earlier process would have left it; the configuration has none.
// Time runs from before fork(2) to the first line of the answer written at the endpoint's; the client tries
// to connect as soon as the log tells the port. One line of figures, in ms.
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

#include "discovery/kept_list.h"
#include "lab/hub.h"
#include "lab/site.h"

namespace {

using namespace myrtleloft;
using namespace myrtleloft::lab;
namespace fs = std::filesystem;

struct Boundless : DiskShare {
  bool take(std::size_t) override { return true; }
  void giveBack(std::size_t) override {}
};

void keep(const std::string& folder, int endpoints, const std::string& address) {
  DestinationList list{41, true, {}};
  for (int i = 0; i < endpoints; ++i) {
    EndpointEntry& e = list.endpoints.emplace_back();
    e.entry.target = "s-" + std::to_string(10000000 + i);
    e.entry.destination = i % std::max(1, endpoints / 4);
    e.entry.kind = 1;
    e.entry.rating = 1000;
    e.address = parseAddress(address).value();
  }
  DestinationSet set;
  PosixFiles files;
  const Clock clock;
  Boundless disk;
  KeptList kept({files, clock, disk, std::cerr},
                {folder, 1 << 28, 5, {{"norte", "sur"}, {"large", "other"}}, {}});
  kept.changed(set.apply(list, ListKind::kSnapshot, clock.wallMs()).changed);
  kept.confirmed();
  while (kept.figures().commits == 0) kept.step(set);
}

double nowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  const std::string program = argv[1];
  const int endpoints = std::atoi(argv[2]), rounds = std::atoi(argv[3]);
  std::vector<double> up, delivered;
  for (int round = 0; round < rounds; ++round) {
    Hub hub;
    double calledMs = 0;
    const std::string endpoint = hub.listen({[&](Hub::Id from, const Message&) {
                                               calledMs = nowMs();
                                               hub.send(from, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                                             },
                                             {},
                                             {}});
    const std::string silent = hub.listen({[](Hub::Id, const Message&) {}, {}, {}});
    std::string folder = (fs::temp_directory_path() / "first-delivery-XXXXXX").string();
    if (!::mkdtemp(folder.data())) return 1;
    fs::create_directory(folder + "/state");
    keep(folder + "/state", endpoints, endpoint);
    std::ofstream(folder + "/config.json")
        << R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" << silent
        << R"(","seed":"5","limits":{"sockets":1024,"disk_mb":400},"settings":)" << kSiteSettings << "}";
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) return 1;
    const double startMs = nowMs();
    const pid_t child = ::fork();
    if (child == 0) {
      ::dup2(ends[1], STDERR_FILENO);
      ::setenv("BALANCER_CONFIG", (folder + "/config.json").c_str(), 1);
      ::setenv("BALANCER_STATE", (folder + "/state").c_str(), 1);
      ::execl(program.c_str(), program.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    double listeningMs = 0;
    std::string log;
    Hub::Handler client;
    client.message = [](Hub::Id, const Message&) {};
    hub.adopt(ends[0],
              {{}, {}, [&](Hub::Id, std::string& text) {
                 log += std::exchange(text, "");
                 const std::size_t at = log.find("listening on ");
                 if (listeningMs > 0 || at == std::string::npos || log.find('\n', at) == std::string::npos)
                   return;
                 listeningMs = nowMs();
                 const std::string address = log.substr(at + 13, log.find('\n', at) - at - 13);
                 hub.send(hub.connect(address, client),
                          "POST /status-update HTTP/1.1\r\nX-Request-ID: first\r\nX-Timeout: 16\r\n"
                          "X-Addressing: dest=3\r\nContent-Length: 5\r\n\r\nhello");
               }});
    const bool good = hub.run([&] { return calledMs > 0; }, 20000);
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    fs::remove_all(folder);
    if (!good) {
      std::cout << "no delivery\n" << log;
      return 1;
    }
    up.push_back(listeningMs - startMs);
    delivered.push_back(calledMs - startMs);
  }
  std::sort(up.begin(), up.end());
  std::sort(delivered.begin(), delivered.end());
  std::cout << endpoints << " endpoints, " << rounds << " starts: listening after " << up[up.size() / 2]
            << " ms, first delivery after " << delivered[delivered.size() / 2] << " ms (medians), at most "
            << delivered.back() << " ms" << std::endl;
  return 0;
}
