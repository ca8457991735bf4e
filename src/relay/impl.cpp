#include "relay/impl.h"

#include <sys/signalfd.h>

#include <csignal>
#include <sstream>

#include "relay/options.h"

namespace myrtleloft {
namespace {

// Draining, from SIGTERM on. New clients keep coming for up to 0.4 s, and SIGKILL comes after 3.7 s.
constexpr double kRetireMs = 450;    // then connections are closed between requests
constexpr double kQuiesceMs = 2600;  // then nothing new is sent
constexpr double kStopMs = 3300;     // then what is still out is left to the journal
constexpr double kLookMs = 25;

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

Relay::Impl::Impl(LiveConfig& live, std::ostream& log, const RelayParts& parts)
    : clock_(parts.clock ? *parts.clock : systemClock_),
      live_(live),
      log_(log, logOptions(config_), clock_),
      loop_(clock_),
      files_(parts.files ? *parts.files : posixFiles_),
      syncer_(syncerWhere(true)),
      listSyncer_(syncerWhere(config_.operatorFile.membership.keep)),
      journal_({files_, clock_, log_, syncer_.get()}, journalOptions(config_)),
      membership_({files_, clock_, journal_, counters_, log_, listSyncer_.get()}, membershipOptions(config_)),
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
               clientConnections(config_), requestBytes(config_)) {
  outbound_.listen(exchange_);
  notices_.onConfirmed([this](const std::string& id) { exchange_.onConfirmed(id); });
}

int Relay::Impl::run(bool drains) {
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

void Relay::Impl::drain() {
  if (phase_ != Phase::kServing) return;
  enter(Phase::kDraining);
  inbound_.setReady(false);
  drainingMs_ = loop_.nowMs();
  loop_.after(kRetireMs, [this] { inbound_.retire(); });
  loop_.after(kQuiesceMs, [this] { exchange_.quiesce(); });
  loop_.after(kRetireMs + kLookMs, [this] { look(); });
}

void Relay::Impl::dismiss() {
  reserve_.reset();
  log_.write(LogLevel::kError, "relay.memory",
             config_.name + ": out of memory; starting anew from the journal");
  Recovered recorded;
  if (!recover(files_, config_.stateFolder, recorded)) exchange_.dismiss(recorded.owed);
}

void Relay::Impl::printCounters() const {
  std::ostringstream out;
  counters_.print(out);
  const JournalFigures& f = journal_.figures();
  const JournalRoom room = journal_.room();
  out << "counters journal: bytes=" << room.used << " of=" << room.disk << " owed=" << room.live
      << " reserved=" << room.reserved << " segments=" << room.segments << " released=" << f.released
      << " slices=" << f.slices << " taken-bytes=" << f.takenBytes << " written-bytes=" << f.writtenBytes
      << " carried-bytes=" << f.carriedBytes << " faults=" << f.faults << '\n';
  const KeptList::Figures& k = membership_.kept().figures();
  const ListAge age = membership_.age();
  out << "counters membership: rev=" << membership_.set().rev()
      << " endpoints=" << membership_.set().all().size()
      << " age-s=" << (age.known ? static_cast<std::int64_t>(age.ms / 1000) : -1)
      << " trust=" << nameOf(membership_.trust()) << " kept-bytes=" << membership_.kept().fileBytes()
      << " commits=" << k.commits << " rewrites=" << k.rewrites << " slices=" << k.slices
      << " written-bytes=" << k.writtenBytes << " faults=" << k.faults << '\n';
  if (quotas_.on())
    out << "counters quota: nodes=" << quotas_.tree().shape().nodes.size()
        << " windows=" << quotas_.tree().awake() << " of=" << quotas_.tree().shape().mostAwake
        << " refused=" << counters_.failFastQuota << " uncounted=" << quotas_.tree().uncounted() << '\n';
  if (fleet_) fleet_->print(out);
  log_.pairs(out.str());
}

std::unique_ptr<ThreadSyncer> Relay::Impl::syncerWhere(bool wanted) {
  const bool group = config_.operatorFile.journal.durability == Durability::kGroup;
  return group && wanted ? std::make_unique<ThreadSyncer>(files_, config_.stateFolder) : nullptr;
}

void Relay::Impl::enter(Phase phase) {
  phase_ = phase;
  log_.write(LogLevel::kInfo, "relay.phase", config_.name + ": " + nameOf(phase), {{"phase", nameOf(phase)}});
}

bool Relay::Impl::start(std::string& error) {
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
  return !config_.operatorFile.fleet.on || startFleet(error);
}

bool Relay::Impl::startFleet(std::string& error) {
  fleet_ = std::make_unique<Fleet>(Fleet::Parts{loop_, files_, journal_, log_, {config_, membership_.set()}},
                                   fleetOptions(config_));
  if (!fleet_->start(error)) return false;
  if (const auto here = parseAddress(fleet_->listening())) live_.fleetListensOn(*here);
  if (fleet_->watchesBatches())
    exchange_.watchBatches(
        [this](double nowMs, const std::vector<Event>& events) { fleet_->onBatch(nowMs, events); });
  return true;
}

// A client that is still connected may be sending, be owed its answer, or read the one it has: with the
// process its connection would be reset, so it keeps the process for as long as there is time.
void Relay::Impl::look() {
  const double passed = loop_.nowMs() - drainingMs_;
  const bool quiet = passed >= kQuiesceMs && outbound_.callsOut() == 0 && notices_.empty();
  if (inbound_.connections() == 0 && (exchange_.settled() || quiet)) return enter(Phase::kStopped);
  if (passed >= kStopMs) {
    exchange_.refuseWaiting();
    return enter(Phase::kStopped);
  }
  loop_.after(kLookMs, [this] { look(); });
}

bool Relay::Impl::takeSignals() {
  sigset_t wanted;
  sigemptyset(&wanted);
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&wanted, signal);
  std::signal(SIGPIPE, SIG_IGN);  // whoever read the log may go, and another come
  if (::pthread_sigmask(SIG_BLOCK, &wanted, nullptr) != 0) return false;
  signals_ = Fd(::signalfd(-1, &wanted, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!signals_) return false;
  loop_.watch(signals_.get(), POLLIN, [this](short) { onSignal(); });
  return true;
}

void Relay::Impl::onSignal() {
  signalfd_siginfo info;
  while (::read(signals_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
    switch (info.ssi_signo) {
      case SIGUSR1:
        printCounters();
        break;
      case SIGHUP:
        reload();
        break;
      default:
        drain();
    }
  }
}

void Relay::Impl::reload() {
  const std::string before = config_.discovery.text;
  const auto peersBefore = config_.operatorFile.fleet.peers;
  const std::string fault = live_.reload();
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
  if (!live_.waits().empty())
    log_.write(LogLevel::kWarning, "config.waits",
               config_.name + ": " + live_.waits() +
                   " is not as it was: needs a restart, the running settings stay as a whole",
               {{"key", live_.waits()}});
  if (fleet_ && config_.operatorFile.fleet.peers != peersBefore)
    fleet_->setPeers(config_.operatorFile.fleet.peers);
  if (config_.discovery.text == before) return;
  watch_.fetch();
  notices_.moved();
}

}  // namespace myrtleloft
