// What is owed, copied: one relay's part in it, all of it decided without I/O; time and a seed are passed in.
//
//   Copies copies(setup, stored, recovered, nowMs, step);
//   copies.onMember({"n2", Standing::kAlive, incarnation, "east", 1}, nowMs);
//   copies.onTick(nowMs, step);                                // every few ms
//   bool ours = copies.onMessage("n2", kind, payload, nowMs, step);
//   if (auto put = copies.take(request, nowMs, step)) ...      // the 202 goes out at news kPromised of
//   put->position auto at = copies.put(ledger, AttemptRecord{...}, true, nowMs, step); if
//   (copies.mayBegin(ledger, *at, nowMs)) ...               // at the last moment before the first byte
//
// After each call: `step.stores`, then `step.sends` and `step.news` (step.h).  docs/design/copies.md says
// why.
//
// Costs: a tick O(ledgers + registers), a record O(log n) and a message for each holder.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "copies/holder.h"
#include "copies/ledger.h"
#include "copies/placement.h"
#include "copies/proposer.h"
#include "copies/step.h"
#include "copies/takeover.h"
#include "copies/voter.h"
#include "fleet/members.h"

namespace myrtleloft {

struct CopiesSetup {
  std::string name, building;
  Incarnation self;
  std::vector<std::string> others;  // all other relays of the fleet
  std::size_t copies = 2;
  bool alone = false;  // `when_short`: takes on with fewer copies
  std::uint32_t shares = 8;
  // How long after its record was sent a call may begin; an heir waits so long, and longer by `rateShare`, by
  // which the clocks of two relays may run apart.
  double spanMs = 2000, rateShare = 0.01;
  double heirStepMs = 400;  // from one would-be heir to the next
  std::size_t roomBytes = 8 << 20;
  double bytesPerMs = 4096;  // of tables copied anew
  std::uint64_t seed = 1;
  std::function<double(const PendingRequest&)> worthOf = [](const PendingRequest&) { return 1.0; };
};

struct CopiesMember {
  std::string name;
  MemberState standing = MemberState::kUnknown;
  Incarnation incarnation;
  std::string building;
  double room = 1;
};

class Copies {
 public:
  // `recovered`: what the own journal says is owed, by ledger.
  Copies(CopiesSetup setup, const Stored& stored, std::map<LedgerId, std::vector<PendingRequest>> recovered,
         double nowMs, CopyStep& out);

  struct Put {
    LedgerId ledger;
    std::uint64_t position = 0;
  };

  void onMember(CopiesMember member) { members_[member.name] = std::move(member); }
  void onTick(double nowMs, CopyStep& out);
  // false: not a message of ours.
  bool onMessage(const std::string& from, FleetKind kind, std::string_view payload, double nowMs,
                 CopyStep& out);
  // None: there are too few copies for it now; refuse it.
  std::optional<Put> take(PendingRequest request, double nowMs, CopyStep& out);
  // `now`: at once; else with the next tick. None: the ledger is not owned here any more.
  std::optional<std::uint64_t> put(const LedgerId& ledger, const Record& record, bool now, double nowMs,
                                   CopyStep& out);
  bool mayBegin(const LedgerId& ledger, std::uint64_t position, double nowMs) const;
  // What was told with kTakenOver is in the own journal: after a restart it need not be read again.
  void adopted(const LedgerId& ledger, CopyStep& out);
  const LedgerState* owned(const LedgerId& ledger) const;
  const Voter& voter() const { return voter_; }
  const Holder& holder() const { return holder_; }
  std::size_t sharesOpen() const;
  // All that is owned here is held by as many as it should be, and nothing is being changed.
  bool settled() const;
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    voter_.fingerprint(ar);
    holder_.fingerprint(ar);
    for (const auto& [id, c] : cases_) {
      ar(id, c.stage, c.asked, c.told);
      c.proposer.fingerprint(ar);
      if (c.ledger) c.ledger->fingerprint(ar);
      if (c.takeover) c.takeover->fingerprint(ar);
    }
  }

 private:
  // What this relay has to do with a ledger of its own, or one that it takes over.
  enum class Stage : std::uint8_t {
    kOpening,   // a new one: asks the register for it
    kLooking,   // its own of an earlier start: asks what became of it
    kClaiming,  // it is still the owner: asks to go on
    kTaking,    // another's: asks to be the owner
    kReading,   // fences and reads
    kOwned,
    kVoid,
  };
  struct Case {
    explicit Case(Proposer p) : proposer(std::move(p)) {}
    Stage stage = Stage::kOpening;
    Proposer proposer;
    LedgerState asked;
    std::vector<PendingRequest> requests;  // recovered
    std::optional<Ledger> ledger;
    std::optional<Takeover> takeover;
    std::uint64_t told = 0;  // promised, and said so
  };

  Case& begin(const LedgerId& id, Stage stage);
  void ask(Case& c, LedgerState there, LedgerState wanted, double nowMs, CopyStep& out);
  void onDecided(const LedgerId& id, Case& c, double nowMs, CopyStep& out);
  void own(const LedgerId& id, Case& c, const LedgerState& state, std::vector<PendingRequest> requests);
  void giveUp(const LedgerId& id, Case& c, CopyStep& out);
  void onFenced(const std::string& from, const FencedMessage& fenced, double nowMs, CopyStep& out);
  void tellPromised(const LedgerId& id, Case& c, CopyStep& out);
  void tickLedgers(double nowMs, CopyStep& out);
  void openShares(double nowMs, CopyStep& out);
  void takeOver(double nowMs, CopyStep& out);
  bool gone(const LedgerState& state) const;
  bool fit(const RelayLife& holder) const;
  std::vector<RelayLife> holdersFor(const LedgerId& id, const Ledger* ledger) const;
  void deliverOwn(double nowMs, CopyStep& out);
  bool handle(const std::string& from, FleetKind kind, std::string_view payload, double nowMs, CopyStep& out);
  bool mine(const LedgerState& state) const {
    return state.owner == setup_.name && state.start.life == setup_.self.life;
  }
  std::uint64_t random();

  CopiesSetup setup_;
  std::vector<std::string> all_;
  Voter voter_;
  Holder holder_;
  std::map<std::string, CopiesMember> members_;
  std::map<LedgerId, Case> cases_;
  std::vector<std::optional<LedgerId>> shares_;
  std::uint32_t opened_ = 0;
  std::map<LedgerId, double> goneSince_;
  double budget_ = 0, tickedMs_ = 0;
};

}  // namespace myrtleloft
