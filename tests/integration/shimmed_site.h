// One relay with the system-call shim (lab/fault_shim.h) among an endpoint of destination 7, a directory and
// clients. Whatever waits for something does it through `until`, which lets the stand-ins go on.
#pragma once

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "lab/fault_shim.h"
#include "lab/hub.h"
#include "lab/site.h"
#include "lab/stand_ins.h"

namespace myrtleloft::lab {

class ShimmedSite {
 public:
  static constexpr int kPatienceMs = 20000;  // a bound for a test that fails, never a pause

  // `operatorText`: of the operator's file; empty: none.
  explicit ShimmedSite(const std::string& operatorText = "", std::string settings = kSiteSettings)
      : folder(newFolder()),
        shim(folder + "/shim", 1),
        endpoint(hub, "a", 7),
        directory(hub),
        settings_(std::move(settings)) {
    if (!operatorText.empty()) std::ofstream(operatorFile_ = folder + "/operator.toml") << operatorText;
    directory.noticed = [this](const std::string& id, const std::string& result) {
      notices.try_emplace(id, Notice{result, steadyMs()});
    };
    directory.tell({endpoint.entry()});
    makeRelay("127.0.0.1:0");
  }
  ~ShimmedSite() {
    relay.reset();
    std::filesystem::remove_all(folder);
  }

  void makeRelay(const std::string& listen) {
    relay = std::make_unique<Program>(
        hub, MYRTLELOFT_PROGRAM, folder,
        R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + directory.address() +
            R"(","seed":"5","limits":{"sockets":256,"disk_mb":1},"settings":)" + settings_ + "}",
        operatorFile_);
    relay->environment = shim.environment(MYRTLELOFT_FAULT_SHIM);
  }
  bool serves() {
    return until([this] { return relay->ready() && directory.heard(); });
  }
  bool start() {
    relay->start();
    return serves();
  }
  void restart() {
    relay->kill();
    directory.restart();
    relay->start();
  }
  bool until(const std::function<bool()>& done, int mostMs = kPatienceMs) {
    return hub.run(
        [&] {
          directory.turn();
          return done();
        },
        mostMs);
  }
  // Lets so much time pass.
  void pass(int ms) {
    until([] { return false; }, ms);
  }

  // Hands a message in, on a connection of its own; `answers` gets the status, -1 where it ended without one.
  void hand(const std::string& id, const std::string& cls, double timeS) {
    const Hub::Id client =
        hub.connect(relay->address(), {[this, id](Hub::Id from, const Message& m) {
                                         answers.try_emplace(id, std::atoi(m.start.c_str() + 9));
                                         hub.close(from);
                                       },
                                       [this, id](Hub::Id) { answers.try_emplace(id, -1); },
                                       {}});
    hub.send(client, "POST /" + cls + " HTTP/1.1\r\nX-Request-ID: " + id +
                         "\r\nX-Timeout: " + std::to_string(timeS) + "\r\nIdempotency-Key: key-" + id +
                         "\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello");
  }
  bool answered(const std::string& id) {
    return until([&] { return answers.count(id) > 0; });
  }
  bool taken(const std::string& id) { return answered(id) && answers.at(id) == 202; }
  std::size_t callsOf(const std::string& id) const {
    std::size_t count = 0;
    for (const Endpoint::Call& call : endpoint.calls) count += call.id == id;
    return count;
  }
  // Whether the relay has ended, with that code, within the patience.
  bool endsWith(int code, int mostMs = kPatienceMs) {
    int seen = 0;
    return until([&] { return relay->ended(seen); }, mostMs) && seen == code;
  }
  std::size_t logged(const std::string& text) const {
    std::size_t count = 0;
    for (std::size_t at = relay->log().find(text); at != std::string::npos;
         at = relay->log().find(text, at + 1))
      ++count;
    return count;
  }

  struct Notice {
    std::string result;
    double atMs = 0;  // lab::steadyMs
  };
  const std::string folder;
  FaultShim shim;
  Hub hub;
  Endpoint endpoint;
  Directory directory;
  std::unique_ptr<Program> relay;
  std::map<std::string, int> answers;
  std::map<std::string, Notice> notices;  // the first of each request

 private:
  std::string settings_, operatorFile_;

  static std::string newFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "shimmed-XXXXXX").string();
    return ::mkdtemp(name.data()) ? name : "";
  }
};

}  // namespace myrtleloft::lab
