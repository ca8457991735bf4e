// The machines of a fleet's relays and what surrounds them: how they are placed, and what befalls them.
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "lab/auditor_processes.h"
#include "lab/auditor_timeline.h"
#include "lab/fleet_of_processes.h"
#include "lab/loopback.h"
#include "lab/site.h"

namespace myrtleloft::lab {
namespace {

Directory::Mode directoryMode(double amount) {
  constexpr std::array kModes = {Directory::Mode::kSilent, Directory::Mode::kSlow, Directory::Mode::kSpoilt};
  return kModes.at(static_cast<std::size_t>(amount) - 1);
}

}  // namespace

// Where a relay may listen, on an address of the loopback that is this lab's alone: nobody else listens or
// connects from there while the relay is away.
std::string FleetOfProcesses::freeAddress() {
  constexpr int kLeastPort = 12000, kPorts = 20000, kLastOfHost = 1;
  static int next = 0;
  return processHost(kLastOfHost) + ":" + std::to_string(kLeastPort + next++ % kPorts);
}

void FleetOfProcesses::askUp(Relay& relay) {
  const double now = witness_.nowMs();
  if (now < relay.askAgainMs) return;
  relay.askAgainMs = now + kAskUpEveryMs;
  hub_.close(relay.asks);
  const auto answered = [this, &relay](Hub::Id from, const Message& m) {
    hub_.close(from);
    if (relay.phase != Phase::kStarting || m.start.find(" 200 ") == std::string::npos) return;
    relay.phase = Phase::kUp;
    witness_.see({.saw = Saw::kReady, .relay = relay.name});
  };
  relay.asks = hub_.connect(relay.listen, {answered, {}, {}});
  hub_.send(relay.asks, "GET /up HTTP/1.1\r\nHost: up\r\n\r\n");
}

void FleetOfProcesses::place(Relay& relay) {
  const std::string name = relay.name;
  for (std::unique_ptr<Directory>* const directory : {&relay.directory, &relay.otherDirectory}) {
    *directory = std::make_unique<Directory>(hub_);
    (*directory)->noticed = [this, name](const std::string& id, const std::string& result) {
      witness_.see({.saw = Saw::kNotice, .relay = name, .id = id, .status = result == "dead" ? 0 : 1});
    };
  }
  relay.rude = std::make_unique<RudeClients>(witness_, name);
  if (!options_.shim.empty())
    relay.shim = std::make_unique<FaultShim>(relay.folder + ".shim", options_.relays + names_.size());
  if (!options_.proxies) return;
  for (const auto& endpoint : endpoints_)
    links_[name + ">" + endpoint->uid()] =
        std::make_unique<LinkStandIn>(hub_, endpoint->entry(name, false).address);
}

void FleetOfProcesses::lookAfter(Relay& relay) {
  int code = 0;
  if ((relay.phase != Phase::kStarting && relay.phase != Phase::kUp) || !relay.program->ended(code)) return;
  witness_.see({.saw = Saw::kExited, .relay = relay.name, .status = code});
  end(relay);
  relay.startAtMs = witness_.nowMs() + kStartAfterMs;
}

void FleetOfProcesses::trouble(const Relay& relay, int what, bool begins) {
  witness_.see({.saw = begins ? Saw::kTrouble : Saw::kCalm, .relay = relay.name, .status = what});
}

void FleetOfProcesses::onMachine(Relay& relay, const Fault& fault, bool begins) {
  const auto amount = static_cast<std::uint32_t>(begins ? fault.amount : 0);
  switch (fault.kind) {
    case FaultKind::kClockBack:
      return begins ? relay.shim->stepWallClock(-fault.amount) : void();
    case FaultKind::kClockForward:
      return begins ? relay.shim->stepWallClock(fault.amount) : void();
    case FaultKind::kDiskFails:
      relay.shim->failDisk(static_cast<DiskFault>(amount));
      return trouble(relay, kDiskTrouble, begins);
    case FaultKind::kCallsFail:
      relay.shim->failNetwork(amount);
      return trouble(relay, kNetworkTrouble, begins);
    case FaultKind::kHeldUp:
      relay.shim->delayWrites(amount);
      return trouble(relay, kHeldUpTrouble, begins);
    case FaultKind::kStands:
      return relay.shim->standInPoll(amount);
    case FaultKind::kReload:
      return reload(relay, fault, begins);
    case FaultKind::kSignals:
      return begins ? signalInSeries(relay, static_cast<int>(fault.amount)) : void();
    case FaultKind::kCrowd:
      return begins ? crowd(relay, static_cast<int>(fault.amount)) : void();
    case FaultKind::kDiscovery:
      relay.directory->become(begins ? directoryMode(fault.amount) : Directory::Mode::kUp);
      if (!begins) relay.otherDirectory->become(Directory::Mode::kUp);
      // What changed meanwhile counts as told so long after it could be reached again.
      relay.toldAtMs = begins ? 1e18 : witness_.nowMs() + kToldMs;
      return;
    case FaultKind::kFlood:
      return flood(relay, amount);
    case FaultKind::kAgentTwice:
      relay.directory->answersTwice = relay.otherDirectory->answersTwice = begins;
      return;
    case FaultKind::kHangs:
      relay.directory->hangs = static_cast<int>(amount);
      return;
    case FaultKind::kSlowSyncs:
      return relay.shim->slowSyncs(amount);
    case FaultKind::kRude:
      return relay.rude->setRate(amount);
    case FaultKind::kLateConfig:
      relay.lateConfig = static_cast<int>(amount);
      return writeConfig(relay);
    default:
      return;
  }
}

void FleetOfProcesses::drain(Relay& relay) {
  if (relay.phase != Phase::kUp) return;
  relay.phase = Phase::kDraining;
  relay.drainsMs = witness_.nowMs();
  witness_.see({.saw = Saw::kDown, .relay = relay.name, .status = kToldToEnd});
  relay.program->signal(SIGTERM);
}

void FleetOfProcesses::signalInSeries(Relay& relay, int series) {
  constexpr double kTermSeriesMs = 25, kHangUpSeriesMs = 10;
  const double now = witness_.nowMs();
  if (series == 1) {
    if (relay.phase != Phase::kUp) return;
    drain(relay);
    relay.signals = {{now + kTermSeriesMs, SIGHUP}, {now + 2 * kTermSeriesMs, SIGTERM}};
    return;
  }
  for (int i = 0; i < 5; ++i) relay.signals.emplace(now + i * kHangUpSeriesMs, SIGHUP);
}

// One that has just begun to start could not take any yet; they wait for it.
void FleetOfProcesses::sendDueSignals(Relay& relay) {
  if (relay.phase == Phase::kStarting && !relay.program->takesSignals()) return;
  while (!relay.signals.empty() && relay.signals.begin()->first <= witness_.nowMs()) {
    const int signal = relay.signals.extract(relay.signals.begin()).mapped();
    const bool runs = relay.phase != Phase::kAway && relay.phase != Phase::kStopped;
    if (runs) relay.program->signal(signal);
  }
}

void FleetOfProcesses::crowd(const Relay& relay, int messages) {
  constexpr std::uint64_t kLeastMs = 1000, kSpreadMs = 4000;
  for (int i = 0; i < messages; ++i) {
    const std::uint64_t drawn = random_();
    FleetClients::Letter letter;
    letter.cls = kClasses.at(drawn % kClasses.size());
    letter.destination = kFirstDestination + static_cast<int>((drawn >> 8) % kDestinations);
    letter.timeMs = static_cast<double>(kLeastMs + (drawn >> 16) % kSpreadMs);
    clients_->hand(std::move(letter), relay.name);
  }
}

void FleetOfProcesses::flood(Relay& relay, std::size_t connections) {
  for (const Hub::Id id : std::exchange(relay.flood, {})) hub_.close(id);
  if (relay.phase != Phase::kUp && relay.phase != Phase::kStopped) return;
  while (relay.flood.size() < connections) relay.flood.push_back(hub_.connect(relay.listen, {}));
}

void FleetOfProcesses::seeHolds(Relay& relay) {
  const FaultPage& page = relay.shim->page();
  for (const std::uint64_t count = page.holdCount; relay.holdsSeen < count; ++relay.holdsSeen) {
    const FaultHold& hold = page.holds.at(relay.holdsSeen % kFaultHolds);
    witness_.see(
        {.saw = Saw::kHeldUp, .relay = relay.name, .ms = steadyMs() - static_cast<double>(hold.fromMs)});
  }
}

void FleetOfProcesses::seeUnfinishedHold(Relay& relay) {
  if (!relay.shim) return;
  seeHolds(relay);
  const auto sinceMs = static_cast<double>(relay.shim->page().holdingSinceMs);
  if (sinceMs > 0) witness_.see({.saw = Saw::kHeldUp, .relay = relay.name, .ms = steadyMs() - sinceMs});
  relay.shim->forgetHold();
}

void FleetOfProcesses::seeStarved(Relay& relay) {
  constexpr double kAskEveryMs = 5, kLeastMs = 1;
  const double nowMs = witness_.nowMs();
  if (relay.phase == Phase::kAway || nowMs - relay.processorAskedMs < kAskEveryMs) return;
  relay.processorAskedMs = nowMs;
  const double waitedMs = relay.processorWait.sinceLastMs(relay.program->pid());
  if (waitedMs >= kLeastMs) witness_.see({.saw = Saw::kStarved, .relay = relay.name, .ms = waitedMs});
}

void FleetOfProcesses::hangUp(Relay& relay) {
  if (relay.phase == Phase::kAway || relay.phase == Phase::kStopped) return;
  relay.signals.emplace(witness_.nowMs(), SIGHUP);
  sendDueSignals(relay);
}

std::string FleetOfProcesses::shimCounts() const {
  std::uint64_t calls = 0, disk = 0, delays = 0, stands = 0;
  for (const auto& relay : relays_) {
    if (!relay->shim) continue;
    calls += relay->shim->page().failedCalls;
    disk += relay->shim->page().failedDisk;
    delays += relay->shim->page().delays;
    stands += relay->shim->page().stands;
  }
  std::ostringstream text;
  text << "shims: calls failed " << calls << ", changes of the disk failed " << disk << ", writes delayed "
       << delays << ", stood in polls " << stands << '\n';
  return text.str();
}

}  // namespace myrtleloft::lab
