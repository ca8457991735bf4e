#include "copies/proposer.h"

#include <algorithm>
#include <utility>

#include "copies/planted.h"

namespace myrtleloft {

void Proposer::change(LedgerState there, LedgerState wanted, double nowMs, std::uint64_t random,
                      CopyStep& out) {
  expected_ = std::move(there);
  wanted_ = std::move(wanted);
  decided_.reset();
  prepare(nowMs, random, out);
}

void Proposer::prepare(double nowMs, std::uint64_t random, CopyStep& out) {
  phase_ = Phase::kPreparing;
  ballot_ = {++highest_, random};
  waits_ = false;
  untilMs_ = nowMs + kPatienceMs;
  proposed_ = {};
  ask(VotePhase::kPrepare, out);
}

void Proposer::ask(VotePhase phase, CopyStep& out) {
  votes_.clear();
  VoteAsk ask;
  ask.phase = phase;
  ask.ledger = ledger_;
  ask.ballot = ballot_;
  ask.value = proposed_;
  for (const std::string& name : all_) out.sends.push_back({name, FleetKind::kVoteAsk, encode(ask)});
}

bool Proposer::enough() const {
  const auto over = [&](const auto& voted) {
    return std::any_of(votes_.begin(), votes_.end(), [&](const auto& other) {
      return std::any_of(other.second.known.begin(), other.second.known.end(), [&](const KnownLife& k) {
        return k.name == voted.first && k.mark > voted.second.mark && k.mark.life != voted.second.mark.life;
      });
    });
  };
  const auto counted = std::count_if(votes_.begin(), votes_.end(), [&](const auto& vote) {
    return planted(Flaw::kOldLivesCount) || !over(vote);
  });
  return static_cast<std::size_t>(counted) >= all_.size() / 2 + 1;
}

void Proposer::onVote(const std::string& from, const Vote& vote, double nowMs, std::uint64_t random,
                      CopyStep& out) {
  if (phase_ == Phase::kIdle || waits_ || vote.ballot != ballot_ ||
      (vote.phase == VotePhase::kPrepare) != (phase_ == Phase::kPreparing))
    return;
  if (!vote.yes) {
    highest_ = std::max(highest_, vote.accepted.round);
    waits_ = true;
    untilMs_ = nowMs + kPatienceMs * static_cast<double>(random % 1024) / 1024;
    return;
  }
  // A relay votes once in a phase; after its folder was lost, its later life's vote is the one that counts.
  const auto [at, fresh] = votes_.try_emplace(from, vote);
  if (!fresh && at->second.mark < vote.mark) at->second = vote;
  if (!enough()) return;
  if (phase_ == Phase::kPreparing) {
    Ballot newest;
    LedgerState there;
    for (const auto& [name, told] : votes_) {
      if (told.accepted <= newest) continue;
      newest = told.accepted;
      there = told.value;
    }
    const bool applies = wanted_.epoch != 0 &&
                         (planted(Flaw::kEpochAlone) ? there.epoch + 1 == wanted_.epoch : there == expected_);
    proposed_ = applies ? wanted_ : there;
    if (proposed_.epoch != 0) {
      phase_ = Phase::kAccepting;
      untilMs_ = nowMs + kPatienceMs;
      ask(VotePhase::kAccept, out);
      return;
    }
  }
  decided_ = proposed_;
  phase_ = Phase::kIdle;
  votes_.clear();
}

void Proposer::onTick(double nowMs, std::uint64_t random, CopyStep& out) {
  if (phase_ != Phase::kIdle && nowMs >= untilMs_) prepare(nowMs, random, out);
}

}  // namespace myrtleloft
