// What a fleet of real processes costs while nothing happens: messages and bytes a second between the relays,
// core and memory for each. On loopback; prints one line.
//
//   fleet_processes PROGRAM RELAYS SECONDS
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft::lab;

struct Figures {
  double messages = 0, bytes = 0, cpuMs = 0, up = 0;
};

double after(const std::string& line, const std::string& key) {
  const std::size_t at = line.find(" " + key + "=");
  return at == std::string::npos ? 0 : std::atof(line.c_str() + at + key.size() + 2);
}

struct Relay {
  Relay(Hub& hub, const std::string& program, const std::string& folder, int number)
      : name("n" + std::to_string(number)), path(folder + "/" + name) {
    const std::string config = R"({"name":")" + name +
                               R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":)" +
                               kSiteSettings + "}";
    process = std::make_unique<Program>(hub, program, path, config, path + "/operator.toml");
    write("127.0.0.1:0", {});
    process->start();
  }
  void write(const std::string& listen, const std::vector<std::string>& peers) const {
    std::ofstream out(path + "/operator.toml");
    out << "[fleet]\nname = \"bench\"\nlisten = \"" << listen << "\"\npeers = [";
    for (const std::string& peer : peers) out << '"' << peer << "\", ";
    out << "]\n";
  }
  std::string address() const {
    const std::string words = "accepting relays of fleet 'bench' at ";
    const std::size_t from = process->log().find(words) + words.size();
    return process->log().substr(from, process->log().find('\n', from) - from);
  }
  Figures figures(Hub& hub) const {
    const std::size_t seen = process->log().size();
    process->signal(SIGUSR1);
    const auto place = [&] { return process->log().find("counters fleet:", seen); };
    hub.run(
        [&] {
          return place() != std::string::npos && process->log().find('\n', place()) != std::string::npos;
        },
        20000);
    const std::string line = process->log().substr(place(), process->log().find('\n', place()) - place());
    Figures f{after(line, "frames-out"), after(line, "bytes-out"), 0, after(line, "up")};
    std::ifstream stat("/proc/" + std::to_string(process->pid()) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && stat >> word; ++i)
      if (i >= 14) ticks += std::atof(word.c_str());
    f.cpuMs = ticks * 1000.0 / static_cast<double>(::sysconf(_SC_CLK_TCK));
    return f;
  }
  double memoryMb() const {
    std::ifstream statm("/proc/" + std::to_string(process->pid()) + "/statm");
    double size = 0, resident = 0;
    statm >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }

  std::string name, path;
  std::unique_ptr<Program> process;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const int count = std::atoi(argv[2]);
  const double seconds = std::atof(argv[3]);
  std::string folder = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (!::mkdtemp(folder.data())) return 1;
  Hub hub;
  std::vector<std::unique_ptr<Relay>> relays;
  for (int i = 1; i <= count; ++i) relays.push_back(std::make_unique<Relay>(hub, argv[1], folder, i));
  hub.run(
      [&] { return std::all_of(relays.begin(), relays.end(), [](auto& r) { return r->process->ready(); }); },
      60000);
  double aloneMb = 0, memoryMb = 0;
  for (const auto& relay : relays) aloneMb += relay->memoryMb() / count;
  const double began = steadyMs();
  for (const auto& relay : relays) {
    std::vector<std::string> others;
    for (const auto& other : relays)
      if (other != relay) others.push_back(other->name + "=" + other->address());
    relay->write(relay->address(), others);
    relay->process->signal(SIGHUP);
  }
  const auto linked = [&] {
    return std::all_of(relays.begin(), relays.end(),
                       [&](auto& r) { return r->figures(hub).up == count - 1; });
  };
  bool all = false;
  while (!(all = linked()) && steadyMs() - began < 60000) hub.turn(100);
  const double linkedMs = steadyMs() - began;
  hub.run([] { return false; }, 5000);
  std::vector<Figures> before;
  for (const auto& relay : relays) before.push_back(relay->figures(hub));
  const double from = steadyMs();
  hub.run([] { return false; }, static_cast<int>(seconds * 1000));
  const double passed = (steadyMs() - from) / 1000;
  Figures sum;
  for (std::size_t i = 0; i < relays.size(); ++i) {
    const Figures now = relays[i]->figures(hub);
    sum.messages += (now.messages - before[i].messages) / passed / count;
    sum.bytes += (now.bytes - before[i].bytes) / passed / count;
    sum.cpuMs += (now.cpuMs - before[i].cpuMs) / passed / count;
    memoryMb += relays[i]->memoryMb() / count;
  }
  std::printf(
      "relays=%d all-linked=%d after-ms=%.0f messages-per-s=%.1f payload-bytes-per-s=%.0f core-ms-per-s=%.1f "
      "resident-mb=%.2f without-links-mb=%.2f\n",
      count, all, linkedMs, sum.messages, sum.bytes, sum.cpuMs, memoryMb, aloneMb);
  relays.clear();
  std::filesystem::remove_all(folder);
  return all ? 0 : 1;
}
