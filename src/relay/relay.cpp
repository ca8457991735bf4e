#include "myrtleloft/relay.h"

#include <poll.h>

#include <csignal>
#include <ctime>
#include <new>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/live_config.h"
#include "policy/startup_policy.h"
#include "relay/relay_process.h"
#include "relay/startup_report.h"

namespace myrtleloft {
namespace {

constexpr int kOutOfMemoryPauseMs = 20;  // before a relay that ran out of memory restarts
constexpr int kExitStopped = 0;
constexpr int kExitCannotStart = 1;

// Waits for a signal that stops the relay; returns false if none arrives in that time. The relay's signals
// are blocked: this consumes a stop signal, and all others stay pending until the next attempt to start.
bool waitForStopSignal(double timeoutMs) {
  sigset_t stopSignals;
  sigemptyset(&stopSignals);
  sigaddset(&stopSignals, SIGTERM);
  sigaddset(&stopSignals, SIGINT);
  const timespec timeout{0, static_cast<long>(timeoutMs * 1e6)};
  return ::sigtimedwait(&stopSignals, nullptr, &timeout) > 0;
}

}  // namespace

Environment environmentOf(const char* const* entries) {
  Environment environment;
  if (entries == nullptr) return environment;  // as clearenv(3) leaves it
  for (; *entries != nullptr; ++entries) {
    const std::string_view text = *entries;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  return environment;
}

Relay::Relay(const Environment& environment, std::ostream& log, const RelayDependencies& dependencies)
    : environment_(environment), log_(log), dependencies_(dependencies) {
  if (!readConfiguration()) makeProcess(true);
}
Relay::~Relay() = default;

int Relay::run() {
  bool served = false;
  bool draining = false;
  for (;;) {
    try {
      if (const std::optional<int> exitCode = start()) return *exitCode;
      process_->serve(draining);
      return kExitStopped;
    } catch (const std::bad_alloc&) {
      if (process_) {
        served = served || process_->hasServed();
        draining = draining || process_->phase() == Phase::kDraining;
      }
      if (!served) throw;
    }
    try {
      if (process_) process_->abandon();
    } catch (const std::bad_alloc&) {  // no memory even for that: the connections are closed unanswered
    }
    process_.reset();  // releases the folder lock, the address and the memory
    ::poll(nullptr, 0, kOutOfMemoryPauseMs);
  }
}

std::optional<int> Relay::start() {
  const Clock systemClock;
  const Clock& clock = dependencies_.clock ? *dependencies_.clock : systemClock;
  const double firstAttemptMs = clock.steadyMs();
  std::string loggedText;
  for (bool isFirst = true;; isFirst = false) {
    const std::optional<StartupFailure> failure = attemptStart(isFirst, clock.steadyMs() - firstAttemptMs);
    if (!failure) return std::nullopt;
    if (!mayWait(failure->cause, clock.steadyMs() - firstAttemptMs)) return giveUp(*failure);
    if (std::exchange(loggedText, failure->text) != failure->text) logRetry(*failure);
    if (waitForStopSignal(kStartupRetryIntervalMs)) {
      if (process_) process_->stop();
      return kExitStopped;
    }
    process_.reset();  // releases the folder lock and the address
  }
}

std::optional<ConfigError> Relay::readConfiguration() {
  try {
    config_ = std::make_unique<LiveConfig>(environment_);
    return std::nullopt;
  } catch (const ConfigError& error) {
    if (error.kind() == ConfigErrorKind::kUnavailable) return error;
    logStartupReport(Log(log_), environment_);
    throw;
  }
}

void Relay::makeProcess(bool logsPhases) {
  process_ = std::make_unique<RelayProcess>(*config_, log_, dependencies_,
                                            logsPhases ? StartupLogging::kAll : StartupLogging::kFinalOnly);
}

std::optional<StartupFailure> Relay::attemptStart(bool isFirst, double waitedMs) {
  bool logsPhases = isFirst;
  if (!config_) {
    if (const std::optional<ConfigError> error = readConfiguration())
      return StartupFailure{error->what(), UnavailableCause::kMissing};
    logsPhases = true;
  }
  if (!process_) makeProcess(logsPhases);
  return process_->start(waitedMs);
}

void Relay::logRetry(const StartupFailure& failure) const {
  if (process_) return process_->logRetry(failure);
  const Log log(log_);  // the format is not known yet
  log.write(LogLevel::kWarning, "relay.waiting", "cannot start yet: " + failure.text + "; trying again",
            {{"error", failure.text}});
  logStartupReport(log, environment_);
}

int Relay::giveUp(const StartupFailure& failure) {
  logStartupReport(process_ ? process_->log() : Log(log_), environment_);
  if (!process_) throw ConfigError(failure.text);
  process_->stopAfterFailure(failure);
  return kExitCannotStart;
}

void Relay::drain() {
  if (process_) process_->drain();
}
Relay::Phase Relay::phase() const { return process_ ? process_->phase() : Phase::kStarting; }
void Relay::printCounters() const {
  if (process_) process_->printCounters();
}

}  // namespace myrtleloft
