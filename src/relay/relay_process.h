// Connects the components of one relay and runs them through the phases of its process.
//
//   RelayProcess process(config, log, dependencies, StartupLogging::kAll);
//   if (const std::optional<StartupFailure> failure = process.start()) ...   // destroy it, try again later
//   process.serve(false);                                                     // returns once it has stopped
//
// `Relay` (myrtleloft/relay.h) owns one RelayProcess at a time, and replaces it after a failed start or a
// failed allocation; the configuration outlives it. Phases:
//
//   starting    `start` has set up the signals and opened the address; clients wait in the listen backlog
//   recovering  reads the journal, passes the pending requests to the request manager, starts discovery and
//               the fleet
//   serving     `serve` runs the loop; ready for clients once the journal is writable
//   draining    not ready for clients; idle connections close after 0.45 s, and no call is sent after 2.6 s.
//               Stops once no client is connected and nothing is in flight, at the latest after 3.3 s;
//               requests that remain stay in the journal
//   stopped     the loop has ended; the destructor releases the folder lock, the address and the memory
//
// Signals are handled from `start` on: SIGTERM and SIGINT drain, SIGUSR1 prints the counters, and SIGHUP
// reloads the configuration in any phase, because pending requests of a draining relay must reach a new
// address, too. SIGPIPE is ignored. Single-threaded; handlers run on the loop and neither block nor throw,
// except std::bad_alloc, which ends `serve`.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <ostream>

#include "config/live_config.h"
#include "counters/counters.h"
#include "discovery/discovery_client.h"
#include "discovery/endpoint_directory.h"
#include "exchange/request_manager.h"
#include "fleet/fleet.h"
#include "inbound/http_server.h"
#include "journal/journal.h"
#include "journal/syncer.h"
#include "log/log.h"
#include "myrtleloft/relay.h"
#include "net/loop.h"
#include "notices/notification_sender.h"
#include "outbound/upstream_client.h"
#include "policy/startup_policy.h"
#include "quota/quota_admission.h"

namespace myrtleloft {

// What a start writes to the log. A retry logs neither its phases nor the reason for the first failure again.
enum class StartupLogging { kAll, kFinalOnly };

class RelayProcess {
 public:
  using Phase = Relay::Phase;

  // `config` and `log` must outlive the process.
  RelayProcess(LiveConfig& config, std::ostream& log, const RelayDependencies& dependencies,
               StartupLogging startupLogging);

  // Sets up the signals, opens the address and recovers the pending requests. After a failure, the only valid
  // operations are logging it and destroying the object. `waitedMs`: time since the first attempt.
  std::optional<StartupFailure> start(double waitedMs = 0);
  // Runs until the relay has stopped; `start` must have succeeded. `drainAtOnce` is set if the previous
  // RelayProcess was draining.
  void serve(bool drainAtOnce);
  // Logs why the start is going to be retried.
  void logRetry(const StartupFailure& failure) const;
  // Logs why the start is given up, and enters kStopped.
  void stopAfterFailure(const StartupFailure& failure);
  // Enters kStopped, after a signal has stopped the relay before it had started.
  void stop() { enter(Phase::kStopped); }
  void drain();
  // To be called after a failed allocation, when this object's memory may be inconsistent but the journal is
  // not: answers the waiting clients according to the journal. Throws std::bad_alloc.
  void abandon();
  Phase phase() const { return phase_; }
  const Log& log() const { return log_; }
  bool hasServed() const { return phase_ == Phase::kServing || phase_ == Phase::kDraining; }
  void printCounters() const;

 private:
  static constexpr std::size_t kReserveBytes = std::size_t{256} * 1024;

  // Returns nullptr at the durability level `process`, or if no syncer is needed.
  std::unique_ptr<ThreadSyncer> makeSyncer(bool isNeeded);
  void enter(Phase phase);
  std::optional<StartupFailure> recover(double waitedMs);
  // Returns a failure as long as the cached endpoint list is worth waiting for. Without it the start would
  // begin with an older list.
  std::optional<StartupFailure> awaitCachedList(double waitedMs) const;
  std::optional<StartupFailure> startFleet();
  // Logs the violation of a start that would take over requests too early.
  StartupFailure violation(StartupRequirement unmet) const;
  void observeBatches();  // for the fleet, if it watches them
  // Accepts clients as soon as the journal is writable.
  void awaitWritableJournal();
  // Stops if the drain is complete or its time limit has passed; otherwise checks again later.
  void checkDrained();
  // Starts the drain if the relay serves. `signalledMs`: when it was asked to, on the loop's clock.
  void drainSince(double signalledMs);
  // Blocks the signals and watches them through a descriptor. Returns false and sets errno on failure.
  bool setUpSignals();
  void onSignal();
  // Returns the earliest time at which the stop signal can have arrived, on the loop's clock.
  double signalTimeMs() const;
  void onHangUp();
  // Reads the configuration again; repeats that later if a file is not available yet.
  void reload();
  // Returns whether the reload is repeated because of this error.
  bool retryReload(const ConfigError& error);
  void printTimeCounters(std::ostream& out) const;
  void printJournalCounters(std::ostream& out) const;
  void printEndpointCounters(std::ostream& out) const;
  void printQuotaCounters(std::ostream& out) const;

  // In the order of construction: each refers only to those above it.
  Clock systemClock_;
  const Clock& clock_;
  LiveConfig& liveConfig_;
  const Config& config_ = liveConfig_.get();
  Log log_;
  Counters counters_;
  Loop loop_;
  Fd signals_;
  PosixFiles posixFiles_;
  Files& files_;
  // Separate syncers, so that the journal and the endpoint cache do not wait for each other.
  std::unique_ptr<ThreadSyncer> journalSyncer_;
  std::unique_ptr<ThreadSyncer> cacheSyncer_;
  Journal journal_;
  EndpointDirectory endpointDirectory_;
  NotificationSender notifications_;
  UpstreamClient upstream_;
  DiscoveryClient discovery_;
  QuotaAdmission quotas_;
  RequestManager requests_;
  RequestTrace trace_;
  HttpServer server_;
  std::unique_ptr<Fleet> fleet_;  // null without a section [fleet]
  Phase phase_ = Phase::kStarting;
  bool logsPhases_ = true;
  StartupChecklist checklist_{StartupRequirement::kSignals, StartupRequirement::kListenAddress,
                              StartupRequirement::kStateFolder};
  double hungUpMs_ = 0;  // when the last SIGHUP was handled, on the loop's clock
  Loop::Timer reloadTimer_ = Loop::kNoTimer;
  std::string waitingReload_;  // the error that was logged when the reload began to wait
  double drainStartMs_ = 0;    // the earliest possible arrival of the stop signal, on the loop's clock
  // Memory that `abandon` releases so that it has some to work with.
  std::unique_ptr<char[]> memoryReserve_ = std::make_unique<char[]>(kReserveBytes);
};

}  // namespace myrtleloft
