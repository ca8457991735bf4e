#include "tests/integration/player.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "lab/site.h"
#include "net/socket.h"
#include "tests/integration/player_peer.h"
#include "tests/integration/player_text.h"

namespace myrtleloft::testing {
namespace {

namespace fs = std::filesystem;

class Player {
 public:
  Player(std::string program, std::vector<std::string> variables)
      : program_(std::move(program)), variables_(std::move(variables)) {
    std::string folder = (fs::temp_directory_path() / "exchange-XXXXXX").string();
    if (!::mkdtemp(folder.data())) throw Failure("no temporary folder");
    folder_ = folder;
    fs::create_directory(folder_ / "state");
    listen("D");
  }
  ~Player() {
    if (child_ > 0) stop(SIGKILL);
    fs::remove_all(folder_);
  }

  void run(const std::string& line) {
    std::istringstream words(line);
    std::string verb, name, rest;
    words >> verb >> name;
    std::getline(words >> std::ws, rest);
    const std::size_t arrow = line.find_first_of("<>");
    if (verb == "endpoint") return endpoint(name, rest);
    if (verb == "config") return change(line.substr(line.find(' ') + 1));
    if (verb == "operator") return addOperator(line.substr(line.find(' ') + 1));
    if (verb == "written") return void(writtenDaysAgo_ = std::stoi(name));
    if (verb == "variable") return variables_.push_back(filled(name));
    if (verb == "listener") return listen(name);
    if (verb == "start") return start();
    if (verb == "reload") return reload();
    if (verb == "stop") return expectStop(name, rest);
    if (verb == "signal") return void(::kill(child_, SIGUSR1));
    if (verb == "terminate") return void(::kill(child_, SIGTERM));
    if (verb == "log") return expectLog(filled(line.substr(line.find(' ') + 1)));
    if (verb == "connect") return connect(name);
    if (verb == "accept") return accept(name, rest);
    if (verb == "pause") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(name)));
    if (verb == "shut") return void(::shutdown(peers_.at(name).fd.get(), SHUT_WR));
    if (verb == "refuse") return void(listeners_.erase(name));
    if (verb == "close") return void(peers_.erase(name));
    if (arrow == std::string::npos || !peers_.count(line.substr(0, arrow))) throw Failure("unknown step");
    speak(peers_.at(line.substr(0, arrow)), line.substr(arrow));
  }
  std::string log() {
    readLog(0);
    return log_;
  }

 private:
  void listen(const std::string& name) {
    std::string error;
    listeners_[name] = listenOn(*parseAddress("127.0.0.1:0"), error);
    if (!listeners_[name]) throw Failure(error);
    addresses_[name] = localAddress(listeners_[name]);
  }
  // "endpoint E1 7 large norte": destination, kind, zone; "spare" as a fifth word keeps it off the first
  // list.
  void endpoint(const std::string& name, const std::string& rest) {
    listen(name);
    std::istringstream words(rest);
    std::string dest, kind, zone, spare;
    words >> dest >> kind >> zone >> spare;
    if (!spare.empty()) return;
    if (!known_.empty()) known_ += ',';
    known_ += std::string("{\"uid\":\"") + name + "\",\"endpoint\":\"" + addresses_[name] + "\",\"az\":\"" +
              zone + "\",\"model\":\"" + kind + "\",\"pod_group\":" + dest +
              ",\"state\":\"active\",\"capacity_hint\":1000.0,\"boot_ms\":0}";
  }
  // "operator LINE": one more of the operator's file, behind those of the one that all files are played with.
  void addOperator(const std::string& line) {
    const std::string path = (folder_ / "operator.toml").string(), name = "BALANCER_OPERATOR=";
    const auto given = std::find_if(variables_.begin(), variables_.end(),
                                    [&](const std::string& v) { return v.starts_with(name); });
    if (given != variables_.end() && *given != name + path) fs::copy_file(given->substr(name.size()), path);
    if (given != variables_.end())
      *given = name + path;
    else
      variables_.push_back(name + path);
    std::ofstream(path, std::ios::app) << line << '\n';
  }
  // "config WHAT -> WITH"
  void change(const std::string& rest) {
    const std::size_t arrow = rest.find(" -> ");
    changes_.emplace_back(filled(rest.substr(0, arrow)), filled(rest.substr(arrow + 4)));
  }
  void writeConfig() {
    std::string config = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + addresses_["D"] +
                         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":256,\"disk_mb\":1},"
                         "\"known\":{\"rev\":1,\"all\":true,\"targets\":[" +
                         known_ + "]},\"settings\":" + lab::kSiteSettings + "}";
    for (const auto& [what, with] : changes_) lab::replaceAll(config, what, with);
    std::ofstream(folder_ / "config.json") << config;
  }
  void reload() {
    writeConfig();
    ::kill(child_, SIGHUP);
  }

