// The part of class Replication for requests and ticks: opens a ledger for each shard, replaces failed
// replicas and takes over ledgers.
#include <algorithm>
#include <utility>

#include "copies/copies.h"
#include "copies/planted.h"

namespace myrtleloft {

std::optional<Replication::RecordPosition> Replication::accept(PendingRequest request, double nowMs,
                                                               ReplicationStep& out) {
  const auto& shard = shards_[shardOf(request.id, setup_.shards)];
  if (!shard) return std::nullopt;
  ManagedLedger& managed = ledgers_.at(*shard);
  if (!managed.ledger || managed.ledger->durablePosition() == 0) return std::nullopt;
  if (managed.ledger->state().ensemble.size() < setup_.replicaCount && !setup_.allowFewerReplicas)
    return std::nullopt;
  const LedgerId id = *shard;
  const auto position = put(id, AcceptedRecord{std::move(request)}, true, nowMs, out);
  return RecordPosition{id, *position};
}

std::optional<std::uint64_t> Replication::put(const LedgerId& ledger, const Record& record, bool flushNow,
                                              double nowMs, ReplicationStep& out) {
  const auto at = ledgers_.find(ledger);
  if (at == ledgers_.end() || !at->second.ledger) return std::nullopt;
  const std::uint64_t position = at->second.ledger->put(record);
  if (flushNow) {
    at->second.ledger->flush(nowMs, out);
    reportDurable(ledger, at->second, out);
    deliverToSelf(nowMs, out);
  }
  return position;
}

bool Replication::mayStartCall(const LedgerId& ledger, std::uint64_t position, double nowMs) const {
  const auto at = ledgers_.find(ledger);
  return at != ledgers_.end() && at->second.ledger && at->second.ledger->mayStartCall(position, nowMs);
}

const LedgerState* Replication::owned(const LedgerId& ledger) const {
  const auto at = ledgers_.find(ledger);
  return at != ledgers_.end() && at->second.ledger ? &at->second.ledger->state() : nullptr;
}

std::size_t Replication::openShardCount() const {
  return static_cast<std::size_t>(std::count_if(shards_.begin(), shards_.end(), [&](const auto& shard) {
    return shard && ledgers_.at(*shard).ledger && ledgers_.at(*shard).ledger->durablePosition() > 0;
  }));
}

bool Replication::settled() const {
  return std::all_of(ledgers_.begin(), ledgers_.end(), [&](const auto& at) {
    const ManagedLedger& managed = at.second;
    if (managed.stage == Stage::kLost) return true;
    return managed.stage == Stage::kOwned && !managed.proposer.busy() &&
           managed.ledger->durablePosition() > 0 &&
           managed.ledger->state().ensemble.size() >= setup_.replicaCount &&
           managed.ledger->completeReplicas() >= setup_.replicaCount;
  });
}

void Replication::reportDurable(const LedgerId& id, ManagedLedger& managed, ReplicationStep& out) {
  const std::uint64_t durablePosition = managed.ledger->durablePosition();
  if (durablePosition <= managed.reportedPosition) return;
  managed.reportedPosition = durablePosition;
  out.events.push_back({ReplicationEventKind::kDurable, id, managed.ledger->state(), durablePosition, 0, {}});
}

void Replication::onTick(double nowMs, ReplicationStep& out) {
  acceptor_.onTick(nowMs, out);
  std::vector<LedgerId> ids;
  for (const auto& [id, managed] : ledgers_) ids.push_back(id);
  for (const LedgerId& id : ids) {
    ManagedLedger& managed = ledgers_.at(id);
    managed.proposer.onTick(nowMs, random(), out);
    if (managed.takeover) managed.takeover->onTick(nowMs, out);
  }
  tickLedgers(nowMs, out);
  openShards(nowMs, out);
  takeOver(nowMs, out);
  deliverToSelf(nowMs, out);
}

void Replication::tickLedgers(double nowMs, ReplicationStep& out) {
  // The byte budget for copying tables is capped, so that a tick after a long pause does not send a burst.
  copyBudget_ = std::min((nowMs - lastTickMs_) * setup_.bytesPerMs + copyBudget_, 8.0 * kMessageBytes);
  lastTickMs_ = nowMs;
  auto budget = static_cast<std::size_t>(std::max(0.0, copyBudget_));
  const std::size_t before = budget;
  std::vector<std::pair<std::size_t, LedgerId>> order;  // fewest complete replicas first
  for (const auto& [id, managed] : ledgers_)
    if (managed.ledger) order.emplace_back(managed.ledger->completeReplicas(), id);
  std::sort(order.begin(), order.end());
  for (const auto& [completeReplicas, id] : order) {
    ManagedLedger& managed = ledgers_.at(id);
    managed.ledger->setDesiredEnsemble(replicasFor(id, &*managed.ledger));
    managed.ledger->onTick(nowMs, setup_.priorityOf, budget, out);
    if (!managed.proposer.busy())
      if (auto desired = managed.ledger->nextChange(nowMs))
        propose(managed, managed.ledger->state(), *desired, nowMs, out);
    reportDurable(id, managed, out);
  }
  copyBudget_ -= static_cast<double>(before - budget);
}

bool Replication::isUsable(const RelayId& replica) const {
  const auto at = members_.find(replica.name);
  if (at == members_.end()) return true;  // unknown since this relay started
  const ReplicationMember& member = at->second;
  return member.standing != MemberState::kDead &&
         (member.incarnation.life == 0 || member.incarnation.life == replica.life);
}

std::vector<RelayId> Replication::replicasFor(const LedgerId& id, const Ledger* ledger) const {
  std::vector<RelayId> chosen, full;
  if (ledger)
    for (const RelayId& relayId : ledger->state().ensemble)
      if (relayId.name != setup_.name && isUsable(relayId))
        (ledger->isFull(relayId) ? full : chosen).push_back(relayId);
  std::vector<Candidate> candidates;
  for (const auto& [name, member] : members_) {
    const RelayId relay{name, member.incarnation.life};
    const auto in = [&](const std::vector<RelayId>& list) {
      return std::find(list.begin(), list.end(), relay) != list.end();
    };
    if (member.standing != MemberState::kAlive || relay.life == 0 || in(chosen) || in(full)) continue;
    if (ledger && ledger->isFull(relay)) continue;
    candidates.push_back({relay, member.building, member.freeCapacity});
  }
  const std::size_t missing = setup_.replicaCount - std::min(setup_.replicaCount, chosen.size());
  for (RelayId& relayId : chooseReplicas(id, setup_.building, std::move(candidates), missing))
    chosen.push_back(std::move(relayId));
  // A full replica still stores earlier records, so it is kept until another is available.
  for (RelayId& relayId : full)
    if (chosen.size() < setup_.replicaCount) chosen.push_back(std::move(relayId));
  // Keep the current ensemble rather than have no replica, with which a failure of this relay would lose the
  // ledger.
  if (chosen.empty() && ledger) return ledger->state().ensemble;
  return chosen;
}

void Replication::openShards(double nowMs, ReplicationStep& out) {
  for (std::uint32_t shard = 0; shard < setup_.shards; ++shard) {
    if (shards_[shard]) continue;
    const LedgerId id{setup_.name, setup_.self, shard + setup_.shards * abandonedLedgers_};
    LedgerState first{1, setup_.name, setup_.self, replicasFor(id, nullptr), true};
    if (first.ensemble.empty() || (first.ensemble.size() < setup_.replicaCount && !setup_.allowFewerReplicas))
      continue;
    if (ledgers_.contains(id)) {
      ++abandonedLedgers_;  // this id belongs to an abandoned ledger; use the next one
      continue;
    }
    shards_[shard] = id;
    propose(beginLedger(id, Stage::kOpening), {}, std::move(first), nowMs, out);
  }
}

bool Replication::ownerIsGone(const LedgerState& state) const {
  if (state.owner == setup_.name) return state.start != setup_.self;
  const auto at = members_.find(state.owner);
  if (at == members_.end()) return false;
  const ReplicationMember& member = at->second;
  return member.standing == MemberState::kDead ||
         (member.standing == MemberState::kAlive && member.incarnation.life != 0 &&
          member.incarnation.life != state.start.life);
}

void Replication::takeOver(double nowMs, ReplicationStep& out) {
  for (const auto& [id, configRegister] : acceptor_.registers()) {
    if (!ownerIsGone(configRegister.value) || !configRegister.value.open ||
        configRegister.value.ensemble.empty()) {
      ownerGoneSinceMs_.erase(id);
      continue;
    }
    if (const auto at = ledgers_.find(id); at != ledgers_.end() && at->second.stage != Stage::kLost) continue;
    const double since = ownerGoneSinceMs_.try_emplace(id, nowMs).first->second;
    std::vector<RelayId> living{{setup_.name, setup_.self.life}};
    for (const auto& [name, member] : members_)
      if (member.standing == MemberState::kAlive) living.push_back({name, member.incarnation.life});
    const auto order = takeoverOrder(id, configRegister.value.ensemble, std::move(living));
    const auto rank = std::find(order.begin(), order.end(), setup_.name) - order.begin();
    if (nowMs - since < static_cast<double>(rank) * setup_.takeoverStepMs) continue;
    ownerGoneSinceMs_.erase(id);
    LedgerState desired = configRegister.value;
    ++desired.epoch;
    desired.owner = setup_.name;
    desired.start = setup_.self;
    propose(beginLedger(id, Stage::kAcquiring), configRegister.value, std::move(desired), nowMs, out);
  }
}

}  // namespace myrtleloft
