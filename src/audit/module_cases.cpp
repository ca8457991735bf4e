#include "audit/module_cases.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "audit/step_codec.h"

namespace myrtleloft {
namespace {

// Percentage of calls of a case with each outcome. With `hasOutage`, calls to every second destination get
// the outcome `outage` for a range of steps.
struct FaultProfile {
  int success, rejected, failure, timeout, connectFailed, reset;
  Outcome outage;
  bool hasOutage;
};
constexpr FaultProfile kFaultProfiles[] = {
    {94, 2, 1, 1, 1, 1, Outcome::kSuccess, false},      {45, 45, 2, 3, 2, 3, Outcome::kRejected, false},
    {86, 4, 2, 3, 2, 3, Outcome::kConnectFailed, true}, {86, 4, 2, 3, 2, 3, Outcome::kTimeout, true},
    {80, 8, 4, 3, 2, 3, Outcome::kRejected, true},      {55, 5, 12, 10, 8, 10, Outcome::kFailure, true}};
constexpr int kFaultProfileCount = sizeof kFaultProfiles / sizeof kFaultProfiles[0];

class ModuleRun : public CaseRun {
 public:
  ModuleRun(Settings settings, const std::vector<EndpointInfo>& real, const ModuleFactory& make,
            const Hash& seed)
      : random_(seed), faults_(kFaultProfiles[random_.below(kFaultProfileCount)]) {
    settings.seed = random_.next();
    settings.instanceIndex = random_.below(std::max(1, settings.instanceCount));
    zones_ = std::max<int>(2, static_cast<int>(settings.zoneCosts.size()));
    kinds_ = std::max<int>(1, static_cast<int>(settings.kindHasSeparateLimits.size()));
    settings.zone = random_.below(zones_);
    drawEndpoints(real);
    outageFrom_ = random_.between(6, 16);
    outageTo_ = outageFrom_ + random_.between(4, 16);
    maxRequestsPerStep_ = random_.between(1, 5);
    module_ = make(settings);
    settings_ = std::move(settings);
  }

  bool next(CaseStep& step) override {
    if (steps_ == ModuleCases::kSteps) return false;
    std::vector<Event> events;
    if (steps_ == 0)
      events.emplace_back(EndpointListEvent{
          random_.chance(50) ? ListUpdateKind::kSnapshot : ListUpdateKind::kCached, entries_});
    else
      nowMs_ += random_.chance(70) ? random_.between(5, 250) : random_.between(250, 2500);
    while (!pendingEvents_.empty() && pendingEvents_.begin()->first <= nowMs_) {
      events.push_back(std::move(pendingEvents_.begin()->second));
      pendingEvents_.erase(pendingEvents_.begin());
    }
    drawEvents(events);
    ++steps_;
    step.input = encodeEvents(nowMs_, events);
    const std::vector<Action> actions = module_->onBatch(nowMs_, events);
    step.output = encodeActions(actions);
    for (const Action& action : actions) apply(action);
    return true;
  }

 private:
  // Half of the cases use endpoints of the real list if it has any.
  void drawEndpoints(const std::vector<EndpointInfo>& real) {
    const bool drawn = real.empty() || random_.chance(50);
    if (!drawn) {
      const std::size_t n =
          std::min<std::size_t>(real.size(), static_cast<std::size_t>(random_.between(2, 12)));
      const std::size_t from = static_cast<std::size_t>(random_.below(static_cast<int>(real.size())));
      for (std::size_t i = 0; i < n; ++i) entries_.push_back(real[(from + i) % real.size()]);
    }
    const int destinations = drawn ? random_.between(1, 4) : 0;
    for (int d = 1; d <= destinations; ++d) {
      // Some endpoints differ by name only, as the order of equal endpoints is a decision as well.
      const int kind = random_.below(kinds_), zone = random_.below(zones_), endpoints = random_.between(1, 4);
      const bool equal = random_.chance(50);
      const int rating = random_.between(2, 24);
      for (int e = 0; e < endpoints; ++e)
        entries_.push_back({"e" + std::to_string(d) + "-" + std::to_string(e),
                            equal ? zone : random_.below(zones_), kind, d, EndpointState::kRunning,
                            (equal ? rating : random_.between(2, 24)) / 2.0});
    }
  }
  const EndpointInfo& anyEndpoint() {
    return entries_[static_cast<std::size_t>(random_.below(static_cast<int>(entries_.size())))];
  }

