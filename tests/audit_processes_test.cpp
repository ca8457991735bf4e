// Three real processes check each other. With equal settings they agree; one with a different settings value
// is reported together with the part that differs.
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

// Timeout since the last step of the audit. The total time of all steps depends on the machine, as each relay
// gives them 2% of a core.
constexpr int kProgressTimeoutMs = 120000;

const std::string kListeningText = "accepting relays of fleet 'vina' at ";
const std::string kStepsCounter = "audit-steps=";

struct TemporaryFolder {
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "audit-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder = name;
  }
  ~TemporaryFolder() { fs::remove_all(folder); }
  std::string folder;
};

struct Member {
  Member(Hub& hub, const std::string& folder, const std::string& relay, std::size_t number,
         const std::string& settings)
      : name(relay), file(folder + "/" + relay + "/operator.toml") {
    std::string own = settings;  // with the instance index of this relay
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
  bool logged(const std::string& text) const { return program->log().find(text) != std::string::npos; }

  std::string name, file, address;
  std::unique_ptr<Program> program;
};

struct ThreeRelays {
  // Replaces `original` by `replacement` in the settings of n3.
  ThreeRelays(const std::string& original, const std::string& replacement) {
    for (std::size_t i = 0; i < 3; ++i) {
      std::string settings = kSiteSettings;
      replaceAll(settings, "\"balancers\":1", "\"balancers\":3");
      if (i == 2 && !original.empty()) replaceAll(settings, original, replacement);
      all.push_back(
          std::make_unique<Member>(hub, temporary.folder, "n" + std::to_string(i + 1), i, settings));
      Member& member = *all.back();
      member.program->start();
      const std::string& log = member.program->log();
      std::size_t from = std::string::npos, end = std::string::npos;
      REQUIRE(hub.run(
          [&] {
            from = log.find(kListeningText);
            end = log.find('\n', from);
            return member.program->ready() && from != std::string::npos && end != std::string::npos;
          },
          kProgressTimeoutMs));
      from += kListeningText.size();
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
  bool waitForLog(const std::string& by, const std::string& text) {
    Member& member = *all[static_cast<std::size_t>(by[1] - '1')];
    for (std::uint64_t before = playedSteps();;) {
      if (hub.run([&] { return member.logged(text); }, kProgressTimeoutMs)) return true;
      const std::uint64_t now = playedSteps();
      if (now == before) return false;
      before = now;
    }
  }
  // Sum of the step counters in the logs of all relays.
  std::uint64_t playedSteps() {
    std::uint64_t sum = 0;
    for (const auto& member : all) {
      const std::size_t from = member->program->log().size();
      std::size_t at = std::string::npos;
      member->program->signal(SIGUSR1);
      REQUIRE(hub.run(
          [&] {
            const std::string& log = member->program->log();
            at = log.find(kStepsCounter, from);
            return at != std::string::npos && log.find('\n', at) != std::string::npos;
          },
          kProgressTimeoutMs));
      sum += std::stoull(member->program->log().substr(at + kStepsCounter.size()));
    }
    return sum;
  }
  bool logged(const std::string& text) const {
    for (const auto& member : all)
      if (member->logged(text)) return true;
    return false;
  }

  TemporaryFolder temporary;
  Hub hub;
  std::vector<std::unique_ptr<Member>> all;
};

}  // namespace

TEST_CASE("three alike agree") {
  ThreeRelays relays("", "");
  for (const char* by : {"n1", "n2", "n3"})
    for (const std::string other : {"n1", "n2", "n3"})
      if (by != other) CHECK(relays.waitForLog(by, "audit: " + other + " agrees with this relay"));
  relays.all[0]->program->signal(SIGUSR1);
  CHECK(relays.waitForLog("n1", "audit-agree=2 audit-differ=0"));
  CHECK_FALSE(relays.logged("diverges from this relay"));
  CHECK_FALSE(relays.logged("has had a different version"));
  CHECK_FALSE(relays.logged("nondeterministic decision"));
}

TEST_CASE("one digit of one relay's settings is named as such") {
  ThreeRelays relays("\"memorySpanMs\":15000.0", "\"memorySpanMs\":15001.0");
  for (const char* by : {"n1", "n2"})
    CHECK(relays.waitForLog(by, "audit: n3 has had a different version of the settings"));
  CHECK(relays.waitForLog("n3", "audit: n1 has had a different version of the settings"));
  CHECK(relays.waitForLog("n1", "audit: n2 agrees with this relay"));
  CHECK_FALSE(relays.logged("audit: n3 agrees with this relay"));
  CHECK_FALSE(relays.logged("diverges from this relay"));
}
