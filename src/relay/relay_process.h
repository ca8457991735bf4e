// The components of one relay, connected, and the phases they go through.
//
//   RelayProcess process(config, log, dependencies, StartupLogging::kAll);
//   if (const std::optional<StartupFailure> failure = process.start()) ...   // destroy it, try again later
//   process.serve(false);                                                     // returns once it has stopped
//
// `Relay` (myrtleloft/relay.h) owns one at a time, and replaces it after a failed start or a failed
// allocation; the configuration outlives it. Phases:
//
//   starting     `start` has taken the signals and opened the address; clients wait in the kernel's queue
//   recovering   reads the journal, hands its pending requests to the request manager, starts discovery and
//   the fleet serving      `serve` runs the loop; ready for clients once the journal can be written draining
//   not ready any more; after 0.45 s connections close between requests; after 2.6 s nothing more is
//                sent; stops once no client is connected and nothing is in flight, at the latest after 3.3 s,
//                when what remains is left to the journal
//   stopped      the loop has ended; the destructor releases folder, address and memory
//
// Signals, taken from `start` on: SIGTERM and SIGINT drain, SIGHUP reads the configuration again, in any
// phase (pending requests of a draining relay must reach a new address too), SIGUSR1 prints the counters.
// SIGPIPE is ignored. One thread; handlers run on the loop and neither wait nor throw, but for
// std::bad_alloc, which ends `serve`.
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
#include "quota/quota_admission.h"
#include "relay/startup_retry.h"

namespace myrtleloft {

// What a start writes to the log. A retry repeats neither its phases nor the reason that was already given.
enum class StartupLogging { kAll, kFinalOnly };

class RelayProcess {
 public:
  using Phase = Relay::Phase;

  // `config` and `log` must outlive it.
  RelayProcess(LiveConfig& config, std::ostream& log, const RelayDependencies& dependencies,
               StartupLogging startupLogging);

  // Takes the signals, opens the address, recovers the pending requests. After a failure the object can only
  // be destroyed, once the failure has been logged.
  std::optional<StartupFailure> start();
  // Serves until it has stopped; `start` must have succeeded. `drainAtOnce`: its predecessor was draining.
  void serve(bool drainAtOnce);
  // Logs why the start is retried.
  void logRetry(const StartupFailure& failure) const;
  // Logs why the start is given up, and enters kStopped.
  void stopAfterFailure(const StartupFailure& failure);
  // Enters kStopped; a signal ended the relay before it had started.
  void stop() { enter(Phase::kStopped); }
  void drain();
  // After a failed allocation: what this object has in memory may be inconsistent, the journal is not.
  // Answers the clients that wait by what the journal says of their requests. Throws std::bad_alloc.
  void abandon();
  Phase phase() const { return phase_; }
  bool hasServed() const { return phase_ == Phase::kServing || phase_ == Phase::kDraining; }
  void printCounters() const;

 private:
  static constexpr std::size_t kReserveBytes = std::size_t{256} * 1024;

  // None at the durability `process`, or if it is not wanted.
  std::unique_ptr<ThreadSyncer> makeSyncer(bool wanted);
  void enter(Phase phase);
  std::optional<StartupFailure> recover();
  std::optional<StartupFailure> startFleet();
  // Becomes ready for clients as soon as accepted requests can be recorded.
  void awaitWritableJournal();
  // Stops once the drain is complete or out of time; looks again otherwise.
  void checkDrained();
  // `notifiedAtMs`: when it was told to, on the loop's clock; nothing where it does not serve.
  void drainSince(double notifiedAtMs);
  bool takeSignals();
  void onSignal();
  double signalledAtMs() const;
  void reload();
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
  // Two, as the journal and the endpoint cache must not wait for each other.
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
  std::unique_ptr<Fleet> fleet_;  // none without a section [fleet]
  Phase phase_ = Phase::kStarting;
  bool logsPhases_ = true;
  double drainStartMs_ = 0;  // when it was told to end, at the earliest; by the loop's clock
  // Released by `abandon`, so that it has memory to work with.
  std::unique_ptr<char[]> reserve_ = std::make_unique<char[]>(kReserveBytes);
};

}  // namespace myrtleloft
