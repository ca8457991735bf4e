// Randomized tests of Acceptor and Proposer: acceptors lose their state folders, messages are reordered, lost
// and duplicated, and no epoch of a register may be decided with two values.
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

struct InFlightMessage {
  std::string from, to;
  FleetKind kind;
  std::string payload;
};

// Acceptors and proposers of one register; their messages are delivered in random order.
class Fleet {
 public:
  Fleet(std::size_t count, std::uint32_t seed) : random_(seed), losesFoldersBeforeFounding_(seed % 8 == 0) {
    for (std::size_t i = 0; i < count; ++i) names_.push_back("n" + std::to_string(i));
    for (const std::string& name : names_) {
      relays_[name];
      start(name, true);
    }
  }

  void start(const std::string& name, bool empty) {
    Relay& node = relays_[name];
    if (empty) {
      node.folder.clear();
      node.life = random_() | 1;
    }
    std::vector<std::string> others;
    for (const std::string& other : names_)
      if (other != name) others.push_back(other);
    ReplicationStep step;
    node.acceptor.emplace(Acceptor::Self{name, node.life, others}, node.folder, step);
    node.proposer.emplace(kLedger, names_);
    if (empty) node.last = {};
    execute(name, step);
    // If no relay has registers left, all state is lost and the relays form a new fleet.
    for (const auto& [other, relay] : relays_)
      if (!relay.acceptor || relay.acceptor->isActive() || !relay.acceptor->registers().empty()) return;
    decided_.clear();
    for (auto& [other, relay] : relays_) relay.last = {};
  }

  void advance() {
    nowMs_ += 5;
    founded_ = founded_ || acceptors() == names_.size();
    const std::string& name = names_[random_() % names_.size()];
    Relay& node = relays_[name];
    ReplicationStep step;
    const auto dice = random_() % 100;
    if (dice < 80 && !inFlight_.empty()) {
      const std::size_t at = random_() % inFlight_.size();
      const InFlightMessage message = inFlight_[at];
      if (random_() % 8 != 0) {  // otherwise it is duplicated
        inFlight_[at] = inFlight_.back();
        inFlight_.pop_back();
      }
      if (random_() % 10 != 0) deliver(message);
      return;
    }
    if (dice < 94) {
      node.acceptor->onTick(nowMs_, step);
      node.proposer->onTick(nowMs_, random_(), step);
    } else if (dice < 97 && founded_ && !node.proposer->busy()) {
      LedgerState desired;
      desired.epoch = node.last.epoch + 1;
      desired.owner = name;
      desired.start = {random_() | 1, 1};
      node.proposer->change(node.last, desired, nowMs_, random_(), step);
    } else if (dice == 99 && (founded_ || losesFoldersBeforeFounding_) && random_() % 3 == 0) {
      start(name, random_() % 2 == 0);
      return;
    }
    execute(name, step);
  }

  bool broken() const { return broken_; }
  std::size_t decisions() const { return decided_.size(); }
  std::size_t acceptors() const {
    std::size_t n = 0;
    for (const auto& [name, node] : relays_) n += node.acceptor->isActive() ? 1 : 0;
    return n;
  }

 private:
  struct Relay {
    StoredEntries folder;
    std::uint64_t life = 0;
    std::optional<Acceptor> acceptor;
    std::optional<Proposer> proposer;
    LedgerState last;  // latest decided state that this relay has seen
  };

  void execute(const std::string& name, ReplicationStep& step) {
    for (const StoreWrite& s : step.stores) relays_[name].folder[s.key] = s.bytes;
    for (OutgoingMessage& s : step.sends) inFlight_.push_back({name, s.to, s.kind, std::move(s.payload)});
  }

  void deliver(const InFlightMessage& message) {
    Relay& node = relays_[message.to];
    ReplicationStep step;
    if (message.kind == FleetKind::kVoteAsk) {
      AcceptorRequest request;
      if (!decode(message.payload, request)) std::abort();
      if (auto response = node.acceptor->onRequest(message.from, request, step))
        step.sends.push_back({message.from, FleetKind::kVote, encode(*response)});
    } else {
      AcceptorResponse response;
      if (!decode(message.payload, response)) std::abort();
      if (response.phase == RequestPhase::kJoin)
        node.acceptor->onResponse(message.from, response, step);
      else if (const bool was = node.proposer->busy(); was) {
        node.proposer->onResponse(message.from, response, nowMs_, random_(), step);
        if (!node.proposer->busy()) checkDecision(node, *node.proposer->decided());
      }
    }
    execute(message.to, step);
  }

  void checkDecision(Relay& node, const LedgerState& state) {
    if (state.epoch == 0) {
      broken_ = broken_ || !decided_.empty();
      return;
    }
    // Each epoch has one value, and a decided value is never lost. An older value can only result from a
    // change that started earlier.
    const auto [at, fresh] = decided_.try_emplace(state.epoch, state);
    if (!fresh && !(at->second == state)) broken_ = true;
    if (state.epoch > node.last.epoch) node.last = state;
  }

  std::mt19937 random_;
  std::vector<std::string> names_;
  std::map<std::string, Relay> relays_;
  std::vector<InFlightMessage> inFlight_;
  std::map<std::uint64_t, LedgerState> decided_;
  double nowMs_ = 0;
  bool losesFoldersBeforeFounding_ = false,
       founded_ = false;  // lose folders even before the first acceptors are active
  bool broken_ = false;
};

// Returns the number of seeds that violate the invariant and the total number of decisions.
std::pair<int, std::size_t> play(std::size_t relays, std::uint32_t seeds, InjectedBug bug) {
  injectedBug = bug;
  int broken = 0;
  std::size_t decisions = 0;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(relays, seed);
    for (int i = 0; i < 3000 && !fleet.broken(); ++i) fleet.advance();
    broken += fleet.broken() ? 1 : 0;
    decisions += fleet.decisions();
  }
  injectedBug = InjectedBug::kNone;
  return {broken, decisions};
}

}  // namespace

TEST_CASE("no epoch of a register is decided twice, whoever loses a folder") {
  for (const std::size_t relays : {2U, 3U, 4U, 5U}) {
    CAPTURE(relays);
    const auto [broken, decisions] = play(relays, 60, InjectedBug::kNone);
    CHECK(broken == 0);
    CHECK(decisions > 60);
    MESSAGE(relays << " relays: " << decisions << " decisions");
  }
}

TEST_CASE("voters that forget are found") { CHECK(play(3, 60, InjectedBug::kEmptyAcceptorVotes).first > 0); }
