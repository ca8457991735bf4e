#include "review/support/relay.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <utility>

#include "lab/loopback.h"

namespace myrtleloft::review {
namespace {

constexpr double kReadyCheckEachMs = 20;

// `run` of the deploy file.
std::string runCommand() {
  std::istringstream lines(fileText("deploy/balancer.toml"));
  const std::string mark = "run = \"";
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(mark)) return line.substr(mark.size(), line.find('"', mark.size()) - mark.size());
  return "";
}

// An address of this process on which nobody listens.
std::string freeAddress() {
  constexpr int kLastOfHost = 3;
  const std::string host = lab::processHost(kLastOfHost);
  const int fd = lab::bindLoopback(host + ":0");
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  ::close(fd);
  return host + ":" + std::to_string(ntohs(bound.sin_port));
}

std::string temporaryFolder() {
  std::string name = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  return ::mkdtemp(name.data()) ? name : "";
}

}  // namespace

std::string fileText(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

Relay::Relay(lab::Hub& hub, Record& record, RelayOptions options)
    : hub_(hub),
      record_(record),
      options_(std::move(options)),
      folder_(temporaryFolder()),
      listenAddress_(freeAddress()) {
  if (options_.settings.empty()) options_.settings = fileText("review/support/settings.json");
  std::filesystem::create_directories(stateFolder());
}

Relay::~Relay() {
  kill();
  std::filesystem::remove_all(folder_);
}

void Relay::writeConfiguration() const {
  std::ofstream(folder_ + "/config.json")
      << R"({"name":")" << options_.name << R"(","listen":")" << listenAddress_ << R"(","discovery":")"
      << options_.agentAddress << R"(","seed":"8c1f30d27a5be9)" << 10 + starts_
      << R"(","limits":{"cores":1.0,"memory_mb":)" << options_.memoryMb << R"(,"sockets":)"
      << options_.sockets << R"(,"disk_mb":)" << options_.diskMb << R"(},"known":)" << options_.known
      << R"(,"settings":)" << options_.settings << "}\n";
}

void Relay::start() {
  writeConfiguration();
  ++starts_;
  ready_ = false;
  nextCheckMs_ = 0;
  const std::string command = runCommand();
  const std::string scratch = folder_ + "/tmp-" + std::to_string(starts_);
  std::filesystem::create_directories(scratch);
  const std::string log = folder_ + "/log";
  record_.write("relay " + options_.name + ": start " + std::to_string(starts_) + " by /bin/sh -c '" +
                command + "'");
  process_ = ::fork();
  if (process_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int logFd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(logFd, STDOUT_FILENO);
  ::dup2(logFd, STDERR_FILENO);
  ::setenv("BALANCER_NAME", options_.name.c_str(), 1);
  ::setenv("BALANCER_LISTEN", listenAddress_.c_str(), 1);
  ::setenv("BALANCER_DISCOVERY", options_.agentAddress.c_str(), 1);
  ::setenv("BALANCER_STATE", stateFolder().c_str(), 1);
  ::setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
  ::setenv("TMPDIR", scratch.c_str(), 1);
  ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
  ::_exit(kCouldNotRun);
}

void Relay::reconfigure(const std::string& settings) {
  options_.settings = settings;
  writeConfiguration();
  record_.write("relay " + options_.name + ": its configuration file is replaced");
  signal(SIGHUP);
}

void Relay::signal(int number) const {
  record_.write("relay " + options_.name + ": signal " + std::to_string(number));
  if (process_ > 0) ::kill(process_, number);
}

void Relay::kill() {
  if (process_ <= 0) return;
  signal(SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = -1;
}

void Relay::loseMachine() {
  kill();
  std::filesystem::remove_all(stateFolder());
  std::filesystem::create_directories(stateFolder());
  record_.write("relay " + options_.name + ": its machine is lost, with the state folder");
}

bool Relay::ended() {
  int status = 0;
  if (process_ <= 0) return true;
  if (::waitpid(process_, &status, WNOHANG) != process_) return false;
  process_ = -1;
  record_.write("relay " + options_.name + ": ended " +
                (WIFEXITED(status) ? "with exit code " + std::to_string(WEXITSTATUS(status))
                                   : "by signal " + std::to_string(WTERMSIG(status))));
  return true;
}

bool Relay::ready() {
  if (ready_ || steadyMs() < nextCheckMs_) return ready_;
  nextCheckMs_ = steadyMs() + kReadyCheckEachMs;
  const auto connection = hub_.connect(
      listenAddress_, {[this](lab::Hub::Id from, const lab::Message& message) {
                         if (message.start.starts_with("HTTP/1.1 200") && !ready_) {
                           ready_ = true;
                           record_.write("relay " + options_.name + ": ready, GET /up is answered 200");
                         }
                         hub_.close(from);
                       },
                       {},
                       {}});
  hub_.send(connection, "GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
  return ready_;
}

}  // namespace myrtleloft::review
