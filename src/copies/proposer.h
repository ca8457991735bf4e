// One change of one ledger's register, from the side that wants it: CASPaxos' compare-and-set.
// No I/O; time and random numbers are passed in.
//
//   Proposer proposer(id, {"n1", "n2", "n3"});
//   proposer.change(there, wanted, nowMs, random, step);    // if the register says `there`
//   proposer.onVote("n2", vote, nowMs, random, step); proposer.onTick(nowMs, random, step);
//   if (const LedgerState* decided = proposer.decided()) ...    // `wanted`, or what stands there instead
//
// What it says was decided is so for good, for whoever asks later: what is read is written back first. It
// asks until it is told; a register none of whose majorities answers is never decided.
//
// A round that is in another's way waits for up to kPatienceMs times a random share. Two rounds of messages
// when nobody is.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "copies/messages.h"
#include "copies/step.h"

namespace myrtleloft {

class Proposer {
 public:
  static constexpr double kPatienceMs = 300;

  Proposer(LedgerId ledger, std::vector<std::string> all)
      : ledger_(std::move(ledger)), all_(std::move(all)) {}

  // The whole of what is there is compared, not the epoch alone: of two that were asked for under one epoch
  // only one is decided, and a voter may know the other.
  void change(LedgerState there, LedgerState wanted, double nowMs, std::uint64_t random, CopyStep& out);
  // Decides what is there.
  void look(double nowMs, std::uint64_t random, CopyStep& out) { change({}, {}, nowMs, random, out); }
  void onVote(const std::string& from, const Vote& vote, double nowMs, std::uint64_t random, CopyStep& out);
  void onTick(double nowMs, std::uint64_t random, CopyStep& out);
  bool busy() const { return phase_ != Phase::kIdle; }
  // Of the last change or look; none while it is busy. Epoch 0: nothing was ever written.
  const std::optional<LedgerState>& decided() const { return decided_; }
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    ar(phase_, ballot_, proposed_, votes_.size(), waits_);
    for (const auto& [name, vote] : votes_) ar(name, vote.accepted, vote.value);
  }

 private:
  enum class Phase : std::uint8_t { kIdle, kPreparing, kAccepting };

  void prepare(double nowMs, std::uint64_t random, CopyStep& out);
  void ask(VotePhase phase, CopyStep& out);
  bool enough() const;

  LedgerId ledger_;
  std::vector<std::string> all_;
  Phase phase_ = Phase::kIdle;
  LedgerState expected_;
  LedgerState wanted_;    // epoch 0: none
  LedgerState proposed_;  // in the accepting phase
  Ballot ballot_;
  std::uint64_t highest_ = 0;  // round that was met
  std::map<std::string, Vote> votes_;
  bool waits_ = false;  // another's round was in the way
  double untilMs_ = 0;
  std::optional<LedgerState> decided_;
};

}  // namespace myrtleloft
