#include "lab/cold_fleet.h"

#include <algorithm>
#include <cmath>

#include "lab/cold_budget.h"

namespace myrtleloft::lab {
namespace {

constexpr double kBulkWeight = 0.2;    // what each further message of a call weighs
constexpr double kComesAgain = 0.7;    // of the clients that were refused
constexpr double kAgainDownMs = 6000;  // a receiver that fell
}  // namespace

void ColdFleet::put(double atMs, int forwarder, Event e) { agenda_[atMs][forwarder].push_back(std::move(e)); }

ColdVerdict ColdFleet::run() {
  for (; !agenda_.empty() && agenda_.begin()->first < endMs_; agenda_.erase(agenda_.begin())) {
    const double t = agenda_.begin()->first;
    for (; !restarts_.empty() && restarts_.begin()->first <= t; restarts_.erase(restarts_.begin()))
      restart(t, restarts_.begin()->second);
    for (const auto& [forwarder, events] : agenda_.begin()->second) batch(forwarder, t, events);
  }
  return verdict_;
}

// What it was told of itself is gone; what it owes comes back to it, with its attempts.
void ColdFleet::restart(double t, int forwarder) {
  settings_.instanceIndex = forwarder;
  settings_.seed = random_();
  fleet_[static_cast<std::size_t>(forwarder)] = std::make_unique<Dispatcher>(settings_);
  for (Receiver& r : receivers_) r.told[static_cast<std::size_t>(forwarder)] = false;
  for (auto& [at, byForwarder] : agenda_)
    std::erase_if(byForwarder[forwarder],
                  [](const Event& e) { return !std::holds_alternative<RequestEvent>(e); });
  std::vector<Event> first = {EndpointListEvent{ListUpdateKind::kCached, list_.entries}};
  for (auto& [id, m] : open_) {
    if (m.over || m.forwarder != forwarder || m.bornMs >= t) continue;
    if (m.sentMs >= 0) m.event.ambiguousAttempts.push_back({0, m.sentMs});
    m.sentMs = -1;
    first.emplace_back(m.event);
  }
  std::vector<Event>& now = agenda_[t][forwarder];
  now.insert(now.begin(), first.begin(), first.end());
}

void ColdFleet::learn(const OutcomeEvent& o) {
  Open& m = open_.at(o.id);
  if (m.sentMs < 0 || o.attempt != m.event.attempts - 1) return;
  m.over = m.over || o.outcome == Outcome::kSuccess;
  if (o.outcome != Outcome::kRejected && o.outcome != Outcome::kConnectFailed)
    m.event.ambiguousAttempts.push_back({0, m.sentMs});
  m.sentMs = -1;
}

void ColdFleet::batch(int forwarder, double t, const std::vector<Event>& events) {
  for (const Event& e : events)
    if (const auto* o = std::get_if<OutcomeEvent>(&e)) learn(*o);
  const auto actions = fleet_[static_cast<std::size_t>(forwarder)]->onBatch(t, events);
  std::map<std::string, std::vector<Sent>> byTarget;
  for (const Action& a : actions) {
    if (const auto* timer = std::get_if<TimerAction>(&a))
      put(t + std::max(kColdTickMs, coldTicks(timer->delayMs)), forwarder, TimerEvent{timer->token});
    if (const auto* sent = std::get_if<SendAction>(&a))
      byTarget[sent->endpoint].push_back({*sent, open_.at(sent->id).event.attempts++});
    if (const auto* off = std::get_if<CancelAction>(&a)) {
      OutcomeEvent o;
      o.id = off->id, o.attempt = off->attempt, o.outcome = Outcome::kCancelled;
      o.endpoint = open_.at(off->id).target;
      put(t + kColdTickMs, forwarder, o);
    }
    if (const auto* refused = std::get_if<RejectAction>(&a)) {
      Open& was = open_.at(refused->id);
      was.over = true;
      const double atMs = t + refused->retryAfterMs;
      if (was.tries < 3 && unit() < kComesAgain && atMs + 1000 < was.event.deadlineMs)
        handIn(atMs, was.event.destination, was.event.deadlineMs, was.tries + 1);
    }
    if (const auto* failed = std::get_if<FailAction>(&a)) open_.at(failed->id).over = true;
  }
  const auto bulk = static_cast<std::size_t>(settings_.kindBatchSize[0]);
  for (const auto& [target, items] : byTarget)
    for (std::size_t first = 0; first < items.size(); first += bulk) {
      const auto from = items.begin() + static_cast<std::ptrdiff_t>(first);
      const auto to = items.begin() + static_cast<std::ptrdiff_t>(std::min(items.size(), first + bulk));
      call(forwarder, places_.at(target), {from, to}, t);
    }
  // What this batch told of the outage counts for the sends of the next.
  for (const Event& e : events)
    if (const auto* o = std::get_if<OutcomeEvent>(&e); o && o->outcome != Outcome::kSuccess) {
      Receiver& r = receivers_[places_.at(o->endpoint).receiver];
      if (failing_.erase({o->id, o->attempt}) > 0) r.told[static_cast<std::size_t>(forwarder)] = true;
    }
}

void ColdFleet::call(int forwarder, Place& place, const std::vector<Sent>& items, double t) {
  Receiver& r = receivers_[place.receiver];
  const bool told = r.told[static_cast<std::size_t>(forwarder)];
  arrive(r, t, 1 + kBulkWeight * static_cast<double>(items.size() - 1), told);
  const Fate f = fate(r, t);
  for (const auto& [action, attempt] : items) {
    OutcomeEvent o;
    o.id = action.id, o.attempt = attempt, o.endpoint = place.target;
    o.outcome = f.tookMs > action.timeoutMs ? Outcome::kTimeout : f.outcome;
    o.retryAfterMs = f.tookMs > action.timeoutMs ? 0 : f.waitMs;
    o.completed = o.outcome == Outcome::kSuccess;
    const double atMs = coldTicks(t + std::min(f.tookMs, action.timeoutMs));
    open_.at(action.id).target = place.target;
    open_.at(action.id).sentMs = t;
    if (r.out(t) && !o.completed) failing_.emplace(action.id, attempt);
    verdict_.delivered += o.completed && atMs <= open_.at(action.id).event.deadlineMs;
    put(std::max(atMs, t + kColdTickMs), forwarder, o);
  }
}

double ColdFleet::warmth(const Receiver& r, double t) const {
  if (!r.returned(t)) return 1;
  const Settings& s = settings_;
  return r.lowered * std::min(1.0, s.slowStartShare + (1 - s.slowStartShare) * (t - r.toMs) / s.slowStartMs);
}

void ColdFleet::arrive(Receiver& r, double t, double weight, bool told) {
  if (!r.returned(t) || t > r.toMs + settings_.slowStartMs) return;
  r.window.push_back({t, weight, told});
  while (r.window.front().atMs <= t - settings_.overloadWindowMs) r.window.pop_front();
  const double fromMs = std::max(r.toMs, t - settings_.overloadWindowMs);
  double takes = 0;
  for (double at = fromMs + 25; at < fromMs + settings_.overloadWindowMs; at += 50)
    takes += r.perS * 0.05 * settings_.overloadFactor * warmth(r, at);
  double all = 0, byTold = 0;
  for (const Arrival& a : r.window) all += a.weight, byTold += a.told ? a.weight : 0;
  if (all <= coldBudget(takes)) return;
  verdict_.fell = true;
  if (3 * byTold > 2 * all && !verdict_.broken) {
    verdict_.broken = true;
    verdict_.fall = std::to_string(all) + " in fallMs, " + std::to_string(byTold) + " by those told, " +
                    std::to_string(t - r.toMs) + " ms after the return at " + std::to_string(r.toMs) +
                    " of " + r.name + "; N " + std::to_string(takes);
  }
  r.outage = Outage::kDown;
  r.fromMs = t, r.toMs = t + kAgainDownMs;
  r.window.clear();
}

std::int64_t ColdFleet::shutWaitMs(const Receiver& r, double t) {
  if (shutWait_ == ShutWait::kUntilReturn) return static_cast<std::int64_t>(std::ceil(r.toMs - t));
  return r.tells ? 300 + below(700) : 0;
}

ColdFleet::Fate ColdFleet::fate(Receiver& r, double t) {
  const double took = between(0.5, 1.5) * r.tookMs;
  if (r.out(t)) {
    if (r.outage == Outage::kDown) return {Outcome::kConnectFailed, unit() < 0.5 ? 20.0 : 1500.0, 0};
    if (r.outage == Outage::kSilent) return {Outcome::kTimeout, 1e9, 0};
    if (r.outage == Outage::kShut) return {Outcome::kRejected, 30, shutWaitMs(r, t)};
    if (unit() < 0.9) return {Outcome::kFailure, took, 0};
    return {Outcome::kSuccess, took, 0};
  }
  if (unit() < strays_) return {unit() < 0.5 ? Outcome::kReset : Outcome::kConnectFailed, took, 0};
  while (!r.taken.empty() && r.taken.front() <= t - 1000) r.taken.pop_front();
  if (static_cast<double>(r.taken.size()) >= std::max(1.0, r.perS * warmth(r, t)))
    return {Outcome::kRejected, 30, r.tells ? static_cast<std::int64_t>(r.taken.front() + 1001 - t) : 0};
  r.taken.push_back(t);
  return {Outcome::kSuccess, took, 0};
}

}  // namespace myrtleloft::lab
