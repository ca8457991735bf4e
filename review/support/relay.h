// One real relay: the project's program, started by `run` of deploy/balancer.toml through /bin/sh from the
// root of the repository, as the deployment page says. The working folder of the test must be that root.
//
//   Relay relay(hub, record, {.agentAddress = agent.address(), .known = agent.wholeList()});
//   relay.start();
//
// One thread. Kills the process at its end and removes its temporary folder.
#pragma once

#include <sys/types.h>

#include <string>

#include "lab/hub.h"
#include "review/support/record.h"

namespace myrtleloft::review {

struct RelayOptions {
  std::string agentAddress, known;
  std::string settings;  // JSON; by default review/support/settings.json
  std::string name = "n1";
  int memoryMb = 64, sockets = 256, diskMb = 1;
};

class Relay {
 public:
  Relay(lab::Hub& hub, Record& record, RelayOptions options);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void start();
  // Sends a signal and records it.
  void signal(int number) const;
  // SIGKILL, and waits for the end.
  void kill();
  // SIGKILL; the state folder is lost as well.
  void loseMachine();
  // Whether the process has ended by itself; records how.
  bool ended();
  // Whether GET /up was answered 200 since the last start; asks again each 20 ms. To be called with each
  // turn.
  bool ready();
  // Replaces the configuration file by one with these settings (JSON) and sends SIGHUP.
  void reconfigure(const std::string& settings);
  const std::string& listenAddress() const { return listenAddress_; }
  std::string stateFolder() const { return folder_ + "/state"; }
  pid_t pid() const { return process_; }

 private:
  void writeConfiguration() const;

  lab::Hub& hub_;
  Record& record_;
  RelayOptions options_;
  std::string folder_, listenAddress_;
  pid_t process_ = -1;
  int starts_ = 0;
  bool ready_ = false;
  double nextCheckMs_ = 0;
};

// The whole text of a file; "" if there is none.
std::string fileText(const std::string& path);

// Replaces each `from` in `text`; returns the result.
std::string replaced(std::string text, const std::string& from, const std::string& to);

}  // namespace myrtleloft::review