  void start() {
    writeConfig();
    fs::last_write_time(folder_ / "config.json",
                        fs::file_time_type::clock::now() - std::chrono::hours(24 * writtenDaysAgo_));
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw Failure("no pipe");
    std::vector<std::string> variables = variables_;
    variables.push_back("BALANCER_CONFIG=" + (folder_ / "config.json").string());
    variables.push_back("BALANCER_STATE=" + (folder_ / "state").string());
    std::vector<char*> environment;
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    child_ = ::fork();
    if (child_ == 0) {
      ::dup2(out[1], STDERR_FILENO);
      char* arguments[] = {program_.data(), nullptr};
      ::execve(program_.c_str(), arguments, environment.data());
      ::_exit(127);
    }
    ::close(out[1]);
    output_ = Fd(out[0]);
    log_.clear();
    static constexpr std::string_view kListens = "listening on ";
    while (log_.find("serving\n") == std::string::npos) {
      if (!readLog(kPatienceMs)) return;  // it ended: a later step says whether it should have
    }
    const std::size_t at = log_.find(kListens) + kListens.size();
    addresses_["P"] = log_.substr(at, log_.find('\n', at) - at);
    confirmList();
  }
  // Discovery confirms the list of a start without a change, so that no request waits for it. Where the list
  // is not fresh or there is none, or discovery refuses connections, the file itself says what happens.
  void confirmList() {
    const std::size_t at = log_.find("discovery: starting with");
    if (at == std::string::npos || !fits("*, fresh", log_.substr(at, log_.find('\n', at) - at))) return;
    if (listeners_.count("D") > 0) early_ = confirmInitialList(listeners_.at("D"));
  }
  bool readLog(int waitMs) {
    pollfd p{output_.get(), POLLIN, 0};
    if (::poll(&p, 1, waitMs) <= 0) return false;
    char chunk[4096];
    const ssize_t got = ::read(output_.get(), chunk, sizeof chunk);
    if (got <= 0) return false;
    log_.append(chunk, static_cast<std::size_t>(got));
    return true;
  }
  void expectLog(const std::string& pattern) {
    while (!fits("*" + pattern + "*", log_))
      if (!readLog(kPatienceMs)) throw Failure("not in the log");
  }
  int stop(int signal) {
    if (signal != 0) ::kill(child_, signal);
    int status = 0;
    while (readLog(kPatienceMs)) {  // until it ends, and with it its output
    }
    ::waitpid(std::exchange(child_, -1), &status, 0);
    return status;
  }
  // "stop KILL", "stop TERM 0" or, for a program that ends by itself, "stop - 2": the exit code.
  void expectStop(const std::string& how, const std::string& code) {
    const int status = stop(how == "KILL" ? SIGKILL : how == "TERM" ? SIGTERM : 0);
    if (how == "KILL") return;
    if (!WIFEXITED(status) || WEXITSTATUS(status) != std::stoi(code))
      throw Failure("ended with status " + std::to_string(status));
  }

  void connect(const std::string& name) {
    Peer& peer = peers_[name] = Peer{connectTo(*parseAddress(addresses_["P"])), ""};
    wait(peer.fd, POLLOUT);
    if (pendingError(peer.fd) != 0) throw Failure("connection refused");
  }
  void accept(const std::string& name, const std::string& from) {
    if (from == "D" && !early_.empty()) {
      peers_[name] = std::move(early_.front());
      return early_.pop_front();
    }
    peers_[name] = acceptPeer(listeners_.at(from));
  }

  std::string filled(std::string text) const {
    for (const auto& [name, address] : addresses_) lab::replaceAll(text, "{" + name + "}", address);
    return text;
  }
  void speak(Peer& peer, const std::string& step) {
    if (step.substr(0, 2) == ">>")
      return sendTo(peer, unescaped(filled(step.substr(std::min<std::size_t>(3, step.size())))));
    if (step.substr(0, 1) == ">")
      return sendTo(peer, filled(step.substr(std::min<std::size_t>(2, step.size()))) + "\r\n");
    if (step == "<END") {
      while (more(peer)) {
      }
      if (!peer.in.empty()) throw Failure("came: " + shown(peer.in));
      return;
    }
    if (step == "<...") {  // the rest of a head
      while (peer.in.find("\r\n\r\n") == std::string::npos) expectMore(peer);
      peer.in.erase(0, peer.in.find("\r\n\r\n") + 4);
      return;
    }
    if (step.substr(0, 2) == "<<") {  // all that is there, without a line's end
      const std::string pattern = unescaped(filled(step.substr(3)));
      while (!fits(pattern, peer.in)) expectMore(peer);
      peer.in.clear();
      return;
    }
    while (peer.in.find("\r\n") == std::string::npos) expectMore(peer);
    const std::string line = peer.in.substr(0, peer.in.find("\r\n"));
    if (!fits(filled(step.substr(std::min<std::size_t>(2, step.size()))), line))
      throw Failure("came: " + shown(peer.in));
    peer.in.erase(0, line.size() + 2);
  }

  std::string program_, known_, log_;
  fs::path folder_;
  std::map<std::string, Fd> listeners_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::pair<std::string, std::string>> changes_;
  std::vector<std::string> variables_;
  int writtenDaysAgo_ = 0;
  std::map<std::string, Peer> peers_;
  std::deque<Peer> early_;  // connections to D that were accepted ahead of their step
  Fd output_;
  pid_t child_ = -1;
};

}  // namespace

std::string play(const fs::path& script, const std::string& program,
                 const std::vector<std::string>& variables) {
  std::ifstream in(script);
  Player player(program, variables);
  std::string line;
  int steps = 0;
  for (int number = 1; std::getline(in, line); ++number) {
    if (line.empty() || line[0] == '#') continue;
    ++steps;
    try {
      player.run(line);
    } catch (const std::exception& failure) {
      return script.filename().string() + ":" + std::to_string(number) + ": " + line + "\n" + failure.what() +
             "\nlog:\n" + player.log();
    }
  }
  return steps > 0 ? "" : script.string() + " holds no steps";
}

}  // namespace myrtleloft::testing
