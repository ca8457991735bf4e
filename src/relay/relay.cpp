#include "myrtleloft/relay.h"

#include <sys/signalfd.h>

#include <algorithm>
#include <csignal>
#include <new>
#include <random>
#include <sstream>

#include "config/config.h"
#include "counters/counters.h"
#include "discovery/watch.h"
#include "exchange/exchange.h"
#include "inbound/inbound.h"
#include "journal/journal.h"
#include "notices/notices.h"
#include "outbound/outbound.h"
#include "relay/membership_options.h"

namespace myrtleloft {
namespace {

// Draining, from SIGTERM on. New clients keep coming for up to 0.4 s, and SIGKILL comes after 3.7 s.
constexpr double kRetireMs = 450;    // then connections are closed between requests
constexpr double kQuiesceMs = 2600;  // then nothing new is sent
constexpr double kStopMs = 3300;     // then what is still out is left to the journal
constexpr double kLookMs = 25;
constexpr std::size_t kReserveBytes = 256 * 1024;
constexpr int kMemoryRestMs = 20;  // before a relay without memory starts anew
// Descriptors that neither clients nor idle connections get: the listener, journal, discovery, calls out.
constexpr int kReserve = 48;

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

// Of the memory: for clients' requests that are not taken on yet, and for one answer of discovery, which
// takes some six times its size while it is read. docs/architecture.md adds up the rest.
constexpr std::size_t kClientsPerMemory = 4, kQuotasPerMemory = 8, kListPerMemory = 48,
                      kMostListBytes = 4 * 1024 * 1024;

std::size_t idleConnections(const Config& config) { return static_cast<std::size_t>(config.sockets / 8); }

std::size_t clientConnections(const Config& config) {
  const int rest = config.sockets - kReserve - config.sockets / 8 - config.settings.callSlots;
  return static_cast<std::size_t>(std::max(rest, 8));
}

JournalOptions journalOptions(const Config& config) {
  JournalOptions options;
  options.folder = config.stateFolder;
  options.diskBytes = config.diskBytes;
  options.segmentBytes = config.operatorFile.journal.segmentBytes;
  options.tuning.mostSlice = config.operatorFile.journal.sliceBytes;
  options.tuning.freeShare = config.operatorFile.journal.freePercent / 100.0;
  options.owner = "pid " + std::to_string(::getpid()) + ", relay " + config.name;
  std::random_device random;
  options.salt = std::uint64_t{random()} << 32 | random();
  return options;
}

LogOptions logOptions(const Config& config) {
  const OperatorFile::Log& log = config.operatorFile.log;
  return {static_cast<LogFormat>(log.format), static_cast<LogLevel>(log.level), config.name,
          static_cast<double>(log.againMs)};
}

// The list's two files, the one and the one that replaces it, have a tenth of the disk.
constexpr std::size_t kListPerDisk = 10;

Membership::Options membershipOptions(const Config& config) {
  const OperatorFile::Membership& m = config.operatorFile.membership;
  Membership::Options options;
  options.keeps = m.keep;
  options.kept.folder = config.stateFolder;
  options.kept.mostBytes = config.diskBytes / kListPerDisk;
  options.kept.names = config.names;
  std::random_device random;
  options.kept.salt = std::uint64_t{random()} << 32 | random();
  options.trust = trustTuning(m);
  options.guard.share = m.guardPercent / 100.0;
  options.guard.holdMs = static_cast<double>(m.guardHoldS) * 1e3;
  for (std::size_t i = 0; i < config.classes.size(); ++i)
    options.classes.push_back({config.classes[i], config.settings.classes[i].repeat});
  return options;
}

QuotaPlan quotaPlan(const Config& config) {
  QuotaPlan plan = config.operatorFile.quota;
  if (plan.mostAwake == 0)
    plan.mostAwake =
        static_cast<std::int64_t>(config.memoryBytes / kQuotasPerMemory / QuotaTree::kWindowBytes);
  return plan;
}

std::vector<double> worths(const Config& config) {
  std::vector<double> all;
  for (const ClassSettings& cls : config.settings.classes) all.push_back(cls.worth);
  return all;
}

DiscoveryWatch::Options watchOptions(const Config& config) {
  const OperatorFile::Membership& m = config.operatorFile.membership;
  DiscoveryWatch::Options options;
  options.names = config.names;
  for (const std::string& text : m.directories) options.others.push_back(parseAddress(text).value());
  options.backOff = backOffOf(config.settings.balancers, static_cast<double>(m.backOffMs));
  if (m.mostBackOffMs) {
    options.backOff.mostMs = static_cast<double>(*m.mostBackOffMs);
    options.backOff.firstMs = 0;
  }
  options.seed = config.settings.seed;
  options.mostListBytes = std::min(config.memoryBytes / kListPerMemory, kMostListBytes);
  return options;
}

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

  void onSignal() {
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
  Fd signals_;
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

Environment environmentOf(const char* const* entries) {
  Environment environment;
  for (; *entries != nullptr; ++entries) {
    const std::string_view text = *entries;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos)
      environment.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  return environment;
}

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
