// Tests with processes of the real program: several that form a fleet, and one without a fleet.
#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft::lab;
namespace fs = std::filesystem;

constexpr int kPatienceMs = 20000;

struct Place {
  Place() {
    std::string name = (fs::temp_directory_path() / "fleet-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder = name;
  }
  ~Place() { fs::remove_all(folder); }
  std::string folder;
};

// Folder, files and process of one relay.
struct Member {
  Member(Hub& hub, const std::string& folder, const std::string& relay, bool inFleet)
      : name(relay), path(folder + "/" + relay), file(path + "/operator.toml") {
    const std::string config = R"({"name":")" + name +
                               R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":)" +
                               kSiteSettings + "}";
    program = std::make_unique<Program>(hub, MYRTLELOFT_PROGRAM, path, config, file);
    write(inFleet ? "[fleet]\nname = \"vina\"\nlisten = \"127.0.0.1:0\"\n" : "");
  }
  void write(const std::string& text) const { std::ofstream(file) << text; }
  void writePeers(const std::vector<std::string>& peers) const {
    std::string text = "[fleet]\nname = \"vina\"\nlisten = \"" + address + "\"\npeers = [";
    for (const std::string& peer : peers) text += "\"" + peer + "\", ";
    write(text + "]\n");
  }
  std::size_t count(const std::string& words) const {
    std::size_t found = 0;
    const std::string& log = program->log();
    for (std::size_t at = log.find(words); at != std::string::npos; at = log.find(words, at + 1)) ++found;
    return found;
  }
  std::string listed() const { return name + "=" + address; }
  void learnAddress() {
    const std::string words = "accepting relays of fleet 'vina' at ";
    const std::size_t from = program->log().find(words) + words.size();
    address = program->log().substr(from, program->log().find('\n', from) - from);
  }

  std::string name, path, file, address;
  std::unique_ptr<Program> program;
};

struct Held {
  std::size_t descriptors = 0, listeners = 0, threads = 0;
  std::set<std::string> files;
};

Held heldBy(const Member& member) {
  Held held;
  const std::string proc = "/proc/" + std::to_string(member.program->pid());
  std::set<std::string> sockets;
  for (const auto& entry : fs::directory_iterator(proc + "/fd")) {
    ++held.descriptors;
    std::error_code error;
    const std::string target = fs::read_symlink(entry, error).string();
    if (target.rfind("socket:[", 0) == 0) sockets.insert(target.substr(8, target.size() - 9));
  }
  std::ifstream table(proc + "/net/tcp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream words(line);
    std::vector<std::string> w{std::istream_iterator<std::string>(words), {}};
    if (w.size() > 9 && w[3] == "0A" && sockets.count(w[9])) ++held.listeners;
  }
  for (const auto& task : fs::directory_iterator(proc + "/task")) held.threads += !task.path().empty();
  for (const auto& entry : fs::directory_iterator(member.path + "/state"))
    held.files.insert(entry.path().filename());
  return held;
}

// What the process holds at rest: the least that is seen over a while, because its connections to a discovery
// that refuses them come and go.
Held heldAtRestBy(Hub& hub, const Member& member) {
  constexpr int kSamples = 40, kSampleIntervalMs = 10;
  Held least = heldBy(member);
  for (int i = 1; i < kSamples; ++i) {
    hub.run([] { return false; }, kSampleIntervalMs);
    const Held sample = heldBy(member);
    if (sample.descriptors < least.descriptors) least = sample;
  }
  return least;
}

}  // namespace

TEST_CASE("without a section [fleet] there is no listener, no descriptor, no thread and no file of it") {
  Place place;
  Hub hub;
  Member without(hub, place.folder, "n1", false), with(hub, place.folder, "n2", true);
  for (Member* member : {&without, &with}) {
    member->program->start();
    REQUIRE(hub.run([&] { return member->program->ready(); }, kPatienceMs));
  }
  CHECK(without.count("fleet") == 0);
  REQUIRE(hub.run([&] { return with.count("accepting relays of fleet 'vina' at ") == 1; }, kPatienceMs));
  const Held less = heldAtRestBy(hub, without), more = heldAtRestBy(hub, with);
  CHECK_EQ(less.listeners, 1);
  CHECK_EQ(less.files.count("incarnation"), 0);
  // Verifies that the measurement detects them: the relay with a fleet differs by exactly these.
  CHECK_EQ(more.listeners, 2);
  CHECK_EQ(more.descriptors, less.descriptors + 1);
  CHECK_EQ(more.threads, less.threads);
  std::set<std::string> files = less.files;
  files.insert("incarnation");
  CHECK(more.files == files);
}

