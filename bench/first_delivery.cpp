// How long the real relay takes from its start to its first delivery while discovery is silent, beginning
// with a kept list.
//
//   first_delivery PROGRAM ENDPOINTS ROUNDS
//
// The list stands in the state folder, as an earlier process would have left it; the configuration has none.
// Time runs from before fork(2) to the first line of the answer written at the endpoint's; the client tries
// to connect as soon as the log tells the port. One line of figures, in ms.
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "discovery/endpoint_cache.h"
#include "lab/hub.h"
#include "lab/module_site.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft;
using namespace myrtleloft::lab;
namespace fs = std::filesystem;

void keep(const std::string& folder, int endpoints, const std::string& address) {
  EndpointList list{41, true, {}};
  for (int i = 0; i < endpoints; ++i) {
    EndpointRecord& e = list.endpoints.emplace_back();
    e.info.endpoint = "s-" + std::to_string(10000000 + i);
    e.info.destination = i % std::max(1, endpoints / 4);
    e.info.kind = 1;
    e.info.rating = 1000;
    e.address = parseAddress(address).value();
  }
  EndpointTable set;
  PosixFiles files;
  const Clock clock;
  CountedShare disk;
  EndpointCache kept({files, clock, disk, std::cerr}, {folder, 1 << 28, 5, kNames, {}});
  kept.markChanged(set.apply(list, ListUpdateKind::kSnapshot, clock.wallMs()).changedUids);
  kept.markConfirmed();
  while (kept.statistics().commits == 0) kept.step(set);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  const std::string program = argv[1];
  const int endpoints = std::atoi(argv[2]), rounds = std::atoi(argv[3]);
  std::vector<double> up, delivered;
  for (int round = 0; round < rounds; ++round) {
    Hub hub;
    Endpoint endpoint(hub, "any", 3);
    Directory directory(hub);
    directory.become(Directory::Mode::kSilent);
    std::string folder = (fs::temp_directory_path() / "first-delivery-XXXXXX").string();
    if (!::mkdtemp(folder.data())) return 1;
    fs::create_directory(folder + "/state");
    keep(folder + "/state", endpoints, endpoint.address);
    Program relay(hub, program, folder,
                  R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + directory.address() +
                      R"(","seed":"5","limits":{"sockets":1024,"disk_mb":400},"settings":)" + kSiteSettings +
                      "}");
    const double startMs = steadyMs();
    relay.start();
    bool good = hub.run([&] { return relay.ready(); }, 20000);
    const double listeningMs = steadyMs();
    hub.send(hub.connect(relay.address(), {[](Hub::Id, const Message&) {}, {}, {}}),
             "POST /status-update HTTP/1.1\r\nX-Request-ID: first\r\nX-Timeout: 16\r\n"
             "X-Addressing: dest=3\r\nContent-Length: 5\r\n\r\nhello");
    good = good && hub.run([&] { return !endpoint.calls.empty(); }, 20000);
    relay.kill();
    fs::remove_all(folder);
    if (!good) {
      std::cout << "no delivery\n" << relay.log();
      return 1;
    }
    up.push_back(listeningMs - startMs);
    delivered.push_back(endpoint.calls[0].atMs - startMs);
  }
  std::sort(up.begin(), up.end());
  std::sort(delivered.begin(), delivered.end());
  std::cout << endpoints << " endpoints, " << rounds << " starts: listening after " << up[up.size() / 2]
            << " ms, first delivery after " << delivered[delivered.size() / 2] << " ms (medians), at most "
            << delivered.back() << " ms" << std::endl;
  return 0;
}
