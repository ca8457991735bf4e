// One relay's vote at the registers of all ledgers: CASPaxos (Rystsov, 2018), an acceptor for each, and what
// keeps a relay that lost its folder from forgetting what it voted. No I/O.
//
//   Voter voter({"n1", life, {"n2", "n3"}}, stored);
//   voter.onTick(nowMs, step);                    // asks to join until it may vote
//   if (auto vote = voter.onAsk("n2", ask, step)) ...   // to be sent to n2 once `step.stores` are done
//   voter.onVote("n2", vote, step);               // of the kind kJoin
//
// A relay with an empty folder may not vote. It tells the others its new life, which they keep before they
// answer, and takes over the registers of `joinQuorum` of them that vote: each quorum that its old life was
// in had another member among those. That one had voted already, so that the vote is taken over; or it votes
// later, says then that the old life is over, and whoever counts the votes leaves the old life's out
// (proposer.h). Both halves are needed; in the manner of Michael, Ports, Sharma and Szekeres, 'Recovering
// Shared Objects Without Stable Storage' (2017).
//
// A fleet's first voters found it: when every relay said, empty as it was, that it knows of all present
// lives, then no older folder is left anywhere that could know of a vote.
//
// Bounded by the registers: some 200 bytes each. An ask costs O(log registers), one to join O(kFullMessage).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "copies/messages.h"
#include "copies/step.h"

namespace myrtleloft {

class Voter {
 public:
  struct Self {
    std::string name;
    std::uint64_t life = 0;
    std::vector<std::string> others;  // all other relays of the fleet
  };
  struct Register {
    Ballot promised, accepted;
    LedgerState value;
  };
  static constexpr double kAskAgainMs = 200;

  // `stored`: what this class ever put into `stores`; empty for a folder that was.
  Voter(Self self, const Stored& stored, CopyStep& out);

  bool votes() const { return votes_; }
  void onTick(double nowMs, CopyStep& out);
  std::optional<Vote> onAsk(const std::string& from, const VoteAsk& ask, CopyStep& out);
  void onVote(const std::string& from, const Vote& vote, CopyStep& out);
  // As this relay last took them; not what was decided.
  const std::map<LedgerId, Register>& registers() const { return registers_; }
  std::size_t joinQuorum() const;
  template <typename Archive>
  void fingerprint(Archive& ar) const;

 private:
  LifeMark mark() const { return {ordinal_, self_.life}; }
  std::vector<KnownLife> known() const;
  void learn(const std::vector<KnownLife>& known, CopyStep& out);
  void learn(const KnownLife& told, CopyStep& out);
  void keep(const LedgerId& id, CopyStep& out);
  void keepSelf(CopyStep& out);
  void join(CopyStep& out);
  Vote onJoin(const std::string& from, const VoteAsk& ask, CopyStep& out);
  void ask(const std::string& to, CopyStep& out);

  Self self_;
  bool votes_ = false;
  std::uint64_t ordinal_ = 1;
  std::map<std::string, LifeMark> known_;  // of the others
  std::map<LedgerId, Register> registers_;
  // While it joins:
  struct Source {
    LedgerId behind;
    bool done = false;
  };
  std::map<std::string, Source> sources_;
  std::map<std::string, std::vector<KnownLife>> blanks_;  // what the others knew when they were empty
  double askedMs_ = -kAskAgainMs;
};

template <typename Archive>
void Voter::fingerprint(Archive& ar) const {
  ar(votes_, ordinal_, known_.size(), registers_.size());
  for (const auto& [name, mark] : known_) ar(name, mark.ordinal, mark.life);
  for (const auto& [id, r] : registers_) ar(id, r.promised, r.accepted, r.value);
}

}  // namespace myrtleloft
