#include "tests/copies_site.h"

#include <utility>

#include "copies/planted.h"

namespace myrtleloft {

namespace {
constexpr double kDeadAfterMs = 400;
}

void SimulatedRelay::start(double realMs) {
  if (setup_.self.life == 0) setup_.self.life = (std::uint64_t{world_.random()} << 32) | world_.random() | 1;
  ++setup_.self.start;
  setup_.seed = world_.random();
  std::map<LedgerId, std::vector<PendingRequest>> recovered;
  for (const auto& [id, pendingTable] : journal_)
    for (const auto& [request, pendingRequest] : pendingTable.requests())
      recovered[id].push_back(pendingRequest);
  ReplicationStep step;
  replication_.emplace(setup_, folder_, std::move(recovered), clock(realMs), step);
  execute(realMs, step);
}

void SimulatedRelay::crash(bool losesStateFolder) {
  replication_.reset();
  requests_.clear();
  pendingCompletions_.clear();
  lastHeartbeats_.clear();
  writesUntilCrash_.reset();
  if (!losesStateFolder) return;
  folder_.clear();
  journal_.clear();
  setup_.self = {};
}

void SimulatedRelay::execute(double realMs, ReplicationStep& step) {
  for (const StoreWrite& store : step.stores) {
    if (writesUntilCrash_ && (*writesUntilCrash_)-- == 0) return crash(false);
    if (store.bytes.empty())
      folder_.erase(store.key);
    else
      folder_[store.key] = store.bytes;
  }
  for (OutgoingMessage& send : step.sends) world_.send(name(), std::move(send));
  for (ReplicationEvent& event : step.events)
    if (replication_) onEvent(realMs, event);
}

void SimulatedRelay::onEvent(double realMs, ReplicationEvent& event) {
  switch (event.kind) {
    case ReplicationEventKind::kOwned:
      world_.checker->owned(event.ledger, event.state);
      break;
    case ReplicationEventKind::kLost:
      std::erase_if(requests_, [&](const auto& item) { return item.second.ledger == event.ledger; });
      journal_.erase(event.ledger);
      pendingCompletions_.erase(event.ledger);
      break;
    case ReplicationEventKind::kTakenOver: {
      world_.checker->takenOver(event.ledger, event.state.epoch, event.requests, true);
      std::erase_if(requests_, [&](const auto& item) { return item.second.ledger == event.ledger; });
      PendingTable& table = journal_[event.ledger] = {};
      for (PendingRequest& pendingRequest : event.requests) {
        table.put(pendingRequest);
        requests_[pendingRequest.id] = Item{event.ledger, Phase::kPending, 0, event.fromMs, pendingRequest};
      }
      ReplicationStep step;
      replication_->onRequestsJournaled(event.ledger, step);
      execute(realMs, step);
      break;
    }
    case ReplicationEventKind::kDurable: {
      for (auto& [id, item] : requests_) {
        if (!(item.ledger == event.ledger) || item.phase != Phase::kReplicating ||
            item.position > event.position)
          continue;
        item.phase = Phase::kPending;
        world_.checker->durable(event.ledger, event.state.epoch, id, nonIdempotent(id));
      }
      std::erase_if(pendingCompletions_[event.ledger], [&](const auto& completion) {
        if (completion.first > event.position) return false;
        world_.checker->completionDurable(completion.second);
        return true;
      });
      break;
    }
  }
}

void SimulatedRelay::tick(double realMs) {
  if (!up()) return;
  for (const std::string& other : setup_.others) {
    const LastHeartbeat& lastHeartbeat = lastHeartbeats_[other];
    const MemberState standing = lastHeartbeat.atMs < 0                           ? MemberState::kUnknown
                                 : realMs - lastHeartbeat.atMs > kDeadAfterMs     ? MemberState::kDead
                                 : realMs - lastHeartbeat.atMs > kDeadAfterMs / 2 ? MemberState::kSuspect
                                                                                  : MemberState::kAlive;
    replication_->onMember({other, standing, lastHeartbeat.incarnation, other, 1});
  }
  ReplicationStep step;
  replication_->onTick(clock(realMs), step);
  execute(realMs, step);
  std::vector<std::string> ids;
  for (const auto& [id, item] : requests_) ids.push_back(id);
  for (const std::string& id : ids) advance(realMs, id);
}

void SimulatedRelay::deliver(double realMs, const std::string& from, FleetKind kind,
                             const std::string& payload) {
  if (!up()) return;
  ReplicationStep step;
  if (!replication_->onMessage(from, kind, payload, clock(realMs), step))
    world_.checker->reportViolation("a valid message was rejected");
  execute(realMs, step);
}

void SimulatedRelay::onHeartbeat(double realMs, const std::string& from, Incarnation incarnation) {
  if (!up()) return;
  lastHeartbeats_[from] = {realMs, incarnation};
}

void SimulatedRelay::request(double realMs, const std::string& id) {
  if (!up()) return;
  PendingRequest pendingRequest;
  pendingRequest.id = id;
  ReplicationStep step;
  const auto put = replication_->accept(pendingRequest, clock(realMs), step);
  if (!put) return;
  journal_[put->ledger].put(pendingRequest);
  requests_[id] = Item{put->ledger, Phase::kReplicating, put->position, 0, pendingRequest};
  execute(realMs, step);
}

std::uint64_t SimulatedRelay::record(double realMs, Item& item, const Record& record, bool flushNow) {
  journal_[item.ledger].apply(record);
  ReplicationStep step;
  const auto position = replication_->put(item.ledger, record, flushNow, clock(realMs), step);
  const std::uint64_t at = position.value_or(~std::uint64_t{0});
  item.position = at;
  execute(realMs, step);
  return at;
}

void SimulatedRelay::advance(double realMs, const std::string& id) {
  const auto at = requests_.find(id);
  if (!up() || at == requests_.end()) return;
  Item& item = at->second;
  const double nowMs = clock(realMs);
  if (item.phase == Phase::kPending && nowMs >= item.fromMs) {
    if (nonIdempotent(id) && !item.pendingRequest.ambiguousAttempts.empty()) {
      if (!replication_->mayStartCall(item.ledger, 1, nowMs)) return;
      world_.checker->reportedFailed(replication_->owned(item.ledger)->epoch, id);
      finish(realMs, id);
      return;
    }
    item.phase = Phase::kAttempting;
    const RecordedAttempt attempt{"e", 0, realMs, item.pendingRequest.attempts++};
    item.pendingRequest.ambiguousAttempts.push_back(attempt);
    const bool mustBeDurable = nonIdempotent(id);
    record(realMs, item, AttemptRecord{id, attempt}, mustBeDurable);
    if (!up()) return;
    if (const auto again = requests_.find(id); again != requests_.end() && !mustBeDurable)
      again->second.position = 1;
  } else if (item.phase == Phase::kAttempting &&
             replication_->mayStartCall(item.ledger, item.position, nowMs)) {
    item.phase = Phase::kSending;
    const Incarnation self = setup_.self;
    world_.schedule(name(), world_.random() % 8, [this, id, self]() {
      if (up() && self == setup_.self) firstByte(world_.checker->nowMs, id);
    });
  }
}

void SimulatedRelay::firstByte(double realMs, const std::string& id) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.phase != Phase::kSending) return;
  Item& item = at->second;
  const LedgerState* state = replication_->owned(item.ledger);
  if (!state || !replication_->mayStartCall(item.ledger, item.position, clock(realMs))) {
    item.phase = Phase::kAttempting;
    return;
  }
  item.phase = Phase::kInFlight;
  world_.checker->callStarted(state->epoch, id, nonIdempotent(id));
  const bool ok = world_.random() % 4 != 0;
  const Incarnation self = setup_.self;
  world_.schedule(name(), 5 + world_.random() % 60, [this, id, ok, self]() {
    if (up() && self == setup_.self) onOutcome(world_.checker->nowMs, id, ok);
  });
}

void SimulatedRelay::onOutcome(double realMs, const std::string& id, bool ok) {
  const auto at = requests_.find(id);
  if (at == requests_.end() || at->second.phase != Phase::kInFlight) return;
  if (ok) {
    world_.checker->delivered(id);
    return finish(realMs, id);
  }
  at->second.phase = Phase::kPending;  // ambiguous: the call may have been executed
}

void SimulatedRelay::finish(double realMs, const std::string& id) {
  Item item = requests_.at(id);
  const std::uint64_t at = record(realMs, item, CompletedRecord{id}, false);
  pendingCompletions_[item.ledger].emplace_back(at, id);
  requests_.erase(id);
}

bool SimulatedRelay::settled() const {
  if (!up() || !replication_->acceptor().isActive() || replication_->openShardCount() < setup_.shards)
    return false;
  return replication_->settled();
}

}  // namespace myrtleloft
