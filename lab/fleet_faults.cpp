// How the faults of a plan are done to a fleet of processes.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <utility>

#include "lab/auditor_timeline.h"
#include "lab/fleet_of_processes.h"

namespace myrtleloft::lab {

PlanShape FleetOfProcesses::shape(std::vector<FaultKind> kinds, int count) const {
  PlanShape shape;
  shape.relays = names_;
  for (const auto& endpoint : endpoints_) shape.endpoints.push_back(endpoint->uid());
  shape.kinds = std::move(kinds);
  shape.count = count;
  shape.overlaps = !options_.shim.empty();
  if (options_.proxies)
    for (const std::string& relay : names_)
      for (const std::string& endpoint : shape.endpoints) shape.links.push_back(relay + ">" + endpoint);
  shape.lengthMs = options_.trafficMs;
  shape.leastMs = 300;
  shape.mostMs = 3000;
  return shape;
}

void FleetOfProcesses::begin(const Fault& fault, bool begins) {
  for (const auto& relay : relays_)
    if (relay->name == fault.target) onRelay(*relay, fault, begins);
  for (const auto& endpoint : endpoints_)
    if (endpoint->uid() == fault.target) onEndpoint(*endpoint, fault, begins);
  if (const auto link = links_.find(fault.target); link != links_.end()) onLink(*link->second, fault, begins);
}

void FleetOfProcesses::onRelay(Relay& relay, const Fault& fault, bool begins) {
  if (fault.kind == FaultKind::kStop) {
    if (relay.phase != (begins ? Phase::kUp : Phase::kStopped)) return;
    relay.phase = begins ? Phase::kStopped : Phase::kUp;
    witness_.see({.saw = begins ? Saw::kStopped : Saw::kContinued, .relay = relay.name});
    return relay.program->signal(begins ? SIGSTOP : SIGCONT);
  }
  if (fault.kind >= FaultKind::kClockBack) return onMachine(relay, fault, begins);
  if (fault.kind == FaultKind::kTerm) {
    return begins ? drain(relay) : void();
  }
  if (fault.kind == FaultKind::kDisk) relay.diskMb = begins ? fault.amount / 1024 : options_.diskMb;
  if (relay.phase != Phase::kAway && (begins || fault.kind == FaultKind::kDisk)) {
    end(relay);
    if (fault.kind == FaultKind::kLose) {
      std::filesystem::remove_all(relay.folder);
      witness_.see({.saw = Saw::kFolderLost, .relay = relay.name});
    }
  }
  if (relay.phase == Phase::kAway && (!begins || fault.kind == FaultKind::kDisk)) start(relay);
}

void FleetOfProcesses::onEndpoint(FleetEndpoint& endpoint, const Fault& fault, bool begins) {
  using Mode = FleetEndpoint::Mode;
  if (fault.kind == FaultKind::kDrain) {
    leaving_[endpoint.uid()] = begins;
    return tell(endpoint.uid());
  }
  if (fault.kind == FaultKind::kAnswersTwice) {
    endpoint.answersTwice = begins;
    return;
  }
  const std::map<FaultKind, Mode> modes = {
      {FaultKind::kRefuse, Mode::kRefuses}, {FaultKind::kDrop, Mode::kDrops},
      {FaultKind::kSilent, Mode::kSilent},  {FaultKind::kSlow, Mode::kSlow},
      {FaultKind::kError, Mode::kErrs},     {FaultKind::kTurnAway, Mode::kTurnsAway},
      {FaultKind::kWait, Mode::kTellsWait}, {FaultKind::kSpoilt, Mode::kSpoils},
      {FaultKind::kHalts, Mode::kHalts},    {FaultKind::kForgets, Mode::kForgets}};
  endpoint.slowMs = fault.amount;
  endpoint.waitUntilMs = witness_.nowMs() + fault.forMs;
  endpoint.become(begins ? modes.at(fault.kind) : Mode::kServes);
}

void FleetOfProcesses::onLink(LinkStandIn& link, const Fault& fault, bool begins) {
  using Way = LinkStandIn::Way;
  if (!begins) return link.heal();
  LinkStandIn::Faults faults;
  const auto amount = static_cast<std::size_t>(fault.amount);
  const FaultKind kind = fault.kind;
  faults.holds = kind == FaultKind::kCut || kind == FaultKind::kCutThere || kind == FaultKind::kCutBack;
  faults.drops = kind == FaultKind::kLoseBytes;
  if (kind == FaultKind::kDelay) faults.delayMs = fault.amount;
  if (kind == FaultKind::kThrottle) faults.bytesPerS = fault.amount;
  if (kind == FaultKind::kReset) faults.resetAfter = amount;
  if (kind == FaultKind::kSpoil) faults.spoilAfter = amount;
  if (kind == FaultKind::kRepeat) faults.repeatAfter = amount;
  if (kind != FaultKind::kCutBack) link.set(Way::kThere, faults);
  const bool oneByte = kind == FaultKind::kReset || kind == FaultKind::kSpoil || kind == FaultKind::kRepeat;
  if (kind != FaultKind::kCutThere && !oneByte) link.set(Way::kBack, faults);
}

std::string FleetOfProcesses::copyCounts() const {
  std::uint64_t endpointCopies = 0, agentCopies = 0;
  int hung = 0;
  for (const auto& endpoint : endpoints_) endpointCopies += endpoint->copiesSent();
  for (const auto& relay : relays_)
    for (const Directory* agent : {relay->directory.get(), relay->otherDirectory.get()}) {
      agentCopies += agent->copiesSent();
      hung += agent->postsHung();
    }
  std::ostringstream text;
  text << "copies of answers: endpoints " << endpointCopies << ", agents " << agentCopies << "; posts hung "
       << hung << '\n';
  return text.str();
}

std::string FleetOfProcesses::report() const {
  std::ostringstream text;
  text << print(plan_);
  for (const AuditFinding& finding : judge()) text << describe(finding, witness_.history);
  text << "handed in " << count(Saw::kHanded) << ", taken on " << count(Saw::kTaken) << ", refused "
       << count(Saw::kRefused) << ", calls " << count(Saw::kCall) << ", notices " << count(Saw::kNotice)
       << ", cut off " << count(Saw::kCutOff) << ", left " << count(Saw::kLeft) << ", stalls "
       << count(Saw::kStall) << ", starved " << sumMs(Saw::kStarved) << " ms\n"
       << copyCounts();
  return text.str();
}

std::string FleetOfProcesses::logs() const {
  std::string text;
  for (const std::string& name : names_) text += logOf(name);
  return text;
}

std::string FleetOfProcesses::logOf(const std::string& relay) const {
  for (const auto& r : relays_)
    if (r->name == relay) return "--- " + relay + "\n" + r->program->log();
  return "";
}

}  // namespace myrtleloft::lab
