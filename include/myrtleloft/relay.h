// The relay as a library: it is configured from environment variables and runs on the calling thread.
//
//   myrtleloft::Relay relay(myrtleloft::environmentOf(environ), std::clog);
//   return relay.run();
//
// Not thread-safe: make all calls from one thread. `run` blocks until the relay has stopped. A process may
// have one relay at a time, as it blocks the signals listed at Relay::run for the process and ignores
// SIGPIPE.
#pragma once

#include <cstddef>
#include <cstdint>
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
struct StartupFailure;

// Replacements for operating system services, for tests and other storage; each must outlive the relay.
struct RelayDependencies {
  Files* files = nullptr;        // file access of the journal (journal/files.h); nullptr for the system's
  const Clock* clock = nullptr;  // net/clock.h; nullptr for the system's
};

// Converts a null-terminated list of "NAME=VALUE" entries as in environ(7).
Environment environmentOf(const char* const* entries);

// Blocks the signals listed at Relay::run, as the relay itself does. A program that calls this first does not
// lose signals that arrive before the relay has read its configuration: they stay pending until it runs.
// Returns false, with errno set, on failure.
bool blockRelaySignals();

// Location of an error in the configuration, as far as it is known.
struct ConfigLocation {
  std::string file;      // path of the operator's file as given; empty for the JSON configuration
  std::string key;       // "settings.classes[2].repeat" or an environment variable; empty if not a single key
  std::size_t line = 0;  // from 1; 0 if not known
  std::size_t column = 0;  // in bytes from 1; 0 if not known
};

enum class ConfigErrorKind : std::uint8_t {
  kInvalid,      // a variable that is not set, or a file that is complete and wrong
  kUnavailable,  // a file that is missing, incomplete or cannot be read for now
};

// An error in the configuration. The message names the key and, for a file, its line and column.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& text, ConfigLocation location = {},
                       ConfigErrorKind kind = ConfigErrorKind::kInvalid)
      : std::runtime_error(text), location_(std::move(location)), kind_(kind) {}
  const ConfigLocation& location() const { return location_; }
  ConfigErrorKind kind() const { return kind_; }

 private:
  ConfigLocation location_;
  ConfigErrorKind kind_;
};

class Relay {
 public:
  enum class Phase {
    kStarting,    // blocks signals and binds its address; also between two attempts to start
    kRecovering,  // reads the journal and the endpoint list
    kServing,     // accepts requests while they can be recorded in the journal
    kDraining,    // accepts no new requests, completes the accepted ones
    kStopped      // `run` returns
  };

  // Reads the configuration. `log` must outlive the relay. Throws ConfigError on an error in it; a file that
  // is not available yet is left to `run`.
  Relay(const Environment& environment, std::ostream& log, const RelayDependencies& dependencies = {});
  ~Relay();

  // Starts the relay and serves until it is stopped. Returns the exit code: 0 after a graceful shutdown, 1 if
  // the relay cannot start.
  //
  // A failed start is retried ten times per second: for up to a minute if resources are used up (no file
  // descriptor, no port, a failing or full disk), for 30 s if something is not there yet (a file or the state
  // folder is missing, incomplete or unreadable) or is still held by another process (the address, the
  // folder), and not at all if the cause is permanent. Throws ConfigError if a file of the configuration did
  // not become available in that time, or is invalid then. If a memory allocation fails while the relay
  // serves, it restarts from its journal at the same address; if one fails before it has served,
  // std::bad_alloc is thrown.
  //
  // Signals: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration, SIGUSR1 prints
  // the counters.
  int run();
  // Starts a graceful shutdown: the relay accepts no new requests, completes the accepted ones, then stops.
  // Has no effect unless the relay serves.
  void drain();
  Phase phase() const;
  // Writes the counters to the log.
  void printCounters() const;

 private:
  // Returns the exit code if the relay cannot start, std::nullopt once it is ready to serve.
  std::optional<int> start();
  // Returns the error if a file is not available yet; throws ConfigError on any other.
  std::optional<ConfigError> readConfiguration();
  void makeProcess(bool logsPhases);
  std::optional<StartupFailure> attemptStart(bool isFirst, double waitedMs);
  void logRetry(const StartupFailure& failure) const;
  // Logs why the start is given up. Returns the exit code; throws ConfigError if there is no configuration.
  int giveUp(const StartupFailure& failure);

  const Environment environment_;
  std::ostream& log_;
  RelayDependencies dependencies_;
  std::unique_ptr<LiveConfig> config_;     // nullptr until its files are available
  std::unique_ptr<RelayProcess> process_;  // nullptr between two attempts to start
};

}  // namespace myrtleloft
