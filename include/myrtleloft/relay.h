// The relay as a library: configured from the deployment's environment, run on the calling thread.
//
//   myrtleloft::Relay relay(myrtleloft::environmentOf(environ), std::clog);
//   return relay.run();
//
// All calls come from one thread; `run` blocks it until the relay has stopped. A process has one relay at a
// time: it blocks the signals named at `run` for the process and ignores SIGPIPE.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <utility>

namespace myrtleloft {

using Environment = std::map<std::string, std::string>;

class Clock;
class Files;
class LiveConfig;
class RelayProcess;

// Replacements of the operating system's services, for tests and other stores; each must outlive the relay.
struct RelayDependencies {
  Files* files = nullptr;        // the file layer beneath the journal (journal/files.h); none: the system's
  const Clock* clock = nullptr;  // net/clock.h; none: the system's
};

// Of a list as in environ(7), "NAME=VALUE" and a null at its end.
Environment environmentOf(const char* const* entries);

// Blocks the signals named at Relay::run, as it does itself. A program that calls this first thing keeps
// those that come before the relay has read its configuration: it handles them once it runs. false: errno
// says why.
bool blockRelaySignals();

// Where the configuration is faulty, as far as it is known.
struct ConfigLocation {
  std::string file;  // of the operator's file, as it was named; empty: the JSON configuration
  std::string key;   // "settings.classes[2].repeat", or a variable of the environment; empty: no single key
  std::size_t line = 0;    // from 1; 0: not known
  std::size_t column = 0;  // from 1, in bytes; 0: not known
};

// A fault in the configuration. The text names the key and, where it stands in a file, line and column.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& text, ConfigLocation location = {})
      : std::runtime_error(text), location_(std::move(location)) {}
  const ConfigLocation& location() const { return location_; }

 private:
  ConfigLocation location_;
};

class Relay {
 public:
  enum class Phase {
    kStarting,    // takes its signals and its address; also between two attempts to start
    kRecovering,  // reads the journal and the endpoint list
    kServing,     // accepts requests, as long as they can be recorded
    kDraining,    // accepts nothing new, completes what is in flight
    kStopped      // `run` returns
  };

  // Reads the configuration. `log` must outlive the relay. Throws ConfigError.
  Relay(const Environment& environment, std::ostream& log, const RelayDependencies& dependencies = {});
  ~Relay();

  // Starts, and serves until it is stopped. Returns the exit code: 0 after a graceful shutdown, 1 if it
  // cannot start.
  //
  // A start that fails is retried ten times a second: for up to a minute where the cause may pass (no
  // descriptor, no port, a disk that fails or is full), for two seconds where another process has the address
  // or the folder, and not at all where the cause remains, as with a missing folder. An allocation that fails
  // while the relay serves does not end it: it starts again from its journal, at the same address. One that
  // fails before it has served is thrown as std::bad_alloc.
  //
  // Signals: SIGTERM and SIGINT drain, SIGHUP reads the configuration again, SIGUSR1 prints the counters.
  int run();
  // Begins the graceful shutdown: accepts nothing new, completes what is in flight, then stops. Nothing
  // happens while the relay does not serve.
  void drain();
  Phase phase() const;
  // Writes the counters to the log.
  void printCounters() const;

 private:
  // The exit code, if the relay does not come to serving.
  std::optional<int> start();

  std::ostream& log_;
  RelayDependencies dependencies_;
  std::unique_ptr<LiveConfig> config_;
  std::unique_ptr<RelayProcess> process_;  // none between two starts
};

}  // namespace myrtleloft
