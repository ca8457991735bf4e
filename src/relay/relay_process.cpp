#include "relay/relay_process.h"

#include <cerrno>
#include <cstring>

#include "relay/component_options.h"

namespace myrtleloft {
namespace {

// How long idle connections stay open after the stop signal was read: new clients may connect for up to 0.4 s
// after SIGTERM.
constexpr double kCloseConnectionsMs = 450;
// Times since the stop signal. The platform sends SIGKILL after 3.7 s.
constexpr double kStopSendingMs = 2600;  // from then on no call is sent
constexpr double kDrainLimitMs = 3300;   // the process ends; requests in flight stay in the journal
constexpr double kDrainCheckMs = 25;

const char* nameOf(Relay::Phase phase) {
  switch (phase) {
    case Relay::Phase::kStarting:
      return "starting";
    case Relay::Phase::kRecovering:
      return "recovering";
    case Relay::Phase::kServing:
      return "serving";
    case Relay::Phase::kDraining:
      return "draining";
    case Relay::Phase::kStopped:
      return "stopped";
  }
  return "";
}

}  // namespace

RelayProcess::RelayProcess(LiveConfig& config, std::ostream& log, const RelayDependencies& dependencies,
                           StartupLogging startupLogging)
    : clock_(dependencies.clock ? *dependencies.clock : systemClock_),
      liveConfig_(config),
      log_(log, logOptions(config_), clock_),
      loop_(clock_),
      files_(dependencies.files ? *dependencies.files : posixFiles_),
      journalSyncer_(makeSyncer(true)),
      cacheSyncer_(makeSyncer(config_.operatorFile.endpointList.cache)),
      journal_({files_, clock_, log_, journalSyncer_.get()}, journalOptions(config_)),
      endpointDirectory_({files_, clock_, journal_, counters_, log_, cacheSyncer_.get()},
                         endpointDirectoryOptions(config_)),
      notifications_(loop_, config_.discovery, counters_, log_),
      upstream_(loop_, counters_,
                {config_.settings.connectTimeoutMs, config_.reportColumns,
                 static_cast<std::size_t>(config_.settings.maxConcurrentCalls)}),
      discovery_({loop_, endpointDirectory_, counters_, log_}, config_.discovery, discoveryOptions(config_)),
      quotas_(quotaPlan(config_), config_.tenants, priorityWeights(config_), {counters_, log_}),
      requests_({loop_, endpointDirectory_, journal_, notifications_, upstream_, counters_,
                 quotas_.enabled() ? &quotas_ : nullptr, log_},
                config_.settings),
      trace_(log_),
      server_(loop_, requests_, counters_,
              {config_.classes, config_.tenants, config_.operatorFile.quota.header},
              clientConnections(config_), requestBytes(config_), &trace_),
      logsPhases_(startupLogging == StartupLogging::kAll) {
  upstream_.setListener(requests_);
  requests_.setListRequest([this] { discovery_.requestConfirmation(); });
  notifications_.onConfirmed([this](const std::string& id) { requests_.onConfirmed(id); });
}

std::optional<StartupFailure> RelayProcess::start(double waitedMs) {
  enter(Phase::kStarting);
  if (!setUpSignals())
    return StartupFailure{"cannot set up signal handling: " + std::string(std::strerror(errno)),
                          causeOf(errno)};
  checklist_.meet(StartupRequirement::kSignals);
  std::string error;
  int errorNumber = 0;
  if (!server_.open(config_.listen, error, &errorNumber)) return StartupFailure{error, causeOf(errorNumber)};
  checklist_.meet(StartupRequirement::kListenAddress);
  return recover(waitedMs);
}

void RelayProcess::serve(bool drainAtOnce) {
  logsPhases_ = true;
  log_.write(LogLevel::kInfo, "relay.listening", config_.name + ": listening on " + server_.listening(),
             {{"address", server_.listening()}});
  if (const std::optional<Address> bound = parseAddress(server_.listening()))
    liveConfig_.setListenAddress(*bound);
  enter(Phase::kServing);
  if (!journal_.writable()) {
    const JournalError error = journal_.beginError();
    logRetry({error.message, causeOf(error.cause.number)});
  }
  awaitWritableJournal();
  if (drainAtOnce) drain();
  while (phase_ != Phase::kStopped) loop_.runOnce();
  printCounters();
}

// Until the journal is writable, new requests are rejected and pending ones are given up at their deadlines.
void RelayProcess::awaitWritableJournal() {
  if (phase_ != Phase::kServing) return;
  if (journal_.writable()) return server_.setReady(true);
  loop_.after(kStartupRetryIntervalMs, [this] { awaitWritableJournal(); });
}

void RelayProcess::logRetry(const StartupFailure& failure) const {
  log_.write(LogLevel::kWarning, "relay.waiting",
             config_.name + ": cannot start yet: " + failure.text + "; trying again",
             {{"error", failure.text}});
}

void RelayProcess::stopAfterFailure(const StartupFailure& failure) {
  logsPhases_ = true;
  log_.write(LogLevel::kError, "relay.failed", config_.name + ": " + failure.text, {{"error", failure.text}});
  enter(Phase::kStopped);
}

void RelayProcess::drain() { drainSince(loop_.nowMs()); }

void RelayProcess::drainSince(double signalledMs) {
  if (phase_ != Phase::kServing) return;
  enter(Phase::kDraining);
  server_.setReady(false);
  drainStartMs_ = signalledMs;
  loop_.after(kCloseConnectionsMs, [this] { server_.drain(); });
  loop_.after(drainStartMs_ + kStopSendingMs - loop_.nowMs(), [this] { requests_.drain(); });
  loop_.after(kCloseConnectionsMs + kDrainCheckMs, [this] { checkDrained(); });
}

void RelayProcess::abandon() {
  memoryReserve_.reset();
  log_.write(LogLevel::kError, "relay.memory", config_.name + ": out of memory; restarting from the journal");
  if (auto recorded = myrtleloft::recover(files_, config_.stateFolder))
    requests_.answerFromJournal(recorded->pending);
}

std::unique_ptr<ThreadSyncer> RelayProcess::makeSyncer(bool isNeeded) {
  const bool group = config_.operatorFile.journal.durability == Durability::kGroup;
  return group && isNeeded ? std::make_unique<ThreadSyncer>(files_, config_.stateFolder) : nullptr;
}

void RelayProcess::enter(Phase phase) {
  phase_ = phase;
  if (!logsPhases_ && phase != Phase::kStopped) return;
  log_.write(LogLevel::kInfo, "relay.phase", config_.name + ": " + nameOf(phase), {{"phase", nameOf(phase)}});
}

std::optional<StartupFailure> RelayProcess::recover(double waitedMs) {
  enter(Phase::kRecovering);
  if ((journalSyncer_ && journalSyncer_->fd() < 0) || (cacheSyncer_ && cacheSyncer_->fd() < 0))
    return StartupFailure{"no file descriptor for a disk sync thread", UnavailableCause::kExhausted};
  if (journalSyncer_) loop_.watch(journalSyncer_->fd(), POLLIN, [this](short) { requests_.onSynced(); });
  if (cacheSyncer_) loop_.watch(cacheSyncer_->fd(), POLLIN, [this](short) { discovery_.onSynced(); });
  Result<Recovered, JournalError> opened = journal_.open();
  if (!opened) return StartupFailure{opened.error().message, causeOf(opened.error().cause.number)};
  checklist_.meet(StartupRequirement::kStateFolder);
  Recovered& recovered = *opened;
  log_.write(LogLevel::kInfo, "relay.pending",
             config_.name + ": " + std::to_string(recovered.pending.size()) + " pending requests recovered",
             {{"pending", recovered.pending.size()}});
  if (std::optional<StartupFailure> failure = awaitCachedList(waitedMs)) return failure;
  if (config_.operatorFile.fleet.enabled)
    if (std::optional<StartupFailure> failure = startFleet()) return failure;
  // Whatever can make the start fail comes first: from here on, pending requests are decided about.
  if (const std::optional<StartupRequirement> unmet = checklist_.firstUnmet()) return violation(*unmet);
  requests_.recover(std::move(recovered), endpointDirectory_.begin(config_.known, config_.writtenWallMs));
  discovery_.start([this](EndpointListEvent event) { requests_.onList(std::move(event)); });
  observeBatches();
  return std::nullopt;
}

std::optional<StartupFailure> RelayProcess::awaitCachedList(double waitedMs) const {
  const std::optional<int> error = endpointDirectory_.cacheReadError();
  if (!error || !mayWaitForOptional(causeOf(*error), waitedMs)) return std::nullopt;
  return StartupFailure{"cannot read the cached endpoint list: " + std::string(std::strerror(*error)),
                        causeOf(*error)};
}

std::optional<StartupFailure> RelayProcess::startFleet() {
  fleet_ = std::make_unique<Fleet>(
      Fleet::Parts{loop_, files_, journal_, log_, {config_, endpointDirectory_.endpoints()}},
      fleetOptions(config_));
  checklist_.require(StartupRequirement::kFleetAddress);
  std::string error;
  int errorNumber = 0;
  if (!fleet_->start(error, errorNumber)) return StartupFailure{error, causeOf(errorNumber)};
  checklist_.meet(StartupRequirement::kFleetAddress);
  if (const std::optional<Address> bound = parseAddress(fleet_->listening()))
    liveConfig_.setFleetListenAddress(*bound);
  return std::nullopt;
}

StartupFailure RelayProcess::violation(StartupRequirement unmet) const {
  const std::string text = std::string("recovery without a requirement of the start: ") + nameOf(unmet);
  log_.write(LogLevel::kError, "guard.violation", config_.name + ": " + text,
             {{"rule", "incomplete-start"}, {"requirement", nameOf(unmet)}});
  return {text, UnavailableCause::kPermanent};
}

void RelayProcess::observeBatches() {
  if (!fleet_ || !fleet_->watchesBatches()) return;
  requests_.observeBatches(
      [this](double nowMs, const std::vector<Event>& events) { fleet_->onBatch(nowMs, events); });
}

// A connected client may be sending a request, waiting for its answer or reading it. Ending the process would
// reset its connection, so the process keeps running for it until the drain limit.
void RelayProcess::checkDrained() {
  const double elapsedMs = loop_.nowMs() - drainStartMs_;
  const bool nothingInFlight =
      elapsedMs >= kStopSendingMs && upstream_.pendingCalls() == 0 && notifications_.empty();
  if (server_.connections() == 0 && (requests_.idle() || nothingInFlight)) return enter(Phase::kStopped);
  if (elapsedMs >= kDrainLimitMs) {
    requests_.rejectWaiting();
    requests_.answerPendingRejections();
    return enter(Phase::kStopped);
  }
  loop_.after(kDrainCheckMs, [this] { checkDrained(); });
}

}  // namespace myrtleloft
