#include "copies/proposer.h"

#include <algorithm>
#include <utility>

#include "copies/planted.h"

namespace myrtleloft {

void Proposer::change(LedgerState current, LedgerState desired, double nowMs, std::uint64_t random,
                      ReplicationStep& out) {
  expected_ = std::move(current);
  desired_ = std::move(desired);
  decided_.reset();
  prepare(nowMs, random, out);
}

void Proposer::prepare(double nowMs, std::uint64_t random, ReplicationStep& out) {
  phase_ = Phase::kPreparing;
  ballot_ = {++highestRound_, random};
  backingOff_ = false;
  roundDeadlineMs_ = nowMs + kRoundTimeoutMs;
  proposedState_ = {};
  broadcast(RequestPhase::kPrepare, out);
}

void Proposer::broadcast(RequestPhase phase, ReplicationStep& out) {
  responses_.clear();
  AcceptorRequest request;
  request.phase = phase;
  request.ledger = ledger_;
  request.ballot = ballot_;
  request.value = proposedState_;
  for (const std::string& name : acceptors_)
    out.sends.push_back({name, FleetKind::kVoteAsk, encode(request)});
}

bool Proposer::hasQuorum() const {
  const auto isStale = [&](const auto& candidate) {
    return std::any_of(responses_.begin(), responses_.end(), [&](const auto& other) {
      return std::any_of(
          other.second.known.begin(), other.second.known.end(), [&](const KnownGeneration& entry) {
            return entry.name == candidate.first && entry.generation > candidate.second.generation &&
                   entry.generation.life != candidate.second.generation.life;
          });
    });
  };
  const auto currentResponses =
      std::count_if(responses_.begin(), responses_.end(), [&](const auto& response) {
        return isInjected(InjectedBug::kStaleGenerationsCount) || !isStale(response);
      });
  return static_cast<std::size_t>(currentResponses) >= acceptors_.size() / 2 + 1;
}

void Proposer::onResponse(const std::string& from, const AcceptorResponse& response, double nowMs,
                          std::uint64_t random, ReplicationStep& out) {
  if (phase_ == Phase::kIdle || backingOff_ || response.ballot != ballot_ ||
      (response.phase == RequestPhase::kPrepare) != (phase_ == Phase::kPreparing))
    return;
  if (!response.granted) {
    highestRound_ = std::max(highestRound_, response.accepted.round);
    backingOff_ = true;
    roundDeadlineMs_ = nowMs + kRoundTimeoutMs * static_cast<double>(random % 1024) / 1024;
    return;
  }
  // Each relay has one response per phase; after it lost its folder, the later generation's response counts.
  const auto [at, inserted] = responses_.try_emplace(from, response);
  if (!inserted && at->second.generation < response.generation) at->second = response;
  if (!hasQuorum()) return;
  if (phase_ == Phase::kPreparing) {
    Ballot newestBallot;
    LedgerState current;
    for (const auto& [name, reported] : responses_) {
      if (reported.accepted <= newestBallot) continue;
      newestBallot = reported.accepted;
      current = reported.value;
    }
    const bool matchesExpected = desired_.epoch != 0 && (isInjected(InjectedBug::kOnlyEpochCompared)
                                                             ? current.epoch + 1 == desired_.epoch
                                                             : current == expected_);
    proposedState_ = matchesExpected ? desired_ : current;
    if (proposedState_.epoch != 0) {
      phase_ = Phase::kAccepting;
      roundDeadlineMs_ = nowMs + kRoundTimeoutMs;
      broadcast(RequestPhase::kAccept, out);
      return;
    }
  }
  decided_ = proposedState_;
  phase_ = Phase::kIdle;
  responses_.clear();
}

void Proposer::onTick(double nowMs, std::uint64_t random, ReplicationStep& out) {
  if (phase_ != Phase::kIdle && nowMs >= roundDeadlineMs_) prepare(nowMs, random, out);
}

}  // namespace myrtleloft
