// The configuration of a fleet's relays: what their files say, when it is there, and reloads.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

#include "lab/fleet_of_processes.h"
#include "lab/site.h"

namespace myrtleloft::lab {

std::string FleetOfProcesses::config(const Relay& relay) const {
  std::string settings = kSiteSettings;
  replaceAll(settings, R"("balancers":1,"me":0)",
             R"("balancers":)" + std::to_string(options_.relays) + R"(,"me":)" +
                 std::to_string(std::atoi(relay.name.c_str() + 1) - 1));
  replaceAll(settings, R"("memorySpanMs":15000.0)", R"("memorySpanMs":)" + std::to_string(options_.windowMs));
  return R"({"name":")" + relay.name + R"(","listen":")" + relay.listen + R"(","discovery":")" +
         relay.directory->address() + R"(","seed":")" + std::to_string(plan_.seed + 1) +
         relay.name.substr(1) + R"(","limits":{"sockets":256,"disk_mb":)" + std::to_string(relay.diskMb) +
         R"(},"settings":)" + settings + "}";
}

void FleetOfProcesses::writeConfig(const Relay& relay) const {
  constexpr int kMissing = 1, kEmpty = 2;
  const std::string file = relay.folder + "/config.json", text = config(relay);
  if (relay.lateConfig == kMissing) {
    std::filesystem::remove(file);
  } else if (relay.lateConfig != 0) {
    std::ofstream(file) << (relay.lateConfig == kEmpty ? "" : text.substr(0, text.size() / 2));
  } else {
    std::ofstream(file + ".new") << text;
    std::filesystem::rename(file + ".new", file);
  }
}

void FleetOfProcesses::reload(Relay& relay, const Fault& fault, bool begins) {
  constexpr double kUnreadable = 2, kAndBack = 3;
  if (fault.amount == kUnreadable && begins) {
    std::ofstream(relay.folder + "/config.json") << "{\"name\":";
    return hangUp(relay);
  }
  if (begins == (fault.amount == kUnreadable)) return;
  moveDirectory(relay);
  if (fault.amount == kAndBack) moveDirectory(relay);
}

void FleetOfProcesses::moveDirectory(Relay& relay) {
  std::swap(relay.directory, relay.otherDirectory);
  writeConfig(relay);
  hangUp(relay);
}

}  // namespace myrtleloft::lab
