// The real program: three of them audit each other. Alike they agree; one with another digit in its settings
// is named, and what differs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft::lab;
namespace fs = std::filesystem;

// For what waits for the audit: since a step of it was last played. How long its steps take all together is
// the machine's: each relay gives them 2% of a core.
constexpr int kPatienceMs = 120000;

const std::string kTakenAt = "accepting relays of fleet 'vina' at ";
const std::string kSteps = "audit-steps=";

struct Place {
  Place() {
    std::string name = (fs::temp_directory_path() / "audit-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder = name;
  }
  ~Place() { fs::remove_all(folder); }
  std::string folder;
};

struct Member {
  Member(Hub& hub, const std::string& folder, const std::string& relay, std::size_t number,
         const std::string& settings)
      : name(relay), file(folder + "/" + relay + "/operator.toml") {
    std::string own = settings;  // what is each relay's own differs
    replaceAll(own, "\"me\":0", "\"me\":" + std::to_string(number));
    const std::string config = R"({"name":")" + name + R"(","seed":")" + std::to_string(number) +
                               R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":)" + own +
                               "}";
    program = std::make_unique<Program>(hub, MYRTLELOFT_PROGRAM, folder + "/" + relay, config, file);
    write("127.0.0.1:0", "");
  }
  void write(const std::string& listen, const std::string& peers) const {
    std::ofstream(file) << "[fleet]\nname = \"vina\"\nlisten = \"" << listen << "\"\npeers = [" << peers
                        << "]\n[fleet.audit]\nevery_s = 1\n";
  }
  bool said(const std::string& words) const { return program->log().find(words) != std::string::npos; }

  std::string name, file, address;
  std::unique_ptr<Program> program;
};

struct Three {
  // In n3's settings, this in place of that.
  Three(const std::string& what, const std::string& with) {
    for (std::size_t i = 0; i < 3; ++i) {
      std::string settings = kSiteSettings;
      replaceAll(settings, "\"balancers\":1", "\"balancers\":3");
      if (i == 2 && !what.empty()) replaceAll(settings, what, with);
      all.push_back(std::make_unique<Member>(hub, place.folder, "n" + std::to_string(i + 1), i, settings));
      Member& member = *all.back();
      member.program->start();
      const std::string& log = member.program->log();
      std::size_t from = std::string::npos, end = std::string::npos;
      REQUIRE(hub.run(
          [&] {
            from = log.find(kTakenAt);
            end = log.find('\n', from);
            return member.program->ready() && from != std::string::npos && end != std::string::npos;
          },
          kPatienceMs));
      from += kTakenAt.size();
      member.address = log.substr(from, end - from);
    }
    for (const auto& member : all) {
      std::string peers;
      for (const auto& other : all)
        if (other != member) peers += "\"" + other->name + "=" + other->address + "\", ";
      member->write(member->address, peers);
      member->program->signal(SIGHUP);
    }
  }
  bool come(const std::string& by, const std::string& words) {
    Member& member = *all[static_cast<std::size_t>(by[1] - '1')];
    for (std::uint64_t before = stepsPlayed();;) {
      if (hub.run([&] { return member.said(words); }, kPatienceMs)) return true;
      const std::uint64_t now = stepsPlayed();
      if (now == before) return false;
      before = now;
    }
  }
  // By all of them, as they say themselves.
  std::uint64_t stepsPlayed() {
    std::uint64_t sum = 0;
    for (const auto& member : all) {
      const std::size_t from = member->program->log().size();
      std::size_t at = std::string::npos;
      member->program->signal(SIGUSR1);
      REQUIRE(hub.run(
          [&] {
            const std::string& log = member->program->log();
            at = log.find(kSteps, from);
            return at != std::string::npos && log.find('\n', at) != std::string::npos;
          },
          kPatienceMs));
      sum += std::stoull(member->program->log().substr(at + kSteps.size()));
    }
    return sum;
  }
  bool said(const std::string& words) const {
    for (const auto& member : all)
      if (member->said(words)) return true;
    return false;
  }

  Place place;
  Hub hub;
  std::vector<std::unique_ptr<Member>> all;
};

}  // namespace

TEST_CASE("three alike agree") {
  Three three("", "");
  for (const char* by : {"n1", "n2", "n3"})
    for (const std::string other : {"n1", "n2", "n3"})
      if (by != other) CHECK(three.come(by, "audit: " + other + " decides as this relay"));
  three.all[0]->program->signal(SIGUSR1);
  CHECK(three.come("n1", "audit-agree=2 audit-differ=0"));
  CHECK_FALSE(three.said("decides otherwise"));
  CHECK_FALSE(three.said("has another version"));
  CHECK_FALSE(three.said("decided otherwise"));
}

TEST_CASE("one digit of one relay's settings is named as such") {
  Three three("\"memorySpanMs\":15000.0", "\"memorySpanMs\":15001.0");
  for (const char* by : {"n1", "n2"}) CHECK(three.come(by, "audit: n3 has another version of the settings"));
  CHECK(three.come("n3", "audit: n1 has another version of the settings"));
  CHECK(three.come("n1", "audit: n2 decides as this relay"));
  CHECK_FALSE(three.said("audit: n3 decides as this relay"));
  CHECK_FALSE(three.said("decides otherwise"));
}
