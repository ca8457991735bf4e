// The registers: messages, votes, changes; and drawn worlds of voters that lose their folders, where one
// epoch may never be decided twice.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>
#include <random>
#include <utility>
#include <vector>

#include "copies/planted.h"
#include "copies/proposer.h"
#include "copies/voter.h"

using namespace myrtleloft;

namespace {

const LedgerId kLedger{"n0", {7, 1}, 3};

struct Wire {
  std::string from, to;
  FleetKind kind;
  std::string payload;
};

// Voters and proposers of one register, and all messages between them in no order.
class Fleet {
 public:
  Fleet(std::size_t count, std::uint32_t seed) : random_(seed), fromTheStart_(seed % 8 == 0) {
    for (std::size_t i = 0; i < count; ++i) names_.push_back("n" + std::to_string(i));
    for (const std::string& name : names_) {
      relays_[name];
      start(name, true);
    }
  }

  void start(const std::string& name, bool empty) {
    Relay& r = relays_[name];
    if (empty) {
      r.folder.clear();
      r.life = random_() | 1;
    }
    std::vector<std::string> others;
    for (const std::string& other : names_)
      if (other != name) others.push_back(other);
    CopyStep step;
    r.voter.emplace(Voter::Self{name, r.life, others}, r.folder, step);
    r.proposer.emplace(kLedger, names_);
    if (empty) r.last = {};
    carryOut(name, step);
    // With the last folder all is gone, and a new fleet is founded.
    for (const auto& [other, relay] : relays_)
      if (!relay.voter || relay.voter->votes() || !relay.voter->registers().empty()) return;
    decided_.clear();
    for (auto& [other, relay] : relays_) relay.last = {};
  }

  void turn() {
    nowMs_ += 5;
    founded_ = founded_ || voters() == names_.size();
    const std::string& name = names_[random_() % names_.size()];
    Relay& r = relays_[name];
    CopyStep step;
    const auto dice = random_() % 100;
    if (dice < 80 && !wires_.empty()) {
      const std::size_t at = random_() % wires_.size();
      const Wire wire = wires_[at];
      if (random_() % 8 != 0) {  // else it comes once more
        wires_[at] = wires_.back();
        wires_.pop_back();
      }
      if (random_() % 10 != 0) deliver(wire);
      return;
    }
    if (dice < 94) {
      r.voter->onTick(nowMs_, step);
      r.proposer->onTick(nowMs_, random_(), step);
    } else if (dice < 97 && founded_ && !r.proposer->busy()) {
      LedgerState wanted;
      wanted.epoch = r.last.epoch + 1;
      wanted.owner = name;
      wanted.start = {random_() | 1, 1};
      r.proposer->change(r.last, wanted, nowMs_, random_(), step);
    } else if (dice == 99 && (founded_ || fromTheStart_) && random_() % 3 == 0) {
      start(name, random_() % 2 == 0);
      return;
    }
    carryOut(name, step);
  }

  bool broken() const { return broken_; }
  std::size_t decisions() const { return decided_.size(); }
  std::size_t voters() const {
    std::size_t n = 0;
    for (const auto& [name, r] : relays_) n += r.voter->votes() ? 1 : 0;
    return n;
  }

 private:
  struct Relay {
    Stored folder;
    std::uint64_t life = 0;
    std::optional<Voter> voter;
    std::optional<Proposer> proposer;
    LedgerState last;  // that was decided, as far as it knows
  };

  void carryOut(const std::string& name, CopyStep& step) {
    for (const CopyStore& s : step.stores) relays_[name].folder[s.key] = s.bytes;
    for (CopySend& s : step.sends) wires_.push_back({name, s.to, s.kind, std::move(s.payload)});
  }

  void deliver(const Wire& wire) {
    Relay& r = relays_[wire.to];
    CopyStep step;
    if (wire.kind == FleetKind::kVoteAsk) {
      VoteAsk ask;
      if (!decode(wire.payload, ask)) std::abort();
      if (auto vote = r.voter->onAsk(wire.from, ask, step))
        step.sends.push_back({wire.from, FleetKind::kVote, encode(*vote)});
    } else {
      Vote vote;
      if (!decode(wire.payload, vote)) std::abort();
      if (vote.phase == VotePhase::kJoin)
        r.voter->onVote(wire.from, vote, step);
      else if (const bool was = r.proposer->busy(); was) {
        r.proposer->onVote(wire.from, vote, nowMs_, random_(), step);
        if (!r.proposer->busy()) note(r, *r.proposer->decided());
      }
    }
    carryOut(wire.to, step);
  }

  void note(Relay& r, const LedgerState& state) {
    if (state.epoch == 0) {
      broken_ = broken_ || !decided_.empty();
      return;
    }
    // One value for each epoch, and what is decided is never lost: an older one may only come from a change
    // that was begun before.
    const auto [at, fresh] = decided_.try_emplace(state.epoch, state);
    if (!fresh && !(at->second == state)) broken_ = true;
    if (state.epoch > r.last.epoch) r.last = state;
  }

  std::mt19937 random_;
  std::vector<std::string> names_;
  std::map<std::string, Relay> relays_;
  std::vector<Wire> wires_;
  std::map<std::uint64_t, LedgerState> decided_;
  double nowMs_ = 0;
  bool fromTheStart_ = false, founded_ = false;  // folders are lost even before the first voters are there
  bool broken_ = false;
};

// How many of the seeds break, and how much is decided in all.
std::pair<int, std::size_t> play(std::size_t relays, std::uint32_t seeds, Flaw flaw) {
  plantedFlaw = flaw;
  int broken = 0;
  std::size_t decisions = 0;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(relays, seed);
    for (int i = 0; i < 3000 && !fleet.broken(); ++i) fleet.turn();
    broken += fleet.broken() ? 1 : 0;
    decisions += fleet.decisions();
  }
  plantedFlaw = Flaw::kNone;
  return {broken, decisions};
}

}  // namespace

TEST_CASE("no epoch of a register is decided twice, whoever loses a folder") {
  for (const std::size_t relays : {2U, 3U, 4U, 5U}) {
    CAPTURE(relays);
    const auto [broken, decisions] = play(relays, 60, Flaw::kNone);
    CHECK(broken == 0);
    CHECK(decisions > 60);
    MESSAGE(relays << " relays: " << decisions << " decisions");
  }
}

TEST_CASE("voters that forget are found") { CHECK(play(3, 60, Flaw::kAmnesiacVotes).first > 0); }
