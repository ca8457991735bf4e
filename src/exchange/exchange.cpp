#include "exchange/exchange.h"

#include <algorithm>
#include <utility>

#include "exchange/recovered.h"

namespace myrtleloft {
namespace {

// Advice of the relay's own, where the module was not asked: over maxOpen, journal full, about to end.
constexpr double kComeBackMs = 1000;
constexpr double kClocksApartMs = 1000;
constexpr std::size_t kMostWaiting = 256;  // batches that wait for one sync: more than a second's
constexpr double kSliceMs = 2;  // between two slices of the journal's compaction, where no batch comes sooner
// What an item of a bulk call takes beside its id, key and body, and what JSON makes of a printable byte.
constexpr std::size_t kItemFrame = 40, kMostEscaped = 2;

bool provenHarmless(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kNoConn || outcome == Outcome::kNop;
}

template <typename... Handlers>
struct Visitor : Handlers... {
  using Handlers::operator()...;
};

}  // namespace

Exchange::Exchange(const Parts& parts, const Settings& settings)
    : parts_(parts), settings_(settings), dispatcher_(settings) {}

// ---- events ----
void Exchange::schedule() {
  if (batchTimer_ != Loop::kNoTimer || quiet_) return;
  const double wait = lastBatchMs_ + settings_.resolutionMs - parts_.loop.nowMs();
  batchTimer_ = parts_.loop.after(wait, [this] { runBatch(); });
}

void Exchange::recover(Recovered found, ListEvent known) {
  // The list goes first: without it every route of a request that may have run would look closed.
  pending_.emplace_back(std::in_place_type<ListEvent>, std::move(known));
  const double nowMs = parts_.loop.nowMs(), wallMs = parts_.clock.wallMs();
  found.owed.take([&](RecoveredRequest request) {
    ++parts_.counters.recovered;
    Open& open = open_[request.owed.id];
    open.owed = std::move(request.owed);
    if (parts_.quotas) open.quota = parts_.quotas->leafOf(open.owed.tenant, "");  // its unit is not recorded
    parts_.journal.settle(open.owed);
    OwedRequest& owed = open.owed;
    // By the settings of now it may not be sent: it still has its end.
    if (owed.verdict == Verdict::kNone && !mayGoOn(owed, request.allowed, settings_, wallMs))
      parts_.journal.verdict(owed, Verdict::kDead, 0);
    if (owed.verdict != Verdict::kNone) {
      parts_.notices.add(owed.id, owed.verdict, owed.waitMs);
    } else {
      MessageEvent event = eventOf(owed, nowMs, wallMs, hardLimitMs(owed.cls));
      open.notAfterMs = event.notAfterMs;
      pending_.emplace_back(std::in_place_type<MessageEvent>, std::move(event));
      ++held_;
    }
  });
  runBatch();
}

double Exchange::hardLimitMs(int cls) const {
  return settings_.classes.at(static_cast<std::size_t>(cls)).hardLimitMs;
}

void Exchange::onList(ListEvent event) {
  push(std::move(event));
  parts_.outbound.reconsider(destinations());
}

void Exchange::onRequest(IncomingRequest request, AnswerTo answer) {
  const auto known = open_.find(request.id);
  if (known != open_.end()) {
    // The same request again is already taken on; another under its id would be lost between the two.
    const OwedRequest& owed = known->second.owed;
    const bool same = owed.verdict == Verdict::kNone && !known->second.answer && owed.cls == request.cls &&
                      owed.destination == request.destination && owed.key == request.key;
    return answer({same ? Answer::Kind::kTaken : Answer::Kind::kUnusable});
  }
  const bool full = settings_.maxOpen > 0 && held_ >= static_cast<std::size_t>(settings_.maxOpen);
  // A sync that hangs: its client would not wait for it, and what waits would grow with every request.
  if (full || quiet_ || waiting_.size() >= kMostWaiting) {
    ++parts_.counters.failFastFull;
    return answer({Answer::Kind::kFailFast, kComeBackMs});
  }
  // No list ever named it: held until its time is up, it would only take the room of others.
  if (!destinations().knows(request.destination)) {
    ++parts_.counters.failFastUnknown;
    return answer({Answer::Kind::kFailFast, kComeBackMs});
  }
  // Its endpoint may be another's by now, and this class cannot afford that.
  if (const auto comeBackMs = parts_.membership.refuses(request.cls))
    return answer({Answer::Kind::kFailFast, *comeBackMs});
  // None may be held for longer than its class allows. A little more is a clock's; much more is no time at
  // all. (One that gave itself 10^23 s was taken on, and would have been owed its end for good.)
  const double mostMs = hardLimitMs(request.cls);
  if (request.leftMs > mostMs + kClocksApartMs) return answer({Answer::Kind::kUnusable});
  const double leftMs = std::min(request.leftMs, mostMs);
  const int quota = parts_.quotas ? parts_.quotas->leafOf(request.tenant, request.unit) : QuotaDoor::kNoQuota;
  if (quota != QuotaDoor::kNoQuota) {
    if (const auto comeBackMs = parts_.quotas->refuses(quota, request.cls, parts_.loop.nowMs()))
      return answer({Answer::Kind::kOverQuota, *comeBackMs});
    parts_.quotas->takenIn(quota, request.cls, parts_.loop.nowMs());
  }
  MessageEvent event;
  event.id = request.id;
  event.cls = request.cls;
  event.tenant = request.tenant;
  event.notAfterMs = parts_.loop.nowMs() + leftMs;
  event.destination = request.destination;
  event.isRetry = request.isRetry;

  Open& open = open_[request.id];
  open.answer = std::move(answer);
  open.notAfterMs = event.notAfterMs;
  open.quota = quota;
  open.chargedMs = parts_.loop.nowMs();
  open.owed.takenWallMs = parts_.clock.wallMs();
  open.owed.notAfterWallMs = open.owed.takenWallMs + leftMs;
  open.owed.id = request.id;
  open.owed.key = std::move(request.key);
  open.owed.body = std::move(request.body);
  open.owed.cls = request.cls;
  open.owed.tenant = request.tenant;
  open.owed.destination = request.destination;
  open.owed.isRetry = request.isRetry;
  ++held_;
  fresh_.push_back(request.id);
  push(std::move(event));
}

void Exchange::onHangUp(const std::string& id) {
  const auto at = open_.find(id);
  if (at == open_.end() || !at->second.answer) return;
  unchargeRequest(at->second);
  forget(at);  // never told that it is taken on, so nothing is owed
  --held_;
  push(HangUpEvent{id});
}

void Exchange::onOutcomes(const std::string& uid, const std::vector<CallOutcome>& outcomes,
                          const Report& report) {
  bool waits = false;
  for (const CallOutcome& outcome : outcomes) {
    const auto at = open_.find(outcome.id);
    if (at == open_.end()) continue;
    OwedRequest& owed = at->second.owed;
    push(OutcomeEvent{outcome.id, owed.attempts - 1, uid, outcome.outcome, outcome.ended, outcome.detail,
                      report});
    waits = waits || (outcome.outcome != Outcome::kNop && outcome.detail > 0);
    if (outcome.ended) {
      ++(outcome.outcome == Outcome::kGood ? parts_.counters.delivered : parts_.counters.expired);
      if (owed.verdict == Verdict::kNone) --held_;
      forget(at);
    } else if (provenHarmless(outcome.outcome)) {
      parts_.journal.harmless(owed);
      unchargeCall(at->second);
    } else {
      at->second.callChargedMs = kNotCharged;  // it counts
    }
  }
  if (waits) recall(uid);
}

void Exchange::onConfirmed(const std::string& id) {
  if (const auto at = open_.find(id); at != open_.end()) forget(at);
}

// Nothing is owed of it any more.
void Exchange::forget(std::map<std::string, Open, std::less<>>::iterator at) {
  parts_.journal.ended(at->second.owed);  // does nothing where it was not recorded
  const std::string id = at->first;
  open_.erase(at);
  dropPutOff(id);
}

void Exchange::quiesce() {
  // Those not answered yet are not taken on either.
  for (const std::string& id : std::exchange(fresh_, {})) {
    const auto at = open_.find(id);
    if (at == open_.end()) continue;
    answer(at->second, {Answer::Kind::kFailFast, kComeBackMs});
    open_.erase(at);
    --held_;
  }
  takeBack([](const std::string&) { return true; });
  quiet_ = true;
  pending_.clear();
  parts_.loop.cancel(batchTimer_);
}

void Exchange::dismiss(OwedTable& recorded) {
  const bool durable = parts_.journal.durable() == parts_.journal.position();
  for (auto& [id, open] : open_) {
    const bool taken = recorded.find(id) != nullptr;
    if (taken && !durable) continue;
    answer(open, {taken ? Answer::Kind::kTaken : Answer::Kind::kFailFast, kComeBackMs});
  }
}

// ---- one batch ----
void Exchange::runBatch() {
  batchTimer_ = Loop::kNoTimer;
  lastBatchMs_ = std::max(lastBatchMs_, parts_.loop.nowMs());
  ++parts_.counters.batches;
  const std::vector<Event> events = std::exchange(pending_, {});
  const std::vector<std::string> fresh = std::exchange(fresh_, {});
  if (watcher_) watcher_(lastBatchMs_, events);
  const std::vector<Action> actions = dispatcher_.onBatch(lastBatchMs_, events);

  // Ends and calls given up come before anything is taken on or sent; the sends keep their order.
  std::vector<const SendAction*> sends;
  for (const Action& action : actions) {
    std::visit(Visitor{[&](const SendAction& a) { sends.push_back(&a); },
                       [&](const RefuseAction& a) { end(a.id, Verdict::kBounced, a.comeBackMs); },
                       [&](const FailAction& a) { end(a.id, Verdict::kDead, 0); },
                       [&](const CallOffAction& a) { callOff(a.id); },
                       [&](const TimerAction& a) {
                         parts_.loop.after(a.spanMs, [this, token = a.token] { push(TimerEvent{token}); });
                       },
                       [](const WatchListAction&) {},  // the watch always runs
                       [&](const FreeLinksAction& a) { parts_.outbound.freeIdle(a.target); }},
               action);
  }
  for (const std::string& id : fresh) takeOn(id);
  std::vector<Plan> plans;
  for (const SendAction* send : sends) plan(*send, plans);
  for (Plan& plan : plans) carryOut(plan);
  if (!next_.taken.empty() || !next_.calls.empty()) {
    next_.position = parts_.journal.position();
    waiting_.push_back(std::exchange(next_, {}));
  }
  parts_.journal.sync();
  promise();
  compact();
}

void Exchange::unchargeRequest(const Open& open) {
  if (open.quota != QuotaDoor::kNoQuota)
    parts_.quotas->takeBack(open.quota, open.owed.cls, open.chargedMs, parts_.loop.nowMs());
}

void Exchange::unchargeCall(Open& open) {
  const double whenMs = std::exchange(open.callChargedMs, kNotCharged);
  if (whenMs != kNotCharged) parts_.quotas->calledInVain(open.quota, whenMs, parts_.loop.nowMs());
}

void Exchange::answer(Open& open, const Answer& answer) {
  if (const AnswerTo to = std::exchange(open.answer, nullptr)) to(answer);
}

// A request that the module did not end in the batch it came with is taken on: recorded first, then answered.
void Exchange::takeOn(const std::string& id) {
  const auto at = open_.find(id);
  if (at == open_.end()) return;
  if (parts_.journal.taken(at->second.owed)) {
    next_.taken.push_back(id);
    return;
  }
  // What cannot be recorded would not outlast the process: it is not taken on.
  ++parts_.counters.journalFaults;
  unchargeRequest(at->second);
  answer(at->second, {Answer::Kind::kFailFast, kComeBackMs});
  open_.erase(at);
  --held_;
  push(HangUpEvent{id});
}

void Exchange::end(const std::string& id, Verdict verdict, double waitMs) {
  const auto at = open_.find(id);
  if (at == open_.end() || at->second.owed.verdict != Verdict::kNone) return;
  --held_;
  if (at->second.answer) {
    ++parts_.counters.failFast;
    const bool dead = verdict == Verdict::kDead;
    if (!dead) unchargeRequest(at->second);
    answer(at->second, {dead ? Answer::Kind::kFailed : Answer::Kind::kFailFast, waitMs});
    return forget(at);
  }
  ++(verdict == Verdict::kDead ? parts_.counters.dead : parts_.counters.bounced);
  parts_.journal.verdict(at->second.owed, verdict, waitMs);
  parts_.notices.add(id, verdict, waitMs);
  dropPutOff(id);
}

std::size_t Exchange::batchOf(int kind) const {
  const auto k = static_cast<std::size_t>(std::max(0, kind));
  return k < settings_.kindBatch.size() ? static_cast<std::size_t>(std::max(1, settings_.kindBatch[k])) : 1;
}

void Exchange::plan(const SendAction& action, std::vector<Plan>& plans) {
  const auto at = open_.find(action.id);
  const EndpointEntry* endpoint = destinations().find(action.target);
  // Not taken on after all, or gone from the list. The module must hear of it, or the slot that it set aside
  // for the call would stay taken for good.
  if (at == open_.end() || !endpoint) return notSent(action.id, action.target);
  const OwedRequest& owed = at->second.owed;
  const double leftMs = std::max(1.0, at->second.notAfterMs - parts_.loop.nowMs());
  const double capMs = action.capMs > 0 ? std::min(action.capMs, leftMs) : leftMs;
  const bool toItsEnd = capMs > leftMs - 2 * std::max(1.0, settings_.resolutionMs);
  CallItem item{owed.id, owed.key, owed.body, capMs, toItsEnd};
  const std::size_t bytes =
      (item.id.size() + item.key.size()) * kMostEscaped + (item.body.size() + 2) / 3 * 4 + kItemFrame;
  const auto room = std::find_if(plans.begin(), plans.end(), [&](const Plan& plan) {
    return plan.uid == action.target && plan.items.size() < batchOf(endpoint->entry.kind) &&
           plan.bytes + bytes < kBodyLimit;  // no body may hold more, a bulk's either
  });
  Plan& plan = room != plans.end() ? *room : plans.emplace_back(Plan{action.target, 0, {}});
  plan.bytes += bytes;
  plan.items.push_back(std::move(item));
}

void Exchange::carryOut(Plan& plan) {
  const EndpointEntry& endpoint = *destinations().find(plan.uid);
  const Doubt doubt{plan.uid, endpoint.entry.zone, parts_.clock.wallMs(), 0};
  std::vector<CallItem> items;
  for (CallItem& item : plan.items) {
    // Recorded before the first byte: after a restart it must be known that this call may have run.
    if (!parts_.journal.attempt(open_.at(item.id).owed, doubt)) {
      ++parts_.counters.journalFaults;
      putOff({item.id, plan.uid, doubt.zone, parts_.loop.nowMs() + item.capMs});
      continue;
    }
    Open& open = open_.at(item.id);
    if (open.quota != QuotaDoor::kNoQuota) {
      open.callChargedMs = parts_.loop.nowMs();
      parts_.quotas->called(open.quota, open.callChargedMs);
    }
    items.push_back(std::move(item));
  }
  if (items.empty()) return;
  plan.items = std::move(items);
  next_.calls.push_back(std::move(plan));
}

void Exchange::putOff(Unrecorded send) {
  unrecorded_.push_back(std::move(send));
  if (recordTimer_ == Loop::kNoTimer)
    recordTimer_ = parts_.loop.after(parts_.journal.restMs(), [this] { recordAgain(); });
}

// One that can be recorded now is not sent all the same: the module chose its endpoint before the disk's
// trouble, and chooses anew.
void Exchange::recordAgain() {
  recordTimer_ = Loop::kNoTimer;
  for (Unrecorded& send : std::exchange(unrecorded_, {})) {
    OwedRequest& owed = open_.at(send.id).owed;
    if (send.untilMs <= parts_.loop.nowMs()) {
      notSent(send.id, send.uid);
    } else if (parts_.journal.attempt(owed, {send.uid, send.zone, parts_.clock.wallMs(), 0})) {
      neverLeft(send.id, send.uid);
    } else {
      putOff(std::move(send));
    }
  }
}

// Its request is over, and the module's slot free.
void Exchange::dropPutOff(const std::string& id) {
  const auto put = putOffOf(id);
  if (put == unrecorded_.end()) return;
  const std::string uid = put->uid;
  unrecorded_.erase(put);
  notSent(id, uid);
}

std::vector<Exchange::Unrecorded>::iterator Exchange::putOffOf(const std::string& id) {
  return std::find_if(unrecorded_.begin(), unrecorded_.end(),
                      [&](const Unrecorded& u) { return u.id == id; });
}

// Does what waited for the journal: at the level `process` at once, else when a sync has covered it.
void Exchange::promise() {
  while (!waiting_.empty() && waiting_.front().position <= parts_.journal.durable()) {
    Waiting ready = std::move(waiting_.front());
    waiting_.pop_front();
    for (const std::string& id : ready.taken) {
      const auto at = open_.find(id);
      if (at == open_.end() || !at->second.answer) continue;
      ++parts_.counters.taken;
      answer(at->second, {Answer::Kind::kTaken});
    }
    for (Plan& plan : ready.calls) callOut(plan);
  }
}

void Exchange::callOut(Plan& plan) {
  const EndpointEntry* endpoint = destinations().find(plan.uid);
  std::vector<CallItem> items;
  for (CallItem& item : plan.items) {
    const auto at = open_.find(item.id);
    // Over while it waited for the disk, or the endpoint has gone or drains by now: the call never left.
    const bool open = endpoint && endpoint->entry.state == RouteState::kRunning;
    if (at != open_.end() && at->second.owed.verdict == Verdict::kNone && open)
      items.push_back(std::move(item));
    else
      neverLeft(item.id, plan.uid);
  }
  if (!items.empty()) parts_.outbound.call(*endpoint, std::move(items));
}

// The module gives a call up. One that still waits for the disk never left.
void Exchange::callOff(const std::string& id) {
  for (Waiting& waiting : waiting_) {
    for (Plan& plan : waiting.calls) {
      const auto item =
          std::find_if(plan.items.begin(), plan.items.end(), [&](const CallItem& i) { return i.id == id; });
      if (item == plan.items.end()) continue;
      plan.items.erase(item);
      return neverLeft(id, plan.uid);
    }
  }
  const auto put = putOffOf(id);
  if (put == unrecorded_.end()) return parts_.outbound.abandon(id);
  put->untilMs = 0;  // told with the others: at once, the next attempt would soon be called off too
}

void Exchange::onSynced() {
  if (!parts_.journal.collect()) {
    // Nothing of what waited may be promised any more. It is refused at once; calls did not leave.
    ++parts_.counters.journalFaults;
    for (Waiting& failed : std::exchange(waiting_, {})) {
      for (const std::string& id : failed.taken) {
        const auto at = open_.find(id);
        if (at == open_.end() || !at->second.answer) continue;
        unchargeRequest(at->second);
        answer(at->second, {Answer::Kind::kFailFast, kComeBackMs});
        forget(at);
        --held_;
        push(HangUpEvent{id});
      }
      for (const Plan& plan : failed.calls)
        for (const CallItem& item : plan.items) neverLeft(item.id, plan.uid);
    }
  }
  promise();
  compact();
}

// An endpoint told to wait: its module may not have known when it decided. Where the limit is its
// destination's, the same holds for its other endpoints.
void Exchange::recall(const std::string& uid) {
  const EndpointEntry* told = destinations().find(uid);
  takeBack([&](const std::string& other) {
    if (other == uid || !told) return other == uid;
    const EndpointEntry* entry = destinations().find(other);
    const auto kind = static_cast<std::size_t>(std::max(0, told->entry.kind));
    const bool apart = kind < settings_.kindApart.size() && settings_.kindApart[kind];
    return !apart && entry && entry->entry.destination == told->entry.destination;
  });
}

// It may wait for the disk or for a slot.
void Exchange::takeBack(const std::function<bool(const std::string& uid)>& bound) {
  for (Waiting& waiting : waiting_)
    for (Plan& plan : waiting.calls)
      if (bound(plan.uid))
        for (const CallItem& item : std::exchange(plan.items, {})) neverLeft(item.id, plan.uid);
  parts_.outbound.recall(bound);
}

// A recorded attempt whose first byte was never written.
void Exchange::neverLeft(const std::string& id, const std::string& uid) {
  const auto at = open_.find(id);
  if (at != open_.end()) {
    parts_.journal.harmless(at->second.owed);
    unchargeCall(at->second);
  }
  const int attempt = at == open_.end() ? 0 : at->second.owed.attempts - 1;
  push(OutcomeEvent{id, attempt, uid, Outcome::kNop, at == open_.end(), 0, {}});
}

// An attempt of the module's that never left: it counts, and is proven harmless.
void Exchange::notSent(const std::string& id, const std::string& uid) {
  const auto at = open_.find(id);
  const int attempt = at == open_.end() ? 0 : at->second.owed.attempts++;  // only first attempts are let go
  push(OutcomeEvent{id, attempt, uid, Outcome::kNop, at == open_.end(), 0, {}});
}

// Also while nothing comes in: a full journal must find room without any traffic.
void Exchange::compact() {
  parts_.loop.cancel(sliceTimer_);
  if (!parts_.journal.wantsSlice()) return;
  const std::uint64_t released = parts_.journal.figures().released;
  parts_.journal.slice();
  parts_.counters.compactions += parts_.journal.figures().released - released;
  if (parts_.journal.wantsSlice()) sliceTimer_ = parts_.loop.after(kSliceMs, [this] { compact(); });
}

}  // namespace myrtleloft
