#include "copies/copies.h"

#include <algorithm>
#include <utility>

#include "copies/planted.h"
#include "copies/serialize.h"

namespace myrtleloft {

namespace {
constexpr char kOwnKey[] = "own/";
}

Replication::Replication(ReplicationSetup setup, const StoredEntries& stored,
                         std::map<LedgerId, std::vector<PendingRequest>> recovered, double nowMs,
                         ReplicationStep& out)
    : setup_(std::move(setup)),
      acceptor_({setup_.name, setup_.self.life, setup_.others}, stored, out),
      replica_(setup_.self.life, setup_.capacityBytes, stored),
      shards_(setup_.shards),
      lastTickMs_(nowMs) {
  relays_ = setup_.others;
  relays_.push_back(setup_.name);
  std::sort(relays_.begin(), relays_.end());
  for (auto at = stored.lower_bound(kOwnKey); at != stored.end() && at->first.starts_with(kOwnKey); ++at) {
    LedgerId id;
    if (!read(std::string_view(at->first).substr(sizeof kOwnKey - 1), id)) continue;
    ManagedLedger& managed = beginLedger(id, Stage::kReadingRegister);
    managed.requests = std::move(recovered[id]);
    managed.proposer.readCurrent(nowMs, random(), out);
  }
  deliverToSelf(nowMs, out);
}

std::uint64_t Replication::random() {  // SplitMix64
  std::uint64_t z = (setup_.seed += 0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

Replication::ManagedLedger& Replication::beginLedger(const LedgerId& id, Stage stage) {
  ManagedLedger& managed = ledgers_.insert_or_assign(id, ManagedLedger(Proposer(id, relays_))).first->second;
  managed.stage = stage;
  return managed;
}

void Replication::propose(ManagedLedger& managed, LedgerState current, LedgerState desired, double nowMs,
                          ReplicationStep& out) {
  managed.proposedState = desired;
  managed.proposer.change(std::move(current), std::move(desired), nowMs, random(), out);
}

void Replication::becomeOwner(const LedgerId& id, ManagedLedger& managed, const LedgerState& state,
                              std::vector<PendingRequest> requests) {
  managed.stage = Stage::kOwned;
  managed.takeover.reset();
  managed.ledger.emplace(id, state, std::move(requests), setup_.leaseMs);
}

void Replication::abandon(const LedgerId& id, ManagedLedger& managed, ReplicationStep& out) {
  managed.stage = Stage::kLost;
  managed.ledger.reset();
  managed.takeover.reset();
  managed.requests.clear();
  out.stores.push_back({kOwnKey + bytesOf(id), {}});
  out.events.push_back(
      {ReplicationEventKind::kLost, id, managed.proposer.decided().value_or(LedgerState{}), 0, 0, {}});
  for (auto& shard : shards_)
    if (shard == id) shard.reset();
}

void Replication::onRequestsJournaled(const LedgerId& ledger, ReplicationStep& out) {
  out.stores.push_back({kOwnKey + bytesOf(ledger), "1"});
}

void Replication::onDecided(const LedgerId& id, ManagedLedger& managed, double nowMs, ReplicationStep& out) {
  const LedgerState state = *managed.proposer.decided();
  const bool decidedAsProposed = state == managed.proposedState;
  switch (managed.stage) {
    case Stage::kOpening:
      if (!decidedAsProposed) return abandon(id, managed, out);
      becomeOwner(id, managed, state, {});
      onRequestsJournaled(id, out);
      break;
    case Stage::kReadingRegister:
    case Stage::kResuming:
      if (managed.stage == Stage::kResuming && decidedAsProposed) {
        auto requests = std::move(managed.requests);
        becomeOwner(id, managed, state, requests);
        out.events.push_back({ReplicationEventKind::kTakenOver, id, state, 0, nowMs, std::move(requests)});
      } else if (state.epoch == 0 || isOwnedHere(state)) {
        LedgerState desired = state;
        ++desired.epoch;
        desired.owner = setup_.name;
        desired.start = setup_.self;
        if (state.epoch == 0) desired.ensemble = replicasFor(id, nullptr);
        managed.stage = Stage::kResuming;
        return propose(managed, state, std::move(desired), nowMs, out);
      } else {
        return abandon(id, managed, out);
      }
      break;
    case Stage::kAcquiring:
      if (!decidedAsProposed) {
        ledgers_.erase(id);
        return;
      }
      managed.stage = Stage::kFencing;
      managed.takeover.emplace(id, state);
      managed.takeover->onTick(nowMs, out);
      break;
    case Stage::kOwned:
      if (state.owner != setup_.name || state.start != setup_.self) return abandon(id, managed, out);
      managed.ledger->applyDecision(state);
      break;
    case Stage::kFencing:
    case Stage::kLost:
      return;
  }
  out.events.push_back({ReplicationEventKind::kOwned, id, state, 0, 0, {}});
}

void Replication::onFenceResponse(const std::string& from, const FenceResponse& response, double nowMs,
                                  ReplicationStep& out) {
  const auto at = ledgers_.find(response.ledger);
  if (at == ledgers_.end() || !at->second.takeover) return;
  ManagedLedger& managed = at->second;
  managed.takeover->onFenceResponse(from, response, nowMs, out);
  if (managed.takeover->superseded()) {
    ledgers_.erase(at);  // a later owner has taken over, as the register will show
    return;
  }
  if (!managed.takeover->done()) return;
  const LedgerState state = managed.takeover->state();
  // Measured by the local clock from the arrival of the fence response; the fence was set earlier.
  const double waitMs =
      isInjected(InjectedBug::kNewOwnerDoesNotWait) ? 0 : setup_.leaseMs * (1 + 2 * setup_.clockDriftShare);
  const double fromMs = managed.takeover->fencedMs() + waitMs;
  auto requests = managed.takeover->requests();
  becomeOwner(response.ledger, managed, state, requests);
  out.events.push_back(
      {ReplicationEventKind::kTakenOver, response.ledger, state, 0, fromMs, std::move(requests)});
}

bool Replication::onMessage(const std::string& from, FleetKind kind, std::string_view payload, double nowMs,
                            ReplicationStep& out) {
  if (!handle(from, kind, payload, nowMs, out)) return false;
  deliverToSelf(nowMs, out);
  return true;
}

bool Replication::handle(const std::string& from, FleetKind kind, std::string_view payload, double nowMs,
                         ReplicationStep& out) {
  switch (kind) {
    case FleetKind::kVoteAsk: {
      AcceptorRequest request;
      if (!decode(payload, request)) return false;
      if (auto response = acceptor_.onRequest(from, request, out))
        out.sends.push_back({from, FleetKind::kVote, encode(*response)});
      return true;
    }
    case FleetKind::kVote: {
      AcceptorResponse response;
      if (!decode(payload, response)) return false;
      if (response.phase == RequestPhase::kJoin) {
        acceptor_.onResponse(from, response, out);
        return true;
      }
      const auto at = ledgers_.find(response.ledger);
      if (at == ledgers_.end() || !at->second.proposer.busy()) return true;
      at->second.proposer.onResponse(from, response, nowMs, random(), out);
      if (!at->second.proposer.busy()) onDecided(response.ledger, at->second, nowMs, out);
      return true;
    }
    case FleetKind::kCopy: {
      CopyRequest copy;
      if (!decode(payload, copy)) return false;
      out.sends.push_back({from, FleetKind::kHeld, encode(replica_.onCopy(copy, out))});
      return true;
    }
    case FleetKind::kHeld: {
      CopyAck ack;
      if (!decode(payload, ack)) return false;
      const auto at = ledgers_.find(ack.ledger);
      if (at == ledgers_.end() || !at->second.ledger) return true;
      ManagedLedger& managed = at->second;
      if (ack.outcome == CopyOutcome::kRejectedByFence) {
        if (ack.fenced > managed.ledger->state().epoch && !managed.proposer.busy())
          managed.proposer.readCurrent(nowMs, random(), out);
        return true;
      }
      managed.ledger->onCopyAck(from, ack);
      reportDurable(ack.ledger, managed, out);
      return true;
    }
    case FleetKind::kFence: {
      FenceRequest fence;
      if (!decode(payload, fence)) return false;
      out.sends.push_back({from, FleetKind::kFenced, encode(replica_.onFence(fence, out))});
      return true;
    }
    case FleetKind::kFenced: {
      FenceResponse response;
      if (!decode(payload, response)) return false;
      onFenceResponse(from, response, nowMs, out);
      return true;
    }
    default:
      return false;
  }
}

void Replication::deliverToSelf(double nowMs, ReplicationStep& out) {
  for (bool again = true; again;) {
    again = false;
    std::vector<OutgoingMessage> sends;
    sends.swap(out.sends);
    for (OutgoingMessage& send : sends) {
      if (send.to != setup_.name) {
        out.sends.push_back(std::move(send));
        continue;
      }
      handle(setup_.name, send.kind, send.payload, nowMs, out);
      again = true;
    }
  }
}

}  // namespace myrtleloft