  void drawEvents(std::vector<Event>& events) {
    const int requests = random_.below(maxRequestsPerStep_ + 1);
    for (int i = 0; i < requests; ++i) events.emplace_back(drawRequest());
    if (last_ > 0 && random_.chance(3))
      events.emplace_back(ClientDisconnectEvent{"m" + std::to_string(random_.between(1, last_))});
    if (random_.chance(2)) events.emplace_back(EndpointListEvent{ListUpdateKind::kError, {}});
    if (!random_.chance(5)) return;
    EndpointInfo changed = anyEndpoint();
    constexpr EndpointState kStates[] = {EndpointState::kRunning, EndpointState::kDraining,
                                         EndpointState::kRemoved};
    changed.state = kStates[random_.below(3)];
    events.emplace_back(EndpointListEvent{ListUpdateKind::kDelta, {changed}});
  }
  RequestEvent drawRequest() {
    RequestEvent e;
    e.id = "m" + std::to_string(++last_);
    const int classes = static_cast<int>(settings_.classes.size());
    e.classIndex = classes > 0 ? random_.below(classes) : 0;
    const double limitMs =
        classes > 0 ? settings_.classes[static_cast<std::size_t>(e.classIndex)].maxLifetimeMs : 10000;
    e.deadlineMs = nowMs_ + std::floor(limitMs) - random_.between(0, 900);
    e.effortMs = random_.between(0, 400);
    e.destination = anyEndpoint().destination;
    e.isRetry = random_.chance(10);
    if (random_.chance(30)) e.orderKey = "k" + std::to_string(random_.below(4));
    if (random_.chance(4)) {  // a pending request recovered after a restart
      e.attempts = 1;
      e.ambiguousAttempts.push_back({random_.below(zones_), nowMs_ - random_.between(1, 3000)});
      attempts_[e.id] = e.attempts;
    }
    return e;
  }

  void apply(const Action& action) {
    if (const auto* timer = std::get_if<TimerAction>(&action))
      pendingEvents_.emplace(nowMs_ + std::ceil(timer->delayMs), TimerEvent{timer->token});
    else if (const auto* send = std::get_if<SendAction>(&action))
      scheduleOutcome(*send);
    else if (const auto* cancel = std::get_if<CancelAction>(&action))
      cancelCall(*cancel);
  }
  void scheduleOutcome(const SendAction& send) {
    OutcomeEvent e;
    e.id = send.id;
    e.endpoint = send.endpoint;
    e.attempt = attempts_[send.id]++;
    const int draw = random_.below(100), tookMs = random_.between(20, 400);
    const FaultProfile& faults = faults_;
    e.outcome =
        draw < faults.success                                                       ? Outcome::kSuccess
        : draw < faults.success + faults.rejected                                   ? Outcome::kRejected
        : draw < faults.success + faults.rejected + faults.failure                  ? Outcome::kFailure
        : draw < faults.success + faults.rejected + faults.failure + faults.timeout ? Outcome::kTimeout
        : draw < faults.success + faults.rejected + faults.failure + faults.timeout + faults.connectFailed
            ? Outcome::kConnectFailed
            : Outcome::kReset;
    const int step = static_cast<int>(steps_);
    if (faults.hasOutage && step >= outageFrom_ && step < outageTo_ && !random_.chance(5) &&
        inOutage(send.endpoint))
      e.outcome = faults.outage;
    if (e.outcome == Outcome::kRejected && random_.chance(40)) e.retryAfterMs = random_.between(100, 3000);
    if (e.outcome == Outcome::kSuccess && random_.chance(5)) e.report.limitPerSecond = random_.between(1, 40);
    if (send.timeoutMs < tookMs) e.outcome = Outcome::kTimeout;
    e.completed = e.outcome == Outcome::kSuccess;
    pendingEvents_.emplace(nowMs_ + (e.outcome == Outcome::kTimeout ? std::ceil(send.timeoutMs) : tookMs),
                           std::move(e));
  }
  void cancelCall(const CancelAction& cancel) {
    for (auto& [at, event] : pendingEvents_) {
      auto* outcome = std::get_if<OutcomeEvent>(&event);
      if (!outcome || outcome->id != cancel.id || outcome->attempt != cancel.attempt) continue;
      outcome->outcome = Outcome::kCancelled;
      outcome->completed = false;
      return;
    }
  }
  // Every second destination has the outage.
  bool inOutage(const std::string& target) const {
    for (const EndpointInfo& e : entries_)
      if (e.endpoint == target) return e.destination % 2 != 0;
    return false;
  }

