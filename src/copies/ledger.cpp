#include "copies/ledger.h"

#include <algorithm>
#include <utility>

#include "copies/planted.h"

namespace myrtleloft {

Ledger::Ledger(LedgerId id, LedgerState state, std::vector<PendingRequest> requests, double leaseMs)
    : id_(std::move(id)), state_(std::move(state)), leaseMs_(leaseMs), desired_(state_.ensemble) {
  for (PendingRequest& pendingRequest : requests) pendingTable_.put(std::move(pendingRequest));
}

std::uint64_t Ledger::put(const Record& record) {
  std::visit(
      [&](const auto& value) {
        if constexpr (requires { value.pending; })
          encode(value.pending, unsent_.emplace_back());
        else
          encode(value, unsent_.emplace_back());
      },
      record);
  pendingTable_.apply(record);
  return ++lastPosition_;
}

void Ledger::flush(double nowMs, ReplicationStep& out) {
  if (unsent_.empty()) return;
  for (auto& [replica, stream] : streams_) stream.append(unsent_, lastPosition_, nowMs, out);
  unsent_.clear();
  updateDurablePosition();
}

template <typename Predicate>
bool Ledger::allReplicas(Predicate predicate) const {
  const auto all = [&](const std::vector<RelayId>& ensemble) {
    if (isInjected(InjectedBug::kOneAckSuffices) && !ensemble.empty())
      return std::any_of(ensemble.begin(), ensemble.end(), [&](const RelayId& relayId) {
        const auto at = streams_.find(relayId);
        return at != streams_.end() && predicate(at->second);
      });
    return std::all_of(ensemble.begin(), ensemble.end(), [&](const RelayId& relayId) {
      const auto at = streams_.find(relayId);
      return at != streams_.end() && predicate(at->second);
    });
  };
  return all(state_.ensemble) && (!proposed_ || all(proposed_->ensemble));
}

void Ledger::updateDurablePosition() {
  std::uint64_t replicatedUpTo = lastPosition_ - (unsent_.empty() ? 0 : unsent_.size());
  if (!isInjected(InjectedBug::kDurableWithoutReplicas))
    if (!allReplicas([&](const Stream& s) {
          replicatedUpTo = std::min(replicatedUpTo, s.position());
          return s.position() > 0;
        }))
      return;
  durablePosition_ = std::max(durablePosition_, replicatedUpTo);
}

bool Ledger::mayStartCall(std::uint64_t position, double nowMs) const {
  if (durablePosition_ == 0 || durablePosition_ < position) return false;
  return isInjected(InjectedBug::kCallsAfterLease) ||
         allReplicas([&](const Stream& s) { return nowMs < s.ackedSentMs() + leaseMs_; });
}

bool Ledger::isTracked(const RelayId& replica) const {
  const auto in = [&](const std::vector<RelayId>& list) {
    return std::find(list.begin(), list.end(), replica) != list.end();
  };
  return in(state_.ensemble) || in(desired_) || (proposed_ && in(proposed_->ensemble));
}

std::optional<LedgerState> Ledger::nextChange(double nowMs) {
  if (proposed_) return std::nullopt;
  auto desired = desired_, current = state_.ensemble;
  std::sort(desired.begin(), desired.end());
  std::sort(current.begin(), current.end());
  if (desired == current) return std::nullopt;
  for (const RelayId& relayId : desired_) {
    const auto at = streams_.find(relayId);
    if (at == streams_.end() || at->second.position() == 0 || at->second.position() < durablePosition_ ||
        nowMs >= at->second.ackedSentMs() + leaseMs_)
      return std::nullopt;
  }
  proposed_ = state_;
  ++proposed_->epoch;
  proposed_->ensemble = desired_;
  return proposed_;
}

void Ledger::applyDecision(const LedgerState& state) {
  proposed_.reset();
  state_ = state;
  updateDurablePosition();
}

void Ledger::onCopyAck(const std::string& from, const CopyAck& ack) {
  const auto at = streams_.find({from, ack.life});
  if (at != streams_.end() && at->second.onCopyAck(ack)) updateDurablePosition();
}

bool Ledger::isFull(const RelayId& replica) const {
  const auto at = streams_.find(replica);
  return at != streams_.end() && at->second.isFull();
}

std::size_t Ledger::completeReplicas() const {
  return static_cast<std::size_t>(
      std::count_if(streams_.begin(), streams_.end(), [](const auto& s) { return s.second.position() > 0; }));
}

void Ledger::onTick(double nowMs, const std::function<double(const PendingRequest&)>& priorityOf,
                    std::size_t& budget, ReplicationStep& out) {
  flush(nowMs, out);
  std::erase_if(streams_, [&](const auto& s) { return !isTracked(s.first) || s.second.isBroken(); });
  for (const auto* ensemble : {&state_.ensemble, &desired_})
    for (const RelayId& relayId : *ensemble) {
      if (streams_.contains(relayId)) continue;
      std::vector<std::pair<double, std::string>> order;
      for (const auto& [id, pendingRequest] : pendingTable_.requests())
        order.emplace_back(-priorityOf(pendingRequest), id);
      std::sort(order.begin(), order.end());
      std::vector<std::string> ids;
      for (auto& [priority, id] : order) ids.push_back(std::move(id));
      streams_.emplace(relayId, Stream(id_, state_.epoch, ++lastStreamNumber_, relayId, std::move(ids)));
    }
  for (auto& [replica, stream] : streams_) {
    // An empty table is sent as one message, which costs no budget.
    while (stream.catchingUp() && (budget > 0 || pendingTable_.requests().empty()))
      budget -= std::min(budget, stream.catchUp(pendingTable_, lastPosition_, nowMs, out));
    if (!stream.catchingUp() && (!pendingTable_.requests().empty() || desired_ != state_.ensemble) &&
        nowMs - stream.lastSentMs() >= leaseMs_ / 4)
      stream.append({}, lastPosition_, nowMs, out);
    stream.onTick(nowMs, out);
  }
  updateDurablePosition();
}

}  // namespace myrtleloft
