// Signal handling of a relay: drain, reload of the configuration, printing of the counters.
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "relay/relay_process.h"

namespace myrtleloft {

namespace {

sigset_t handledSignals() {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&handled, signal);
  return handled;
}

}  // namespace

bool blockRelaySignals() {
  const sigset_t handled = handledSignals();
  return ::pthread_sigmask(SIG_BLOCK, &handled, nullptr) == 0;
}

bool RelayProcess::setUpSignals() {
  std::signal(SIGPIPE, SIG_IGN);  // the log may be a pipe whose reader is replaced
  if (!blockRelaySignals()) return false;
  const sigset_t handled = handledSignals();
  signals_ = Fd(::signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!signals_) return false;
  loop_.watch(signals_.get(), POLLIN, [this](short) { onSignal(); });
  return true;
}

void RelayProcess::onSignal() {
  signalfd_siginfo signal{};
  while (::read(signals_.get(), &signal, sizeof signal) == static_cast<ssize_t>(sizeof signal)) {
    switch (signal.ssi_signo) {
      case SIGUSR1:
        printCounters();
        break;
      case SIGHUP:
        onHangUp();
        break;
      default:
        drainSince(signalTimeMs());
    }
  }
}

// If the process was suspended, the signal may have been pending for a while. It arrived no earlier than the
// start of the last poll that reported none.
double RelayProcess::signalTimeMs() const {
  const double quietAtMs = loop_.quietAtMs(signals_.get());
  return quietAtMs == Loop::kNeverMs ? loop_.nowMs() : quietAtMs;
}

void RelayProcess::onHangUp() {
  hungUpMs_ = loop_.nowMs();
  waitingReload_.clear();
  reload();
}

// A file that is being replaced may be missing or incomplete when the signal comes. What it will say, such as
// the new address of discovery, would be lost if it was read only once.
bool RelayProcess::retryReload(const ConfigError& error) {
  if (error.kind() != ConfigErrorKind::kUnavailable) return false;
  if (!mayWait(UnavailableCause::kMissing, loop_.nowMs() - hungUpMs_)) return false;
  const std::string fault = error.what();
  if (std::exchange(waitingReload_, fault) != fault)
    log_.write(LogLevel::kWarning, "config.waiting",
               config_.name + ": configuration not available yet, the previous one stays in effect: " +
                   fault + "; trying again",
               {{"fault", fault}});
  reloadTimer_ = loop_.after(kStartupRetryIntervalMs, [this] { reload(); });
  return true;
}

void RelayProcess::reload() {
  loop_.cancel(reloadTimer_);
  const std::string discoveryBefore = config_.discovery.text;
  const std::vector<FleetPlan::Peer> peersBefore = config_.operatorFile.fleet.peers;
  if (const std::optional<ConfigError> error = liveConfig_.reload()) {
    if (retryReload(*error)) return;
    const std::string fault = error->what();
    ++counters_.reloadFaults;
    log_.write(LogLevel::kError, "config.rejected",
               config_.name + ": configuration rejected, the previous one stays in effect: " + fault,
               {{"fault", fault}});
    return;
  }
  ++counters_.reloads;
  log_.write(LogLevel::kInfo, "config.reloaded",
             config_.name + ": configuration reloaded, discovery at " + config_.discovery.text,
             {{"discovery", config_.discovery.text}});
  if (!liveConfig_.keyNeedingRestart().empty())
    log_.write(LogLevel::kWarning, "config.restart-needed",
               config_.name + ": " + liveConfig_.keyNeedingRestart() +
                   " has changed: needs a restart, all running settings stay in effect",
               {{"key", liveConfig_.keyNeedingRestart()}});
  if (fleet_ && config_.operatorFile.fleet.peers != peersBefore)
    fleet_->setPeers(config_.operatorFile.fleet.peers);
  if (config_.discovery.text == discoveryBefore) return;
  discovery_.onAddressChanged();
  notifications_.onAddressChanged();
}

}  // namespace myrtleloft
