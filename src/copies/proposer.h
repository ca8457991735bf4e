// A CASPaxos proposer: one compare-and-set on the configuration register of one ledger.
// No I/O; time and random numbers are passed in.
//
//   Proposer proposer(id, {"n1", "n2", "n3"});
//   proposer.change(current, desired, nowMs, random, step);    // takes effect if the register has `current`
//   proposer.onResponse("n2", response, nowMs, random, step); proposer.onTick(nowMs, random, step);
//   if (const auto& decided = proposer.decided()) ...          // `desired`, or the register's actual value
//
// A decided value remains visible to all later reads, because a read writes back the value that it found. The
// proposer retries until a majority responds; while no majority is reachable it never decides.
//
// Uncontended, a change takes two round trips. A proposer that is rejected because of a higher ballot backs
// off for a random share of kRoundTimeoutMs.
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
  static constexpr double kRoundTimeoutMs = 300;

  Proposer(LedgerId ledger, std::vector<std::string> acceptors)
      : ledger_(std::move(ledger)), acceptors_(std::move(acceptors)) {}

  // Compares the entire state and not only the epoch: of two states proposed for one epoch only one is
  // decided, but an acceptor may have accepted the other.
  void change(LedgerState current, LedgerState desired, double nowMs, std::uint64_t random,
              ReplicationStep& out);
  // Reads the register by deciding its current value again.
  void readCurrent(double nowMs, std::uint64_t random, ReplicationStep& out) {
    change({}, {}, nowMs, random, out);
  }
  void onResponse(const std::string& from, const AcceptorResponse& response, double nowMs,
                  std::uint64_t random, ReplicationStep& out);
  void onTick(double nowMs, std::uint64_t random, ReplicationStep& out);
  bool busy() const { return phase_ != Phase::kIdle; }
  // The result of the last change or read; std::nullopt while busy. Its epoch is 0 if the register was never
  // written.
  const std::optional<LedgerState>& decided() const { return decided_; }
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    ar(phase_, ballot_, proposedState_, responses_.size(), backingOff_);
    for (const auto& [name, response] : responses_) ar(name, response.accepted, response.value);
  }

 private:
  enum class Phase : std::uint8_t { kIdle, kPreparing, kAccepting };

  void prepare(double nowMs, std::uint64_t random, ReplicationStep& out);
  void broadcast(RequestPhase phase, ReplicationStep& out);
  bool hasQuorum() const;

  LedgerId ledger_;
  std::vector<std::string> acceptors_;
  Phase phase_ = Phase::kIdle;
  LedgerState expected_;
  LedgerState desired_;        // epoch 0 for a read
  LedgerState proposedState_;  // the value of the accept phase
  Ballot ballot_;
  std::uint64_t highestRound_ = 0;  // highest ballot round seen
  std::map<std::string, AcceptorResponse> responses_;
  bool backingOff_ = false;  // rejected because of a higher ballot
  double roundDeadlineMs_ = 0;
  std::optional<LedgerState> decided_;
};

}  // namespace myrtleloft
