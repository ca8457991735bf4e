// Tests of the section [fleet] of the operator's file.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "config/live_config.h"
#include "config/operator_file.h"
#include "lab/site.h"

using namespace myrtleloft;
namespace fs = std::filesystem;

namespace {

const std::string kHead = "[fleet]\nname = \"vina\"\nlisten = \"127.0.0.1:7101\"\n";

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string faultOf(const std::string& text, const std::string& relay = "n1") {
  try {
    parseOperatorFile(text, "f.toml", relay);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

std::string reloadFault(LiveConfig& live) {
  const std::optional<ConfigError> error = live.reload();
  return error ? error->what() : "";
}

// A configuration and an operator's file in a temporary folder.
struct Written {
  Written() {
    std::string name = (fs::temp_directory_path() / "fleet-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()));
    folder = name;
    environment = {{"BALANCER_CONFIG", folder + "/c.json"},
                   {"BALANCER_STATE", folder},
                   {"BALANCER_OPERATOR", folder + "/o.toml"}};
    configure(R"("sockets":1024,"memory_mb":192)");
  }
  ~Written() { fs::remove_all(folder); }
  void configure(const std::string& limits, const std::string& name = "n1") const {
    std::ofstream(folder + "/c.json")
        << R"({"name":")" << name << R"(","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","limits":{)"
        << limits << R"(},"settings":)" << lab::kSiteSettings << "}";
  }
  void operate(const std::string& text) const { std::ofstream(folder + "/o.toml") << text; }
  std::string fault() const {
    try {
      readConfig(environment);
    } catch (const ConfigError& error) {
      return error.what();
    }
    return "";
  }
  static std::string manyPeers(int count) {
    std::ostringstream text;
    text << kHead << "peers = [";
    for (int i = 0; i < count; ++i) text << "\"m" << i << "=127.0.0.1:" << 8000 + i << "\", ";
    text << "]\n";
    return text.str();
  }

  std::string folder;
  Environment environment;
};

}  // namespace

TEST_CASE("an empty operator's file is a good one, a missing one and a folder are not") {
  Written files;
  files.operate("");
  CHECK_EQ(files.fault(), "");
  CHECK_FALSE(readConfig(files.environment).operatorFile.fleet.enabled);
  fs::remove(files.folder + "/o.toml");
  CHECK(has(files.fault(), "cannot read"));
  fs::create_directory(files.folder + "/o.toml");
  CHECK(has(files.fault(), "cannot read"));
}

TEST_CASE("the section [fleet]: each key") {
  const FleetPlan off = parseOperatorFile("", "f").fleet;
  CHECK((!off.enabled && off.peers.empty()));
  const FleetPlan plan =
      parseOperatorFile(kHead +
                            "peers = [\"n3=127.0.0.1:7103\", \"n2=127.0.0.1:7102\"]\ncopies = 0\n"
                            "when_short = \"alone\"\n[fleet.popularity]\n[fleet.audit]\n",
                        "f", "n1")
          .fleet;
  CHECK((plan.enabled && plan.name == "vina" && plan.listen.text == "127.0.0.1:7101" && plan.copies == 0));
  CHECK(plan.whenShort == FleetPlan::WhenShort::kAlone);
  REQUIRE(plan.peers.size() == 2);
  CHECK((plan.peers[0].name == "n2" && plan.peers[1].address.text == "127.0.0.1:7103"));
}

TEST_CASE("the section in deploy/example.toml is good once its comment signs are gone") {
  std::ifstream in(MYRTLELOFT_DEPLOY "/example.toml");
  std::string text;
  for (std::string line; std::getline(in, line) && line != "#[fleet.popularity]";)
    if (line == "#[fleet]" || (!text.empty() && line.size() > 1 && line[0] == '#' && line[1] != ' '))
      text += line.substr(1) + "\n";
  const FleetPlan plan = parseOperatorFile(text, "example.toml", "n1").fleet;
  CHECK((plan.enabled && plan.name == "north" && plan.peers.size() == 2));
}

TEST_CASE("the section [fleet]: what it cannot be, by line, column and key") {
  const auto fault = [](const std::string& lines) { return faultOf(kHead + lines); };
  CHECK(has(faultOf("[fleet]\nlisten = \"127.0.0.1:1\"\n"), "f.toml:1:1: fleet.name: missing"));
  CHECK(has(faultOf("[fleet]\nname = \"a b\"\n"), "f.toml:2:8: fleet.name: expected up to 64 letters"));
  CHECK(has(faultOf("[fleet]\nname = \"v\"\n"), "f.toml:1:1: fleet.listen: missing"));
  CHECK(has(faultOf("[fleet]\nname = \"v\"\nlisten = \"7101\"\n"),
            "f.toml:3:10: fleet.listen: expected an IPv4"));
  CHECK(has(faultOf("fleet = 3\n"), "f.toml:1:9: fleet: expected a section"));
  CHECK(has(fault("peers = [\"n2=127.0.0.1:7102\", \"n2=127.0.0.1:7103\"]\n"),
            "f.toml:4:31: fleet.peers: expected each name only once, found 'n2=127.0.0.1:7103'"));
  CHECK(has(fault("peers = [\"n2=127.0.0.1:7102\", \"n3=127.0.0.1:7102\"]\n"),
            "expected each address only once"));
  CHECK(has(fault("peers = [\"n1=127.0.0.1:7102\"]\n"), "f.toml:4:10: fleet.peers: expected relays other"));
  CHECK(has(fault("peers = [\"n2=127.0.0.1:7101\"]\n"), "an address other than this relay's own"));
  for (const char* bad : {"n2", "=127.0.0.1:1", "n2=127.0.0.1", "n2=host:1", "n2=127.0.0.1:0",
                          "n 2=127.0.0.1:1", "n2=127.0.0.1:70000", ""})
    CHECK(has(fault("peers = [\"" + std::string(bad) + "\"]\n"),
              "f.toml:4:10: fleet.peers: expected a relay's name"));
  CHECK(has(fault("peers = [3]\n"), "f.toml:4:10: fleet.peers: expected a relay's name"));
  CHECK(has(fault("peers = \"n2=127.0.0.1:1\"\n"), "f.toml:4:9: fleet.peers: expected a list"));
  CHECK(
      has(fault("copies = 1\n"), "f.toml:4:10: fleet.copies: expected at most the number of peers, found 1"));
  CHECK(has(fault("copies = 5\n"), "f.toml:4:10: fleet.copies: expected a whole number from 0 to 4"));
  CHECK(has(fault("when_short = \"wait\"\n"),
            "f.toml:4:14: fleet.when_short: expected one of \"refuse\", \"alone\""));
  CHECK(has(fault("copy = 1\n"),
            "f.toml:4:1: fleet.copy: unknown key; valid keys: name, listen, peers, copies"));
  CHECK(has(fault("[fleet.audit]\nevery = 1\n"),
            "f.toml:5:1: fleet.audit.every: unknown key; valid keys: every_s"));
  CHECK(has(faultOf(Written::manyPeers(128)), "fleet.peers: expected 127 peers at most"));
  CHECK_EQ(faultOf(Written::manyPeers(127)), "");
}

TEST_CASE("what is not built yet is refused, not read and forgotten") {
  CHECK(has(faultOf(kHead + "peers = [\"n2=127.0.0.1:7102\"]\ncopies = 1\n"),
            "f.toml:5:10: fleet.copies: not implemented yet, expected 0, found 1"));
  CHECK(has(faultOf(kHead + "[fleet.popularity]\nwarm_kb = 256\n"),
            "f.toml:5:11: fleet.popularity.warm_kb: not implemented"));
}

TEST_CASE("a fleet may take half of a relay's descriptors and memory at most, and its name must fit") {
  Written files;
  files.operate(Written::manyPeers(100));
  CHECK_EQ(files.fault(), "");
  files.configure(R"("sockets":256,"memory_mb":192)");
  CHECK(has(files.fault(),
            "fleet.peers: 100 peers need up to 217 descriptors, more than half of limits.sockets"));
  files.configure(R"("sockets":1024,"memory_mb":32)");
  CHECK(has(files.fault(), "more than half of limits.memory_mb"));
  files.configure(R"("sockets":1024)", "n 1");
  CHECK(has(files.fault(), "name: 'n 1' is not a valid name in a fleet"));
}

TEST_CASE("SIGHUP's reading takes the peers alone, and nothing from a bad file") {
  Written files;
  files.operate(kHead + "peers = [\"n2=127.0.0.1:7102\"]\n");
  LiveConfig live(files.environment);
  const FleetPlan& plan = live.get().operatorFile.fleet;
  files.operate("[fleet]\nname = \"other\"\nlisten = \"127.0.0.1:7999\"\npeers = [\"n9=127.0.0.1:7109\"]\n");
  CHECK_EQ(reloadFault(live), "");
  CHECK((plan.name == "vina" && plan.listen.text == "127.0.0.1:7101"));
  REQUIRE(plan.peers.size() == 1);
  CHECK_EQ(plan.peers[0].name, "n9");
  files.operate(kHead + "peers = [\"n2=127.0.0.1:7102\", \"n1=127.0.0.1:7103\"]\n");
  CHECK(has(reloadFault(live), "o.toml:4:31: fleet.peers: expected relays other than this one"));
  CHECK_EQ(plan.peers[0].name, "n9");
  files.operate("");  // removing the section takes effect at the next start
  CHECK_EQ(reloadFault(live), "");
  CHECK_EQ(plan.peers[0].name, "n9");
}
