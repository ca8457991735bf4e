// Signals that come while the program still reads its configuration: it handles them once it serves, as it
// does later ones. The configuration is a pipe, so the test decides how long reading it takes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace {

using namespace myrtleloft::lab;
namespace fs = std::filesystem;

constexpr int kPatienceMs = 20000;

std::string freshFolder() {
  std::string name = (fs::temp_directory_path() / "signals-XXXXXX").string();
  REQUIRE(::mkdtemp(name.data()));
  return name;
}

// A program that has been started and waits for its configuration.
class ReadingProgram {
 public:
  ReadingProgram() {
    std::signal(SIGPIPE, SIG_IGN);  // the program may have ended
    REQUIRE(fs::remove(configFile_));
    REQUIRE(::mkfifo(configFile_.c_str(), S_IRUSR | S_IWUSR) == 0);
    program.start();
    // Opens as soon as the program reads.
    REQUIRE(hub_.run([this] { return (pipe_ = ::open(configFile_.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; },
                     kPatienceMs));
  }
  ~ReadingProgram() {
    program.kill();
    fs::remove_all(folder_);
  }
  // It reads the configuration to its end; from a file, if it does so once more.
  void giveConfig() {
    std::ofstream(configFile_ + ".new") << config_;
    fs::rename(configFile_ + ".new", configFile_);
    REQUIRE(::write(pipe_, config_.data(), config_.size()) == static_cast<ssize_t>(config_.size()));
    ::close(pipe_);
  }
  bool logs(const std::string& words) {
    return hub_.run([&] { return program.log().find(words) != std::string::npos; }, kPatienceMs);
  }
  bool ends(int& code) {
    return hub_.run([&] { return program.ended(code); }, kPatienceMs);
  }

 private:
  Hub hub_;
  std::string folder_ = freshFolder();
  std::string configFile_ = folder_ + "/config.json";
  std::string config_ = std::string(R"({"name":"n1","seed":"1","listen":"127.0.0.1:0",)") +
                        R"("discovery":"127.0.0.1:1","settings":)" + kSiteSettings + "}";
  int pipe_ = -1;

 public:
  Program program{hub_, MYRTLELOFT_PROGRAM, folder_, config_};
};

}  // namespace

// Guards against SIGHUP ending a relay that has only begun to start.
TEST_CASE("SIGHUP while the configuration is read lets the program start, which then reads it again") {
  ReadingProgram reading;
  reading.program.signal(SIGHUP);
  reading.giveConfig();
  CHECK(reading.logs("configuration reloaded"));
  int code = 0;
  CHECK_FALSE(reading.program.ended(code));
}

// Guards against SIGTERM ending a relay that has only begun to start as if it had crashed.
TEST_CASE("SIGTERM while the configuration is read ends the program with exit code 0") {
  ReadingProgram reading;
  reading.program.signal(SIGTERM);
  reading.giveConfig();
  int code = -1;
  REQUIRE(reading.ends(code));
  CHECK(code == 0);
}

// Guards against SIGUSR1 ending a relay that has only begun to start.
TEST_CASE("SIGUSR1 while the configuration is read prints the counters later") {
  ReadingProgram reading;
  reading.program.signal(SIGUSR1);
  reading.giveConfig();
  CHECK(reading.logs("counters"));
  int code = 0;
  CHECK_FALSE(reading.program.ended(code));
}