  DeterministicRandom random_;
  FaultProfile faults_;
  Settings settings_;
  std::unique_ptr<DecisionModule> module_;
  std::vector<EndpointInfo> entries_;
  std::multimap<double, Event> pendingEvents_;
  std::map<std::string, int> attempts_;
  double nowMs_ = 0;
  std::size_t steps_ = 0;
  int zones_ = 1, kinds_ = 1, outageFrom_ = 0, outageTo_ = 0, maxRequestsPerStep_ = 1, last_ = 0;
};

class ProgramModule : public DecisionModule {
 public:
  explicit ProgramModule(const Settings& settings) : dispatcher_(settings) {}
  std::vector<Action> onBatch(double nowMs, const std::vector<Event>& events) override {
    return dispatcher_.onBatch(nowMs, events);
  }

 private:
  Dispatcher dispatcher_;
};

}  // namespace

std::unique_ptr<DecisionModule> makeOwnModule(const Settings& settings) {
  return std::make_unique<ProgramModule>(settings);
}

ModuleCases::ModuleCases(const Settings& settings, const EndpointTable::Endpoints& endpoints,
                         ModuleFactory make)
    : settings_(settings), factory_(std::move(make)) {
  std::vector<std::pair<Hash, const std::string*>> lowest;
  for (const auto& [uid, endpoint] : endpoints) lowest.emplace_back(hashOf(uid), &uid);
  const auto end = lowest.begin() + static_cast<std::ptrdiff_t>(std::min(lowest.size(), kMaxRealEndpoints));
  std::partial_sort(lowest.begin(), end, lowest.end(),
                    [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto at = lowest.begin(); at != end; ++at) {
    realEndpoints_.push_back(endpoints.find(*at->second)->second.info);
    realEndpoints_.back().endpoint = *at->second;  // without the number added by this process
  }
}

std::unique_ptr<CaseRun> ModuleCases::begin(const Hash& version, std::size_t index) const {
  return std::make_unique<ModuleRun>(
      settings_, realEndpoints_, factory_,
      hashOf(std::vector<Hash>{version, {0, static_cast<std::uint64_t>(index)}}));
}

StepDifference moduleDifference(const CaseStep& here, const CaseStep& there) {
  StepDifference difference;
  Batch batch;
  std::vector<Action> local, remote;
  if (decodeEvents(here.input, batch)) difference.event = textOf(batch);
  if (!decodeActions(here.output, local) || !decodeActions(there.output, remote)) return difference;
  const std::size_t longest = std::max(local.size(), remote.size());
  for (std::size_t i = 0; i < longest; ++i) {
    difference.here = i < local.size() ? textOf(local[i]) : "no action";
    difference.there = i < remote.size() ? textOf(remote[i]) : "no action";
    if (i >= local.size() || i >= remote.size()) break;
    if (encodeActions({local[i]}) != encodeActions({remote[i]})) break;
  }
  return difference;
}

}  // namespace myrtleloft
