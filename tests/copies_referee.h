// Checks the invariants of replication in a simulated fleet by the observed actions of its relays, not by
// their internal state.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "copies/step.h"

namespace myrtleloft {

class ReplicationChecker {
 public:
  void owned(const LedgerId& ledger, const LedgerState& state) {
    const auto [at, inserted] = owners_.try_emplace({ledger, state.epoch}, state);
    if (!inserted && !(at->second == state)) reportViolation("two values decided for one epoch");
  }
  void durable(const LedgerId& ledger, std::uint64_t epoch, const std::string& id, bool nonIdempotent) {
    Request& request = requests_[id];
    request.ledger = ledger;
    request.nonIdempotent = nonIdempotent;
    request.durable = true;
    ++durableRequests;
    const auto last = latestTakeovers_.find(ledger);
    if (!request.answered && last != latestTakeovers_.end() && last->second.first > epoch &&
        !last->second.second.contains(id))
      reportViolation("durable request unknown to the new owner: " + id);
  }
  void takenOver(const LedgerId& ledger, std::uint64_t epoch, const std::vector<PendingRequest>& found,
                 bool byTakeover) {
    std::set<std::string> ids;
    for (const PendingRequest& pendingRequest : found) ids.insert(pendingRequest.id);
    // A relay that learns of its takeover only after a later one cannot act: the later owner fenced the
    // replicas.
    if (const auto last = latestTakeovers_.find(ledger);
        last != latestTakeovers_.end() && epoch < last->second.first)
      return;
    for (const auto& [id, request] : requests_) {
      if (!(request.ledger == ledger)) continue;
      if (request.durable && !request.answered && !ids.contains(id))
        reportViolation("durable request lost: " + id);
      if (request.completionDurable && ids.contains(id))
        reportViolation("completed request pending again: " + id);
    }
    if (byTakeover) ++takeovers;
    auto& last = latestTakeovers_[ledger];
    if (epoch >= last.first) last = {epoch, std::move(ids)};
  }
  // Call this when the first byte of a call is sent.
  void callStarted(std::uint64_t epoch, const std::string& id, bool nonIdempotent) {
    Request& request = requests_[id];
    ++calls;
    if (nonIdempotent && request.calls > 0) reportViolation("non-idempotent request called twice: " + id);
    if (request.completionDurable) reportViolation("called after its completion was durable: " + id);
    if (nonIdempotent && request.answered)
      reportViolation("non-idempotent request called after its final status: " + id);
    ++request.calls;
    recordAction(epoch, id);
  }
  // A call that was started has been answered.
  void delivered(const std::string& id) { requests_[id].answered = true; }
  void reportedFailed(std::uint64_t epoch, const std::string& id) {
    requests_[id].answered = true;
    recordAction(epoch, id);
  }
  void completionDurable(const std::string& id) { requests_[id].completionDurable = true; }
  void checkAllAnswered() {
    for (const auto& [id, request] : requests_)
      if (request.durable && !request.answered) reportViolation("durable request never completed: " + id);
  }
  void reportViolation(const std::string& what) { violations.push_back(what); }

  std::vector<std::string> violations;
  double nowMs = 0;  // simulated time
  int durableRequests = 0, takeovers = 0, calls = 0;

 private:
  struct Request {
    LedgerId ledger;
    bool nonIdempotent = false, durable = false, answered = false, completionDurable = false;
    int calls = 0;
    std::uint64_t epoch = 0;  // highest epoch under which any relay acted on the request
  };
  void recordAction(std::uint64_t epoch, const std::string& id) {
    Request& request = requests_[id];
    if (epoch < request.epoch) reportViolation("former owner acted after the new owner: " + id);
    request.epoch = std::max(request.epoch, epoch);
  }

  std::map<std::pair<LedgerId, std::uint64_t>, LedgerState> owners_;
  std::map<std::string, Request> requests_;
  std::map<LedgerId, std::pair<std::uint64_t, std::set<std::string>>> latestTakeovers_;
};

}  // namespace myrtleloft