namespace {

// Three relays that received the addresses of their peers by SIGHUP.
struct Fleet {
  Fleet() {
    for (const char* name : {"n1", "n2", "n3"}) {
      all.push_back(std::make_unique<Member>(hub, place.folder, name, true));
      all.back()->program->start();
      REQUIRE(hub.run([&] { return all.back()->program->ready(); }, kPatienceMs));
      all.back()->learnAddress();
    }
    for (const auto& member : all) {
      std::vector<std::string> others;
      for (const auto& other : all)
        if (other != member) others.push_back(other->listed());
      member->writePeers(others);
      member->program->signal(SIGHUP);
    }
    for (const auto& a : all)
      for (const auto& b : all) {
        if (a == b) continue;
        REQUIRE(says(*a, "fleet: link established to " + b->name + " (run 1)"));
        REQUIRE(says(*a, "fleet: " + b->name + " is alive, run 1"));
      }
  }
  bool says(const Member& member, const std::string& words, std::size_t times = 1) {
    return hub.run([&] { return member.count(words) >= times; }, kPatienceMs);
  }

  Place place;
  Hub hub;
  std::vector<std::unique_ptr<Member>> all;
};

}  // namespace

TEST_CASE("three relays find each other; one is killed and comes again, and a bad file changes nothing") {
  Fleet fleet;
  Member &n1 = *fleet.all[0], &n2 = *fleet.all[1], &n3 = *fleet.all[2];
  n3.program->kill();
  for (Member* left : {&n1, &n2}) {
    CHECK(fleet.says(*left, "fleet: the link to n3 is down"));
    CHECK(fleet.says(*left, "fleet: n3 is dead, run 1 (was "));
  }
  n3.program->start();
  for (Member* left : {&n1, &n2}) {
    CHECK(fleet.says(*left, "fleet: link established to n3 (run 2)"));
    CHECK(fleet.says(*left, "fleet: n3 is alive, run 2 (was "));
  }
  CHECK_EQ(n1.count("fleet: the link to n2 is down"), 0);

  n1.writePeers({n2.listed(), "n1=127.0.0.1:1"});
  n1.program->signal(SIGHUP);
  CHECK(fleet.says(n1, "fleet.peers: expected relays other than this one, found"));
  CHECK_EQ(n1.count("operator.toml:4:"), 1);
  n1.program->signal(SIGUSR1);
  CHECK(fleet.says(n1, "counters fleet: peers=2 up=2"));

  // n3 is removed from the list of n1, which then refuses it.
  n1.writePeers({n2.listed()});
  n1.program->signal(SIGHUP);
  CHECK(fleet.says(n1, "closed a link to an unidentified peer: unknown-name (logged once)"));
  CHECK_EQ(n1.count("fleet: the link to n3 is down"), 2);
}

TEST_CASE("one that stood still is called dead, and asks what it missed when it wakes") {
  Fleet fleet;
  Member &n1 = *fleet.all[0], &n2 = *fleet.all[1], &n3 = *fleet.all[2];
  const std::size_t caughtUp = n3.count("fleet: caught up, with replies from more than half");
  n3.program->signal(SIGSTOP);
  for (Member* left : {&n1, &n2}) CHECK(fleet.says(*left, "fleet: n3 is dead, run 1"));
  n3.program->signal(SIGCONT);
  CHECK(fleet.says(n3, "fleet: this process did not run for"));
  CHECK(fleet.says(n3, "fleet: catching up with the other relays"));
  CHECK(fleet.says(n3, "fleet: caught up, with replies from more than half", caughtUp + 1));
  for (Member* left : {&n1, &n2}) CHECK(fleet.says(*left, "fleet: n3 is alive, run 1", 2));
}
