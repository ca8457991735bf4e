#include "myrtleloft/relay.h"

#include <csignal>
#include <new>
#include <sstream>

#include "config/config.h"
#include "counters/counters.h"
#include "discovery/watch.h"
#include "exchange/exchange.h"
#include "inbound/inbound.h"
#include "journal/journal.h"
#include "notices/notices.h"
#include "outbound/outbound.h"
#include "relay/figures.h"
#include "relay/membership_options.h"
#include "relay/options.h"
#include "relay/signals.h"

namespace myrtleloft {
namespace {

// Draining, from SIGTERM on. New clients keep coming for up to 0.4 s, and SIGKILL comes after 3.7 s.
constexpr double kRetireMs = 450;    // then connections are closed between requests
constexpr double kQuiesceMs = 2600;  // then nothing new is sent
constexpr double kStopMs = 3300;     // then what is still out is left to the journal
constexpr double kLookMs = 25;
constexpr std::size_t kReserveBytes = 256 * 1024;
constexpr int kMemoryRestMs = 20;  // before a relay without memory starts anew

}  // namespace

class Relay::Impl {
 public:
  Impl(LiveConfig& live, std::ostream& log, const RelayParts& parts)
      : clock_(parts.clock ? *parts.clock : systemClock_),
        live_(live),
        log_(log, logOptions(config_), clock_),
        loop_(clock_),
        files_(parts.files ? *parts.files : posixFiles_),
        syncer_(syncerWhere(true)),
        listSyncer_(syncerWhere(config_.operatorFile.membership.keep)),
        journal_({files_, clock_, log_, syncer_.get()}, journalOptions(config_)),
        membership_({files_, clock_, journal_, counters_, log_, listSyncer_.get()},
                    membershipOptions(config_)),
        notices_(loop_, config_.discovery, counters_, log_),
        outbound_(loop_, counters_,
                  {config_.settings.connectTimeoutMs, config_.settings.connIdleMs, idleConnections(config_),
                   config_.reportColumns, static_cast<std::size_t>(config_.settings.callSlots)}),
        watch_({loop_, membership_, counters_, log_}, config_.discovery, watchOptions(config_)),
        quotas_(quotaPlan(config_), config_.tenants, worths(config_), {counters_, log_}),
        exchange_({loop_, clock_, membership_, journal_, notices_, outbound_, counters_,
                   quotas_.on() ? &quotas_ : nullptr},
                  config_.settings),
        inbound_(loop_, exchange_, counters_,
                 {config_.classes, config_.tenants, config_.operatorFile.quota.header},
                 clientConnections(config_), config_.memoryBytes / kClientsPerMemory) {
    outbound_.listen(exchange_);
    notices_.onConfirmed([this](const std::string& id) { exchange_.onConfirmed(id); });
  }

  // `drains`: its predecessor was told to stop.
  int run(bool drains) {
    enter(Phase::kStarting);
    std::string error;
    if (!takeSignals() || !inbound_.open(config_.listen, error) || !start(error)) {
      if (error.empty()) error = "signals cannot be taken";
      log_.write(LogLevel::kError, "relay.failed", config_.name + ": " + error, {{"error", error}});
      enter(Phase::kStopped);
      return 1;
    }
    log_.write(LogLevel::kInfo, "relay.listening", config_.name + ": listening on " + inbound_.listening(),
               {{"address", inbound_.listening()}});
    if (const auto here = parseAddress(inbound_.listening())) live_.listensOn(*here);
    enter(Phase::kServing);
    inbound_.setReady(true);
    if (drains) drain();
    while (phase_ != Phase::kStopped) loop_.runOnce();
    printCounters();
    return 0;
  }

  void drain() {
    if (phase_ != Phase::kServing) return;
    enter(Phase::kDraining);
    inbound_.setReady(false);
    drainingMs_ = loop_.nowMs();
    loop_.after(kRetireMs, [this] { inbound_.retire(); });
    loop_.after(kQuiesceMs, [this] { exchange_.quiesce(); });
    loop_.after(kRetireMs + kLookMs, [this] { look(); });
  }

  // An allocation failed somewhere in the middle of something: what this one has in memory is not to be
  // trusted any more, the journal is. Clients that wait are answered by what stands there.
  void dismiss() {
    reserve_.reset();
    log_.write(LogLevel::kError, "relay.memory",
               config_.name + ": out of memory; starting anew from the journal");
    Recovered recorded;
    if (!recover(files_, config_.stateFolder, recorded)) exchange_.dismiss(recorded.owed);
  }

  Phase phase() const { return phase_; }
  bool served() const { return phase_ == Phase::kServing || phase_ == Phase::kDraining; }
  void printCounters() const {
    std::ostringstream out;
    counters_.print(out);
    print(out, journal_);
    print(out, membership_);
    if (quotas_.on()) print(out, quotas_.tree(), counters_);
    log_.pairs(out.str());
  }

 private:
  std::unique_ptr<ThreadSyncer> syncerWhere(bool wanted) {
    const bool group = config_.operatorFile.journal.durability == Durability::kGroup;
    return group && wanted ? std::make_unique<ThreadSyncer>(files_, config_.stateFolder) : nullptr;
  }

