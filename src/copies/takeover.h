// The steps of a new owner after the configuration register has named it: fences the ledger's replicas and
// reads the pending requests from one of them. No I/O; time is passed in.
//
//   Takeover takeover(id, state);                 // `state`: as decided, with this relay as owner
//   takeover.onTick(nowMs, step);                 // sends fence requests and retries them
//   takeover.onFenceResponse("n2", response, nowMs, step);
//   if (takeover.done()) ... takeover.requests(), takeover.fencedMs()
//
// One replica is sufficient: it stores all durable records, and without its acknowledgments the former owner
// cannot make further records durable, nor start calls once its lease has expired. While no replica responds
// the takeover waits.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "copies/messages.h"
#include "copies/step.h"

namespace myrtleloft {

class Takeover {
 public:
  static constexpr double kRetryMs = 150;

  Takeover(LedgerId ledger, LedgerState state) : ledger_(std::move(ledger)), state_(std::move(state)) {}

  const LedgerState& state() const { return state_; }
  void onTick(double nowMs, ReplicationStep& out);
  void onFenceResponse(const std::string& from, const FenceResponse& response, double nowMs,
                       ReplicationStep& out);
  bool done() const { return done_; }
  // A later owner has already fenced a replica at a higher epoch.
  bool superseded() const { return superseded_; }
  // When the first response of the replica that was read arrived; the fence was set earlier.
  double fencedMs() const { return fencedMs_; }
  std::vector<PendingRequest> requests() { return std::move(requests_); }
  template <typename Archive>
  void fingerprint(Archive& ar) const {
    ar(state_, done_, superseded_, fencedMs_);
    for (const auto& [name, progress] : progress_) ar(name, progress.after, progress.requests.size());
  }

 private:
  struct ReadProgress {
    std::string after;
    double fencedMs = 0;
    std::vector<PendingRequest> requests;
  };
  void requestFence(const std::string& replica, ReplicationStep& out);

  LedgerId ledger_;
  LedgerState state_;
  std::map<std::string, ReadProgress> progress_;
  bool done_ = false, superseded_ = false;
  double fencedMs_ = 0, lastRequestMs_ = -kRetryMs;
  std::vector<PendingRequest> requests_;
};

}  // namespace myrtleloft