  void enter(Phase phase) {
    phase_ = phase;
    log_.write(LogLevel::kInfo, "relay.phase", config_.name + ": " + nameOf(phase),
               {{"phase", nameOf(phase)}});
  }

  bool start(std::string& error) {
    enter(Phase::kRecovering);
    if ((syncer_ && syncer_->fd() < 0) || (listSyncer_ && listSyncer_->fd() < 0)) {
      error = "no descriptor for a helper thread of the disk";
      return false;
    }
    if (syncer_) loop_.watch(syncer_->fd(), POLLIN, [this](short) { exchange_.onSynced(); });
    if (listSyncer_) loop_.watch(listSyncer_->fd(), POLLIN, [this](short) { watch_.onSynced(); });
    Recovered found;
    if (!journal_.open(found, error)) return false;
    log_.write(LogLevel::kInfo, "relay.owed",
               config_.name + ": " + std::to_string(found.owed.size()) + " requests owed from before",
               {{"owed", found.owed.size()}});
    exchange_.recover(std::move(found), membership_.begin(config_.known, config_.writtenWallMs));
    watch_.start([this](ListEvent event) { exchange_.onList(std::move(event)); });
    return true;
  }

  // Whether draining is over.
  void look() {
    const double passed = loop_.nowMs() - drainingMs_;
    const bool quiet = passed >= kQuiesceMs && outbound_.callsOut() == 0 && notices_.empty();
    const bool done = exchange_.settled() && inbound_.connections() == 0;
    if (done || quiet || passed >= kStopMs) return enter(Phase::kStopped);
    loop_.after(kLookMs, [this] { look(); });
  }

  bool takeSignals() {
    if (!signals_.take({SIGTERM, SIGINT, SIGUSR1, SIGHUP})) return false;
    loop_.watch(signals_.fd(), POLLIN, [this](short) {
      while (const int signal = signals_.next()) onSignal(signal);
    });
    return true;
  }

  void onSignal(int signal) {
    if (signal == SIGUSR1) return printCounters();
    signal == SIGHUP ? reload() : drain();
  }

  // In any phase: what is still owed while draining has to reach the new address too.
  void reload() {
    const std::string before = config_.discovery.text, fault = live_.reload();
    if (!fault.empty()) {
      ++counters_.reloadFaults;
      log_.write(LogLevel::kError, "config.refused",
                 config_.name + ": the configuration stays as it was: " + fault, {{"fault", fault}});
      return;
    }
    ++counters_.reloads;
    log_.write(LogLevel::kInfo, "config.reloaded",
               config_.name + ": configuration read again, discovery at " + config_.discovery.text,
               {{"discovery", config_.discovery.text}});
    if (config_.discovery.text == before) return;
    watch_.fetch();
    notices_.moved();
  }

  Clock systemClock_;
  const Clock& clock_;
  LiveConfig& live_;
  const Config& config_ = live_.get();
  Log log_;
  Counters counters_;
  Loop loop_;
  Signals signals_;
  PosixFiles posixFiles_;
  Files& files_;
  // None at the level `process`. Of the journal and of the kept list, which must not wait for one another.
  std::unique_ptr<ThreadSyncer> syncer_, listSyncer_;
  Journal journal_;
  Membership membership_;
  Notices notices_;
  Outbound outbound_;
  DiscoveryWatch watch_;
  QuotaDoor quotas_;
  Exchange exchange_;
  Inbound inbound_;
  Phase phase_ = Phase::kStarting;
  double drainingMs_ = 0;
  // Given back when an allocation fails, for what has to be done then.
  std::unique_ptr<char[]> reserve_ = std::make_unique<char[]>(kReserveBytes);
};

Relay::Relay(const Environment& environment, std::ostream& log, const RelayParts& parts)
    : log_(log),
      parts_(parts),
      live_(std::make_unique<LiveConfig>(environment)),
      impl_(std::make_unique<Impl>(*live_, log, parts)) {}
Relay::~Relay() = default;

int Relay::run() {
  bool served = false, drains = false;
  for (;;) {
    try {
      if (!impl_) impl_ = std::make_unique<Impl>(*live_, log_, parts_);
      return impl_->run(drains);
    } catch (const std::bad_alloc&) {
      if (impl_) {
        served = served || impl_->served();
        drains = drains || impl_->phase() == Phase::kDraining;
      }
      if (!served) throw;
    }
    try {
      if (impl_) impl_->dismiss();
    } catch (const std::bad_alloc&) {  // not even for that: clients find their connections closed
    }
    impl_.reset();  // gives back the folder, the address and the memory
    ::poll(nullptr, 0, kMemoryRestMs);
  }
}

void Relay::drain() {
  if (impl_) impl_->drain();
}
Relay::Phase Relay::phase() const { return impl_ ? impl_->phase() : Phase::kStarting; }
void Relay::printCounters() const {
  if (impl_) impl_->printCounters();
}

}  // namespace myrtleloft
