// The open requests by id: those that are new, accepted or completed with something left to do.
//
//   OpenRequest& request = table.add(id);
//   if (OpenRequest* request = table.find(id)) ...
//   table.erase(id);
//
// A request stays where it is from `add` to `erase`, as the journal requires, which keeps a pointer to its
// PendingRequest.
//
// The table owns the phase of each request. Several parts may decide the same one: a sync that covers its
// record or fails, the decision module, its client that leaves. The first takes its step by `accept`,
// `reject` or `giveUp`; the others are told that it has been decided, and do nothing.
//
// One thread; O(log requests) each, O(1) for a step.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "counters/counters.h"
#include "exchange/quota_charges.h"
#include "exchange/request.h"
#include "journal/records.h"

namespace myrtleloft {

// Advice of the relay's own to a rejected client, where the decision module was not consulted: the settings'
// limit, a fault of the journal, a relay about to end.
inline constexpr double kRetryAfterMs = 1000;

// A call is not waited for up to its request's deadline, and an answer that came later than this before it is
// no delivery. By the client's clock the deadline is earlier, by the request's way to the relay; the time of
// an arrival is known to 4 ms. A later answer would count as delivered here only, and its client would get no
// notification.
inline constexpr double kDeadlineMarginMs = 5;

enum class RequestPhase : std::uint8_t {
  kUnanswered,  // its client waits for its answer
  kAccepted,    // its client has the 202
  kRejected,    // given up before the 202: its client hears so once that is recorded
  kGivenUp      // given up after the 202: the platform is notified
};

// One particular request: after it is closed, its id may come again with another.
struct RequestHandle {
  std::string id;
  std::uint64_t number = 0;
};

struct OpenRequest {
  PendingRequest pending;
  RequestSink::AnswerCallback answer;  // until the client has its answer
  double deadlineMs = 0;               // on the loop's clock: the wall clock may be set meanwhile
  QuotaCharge charge;
  // The call with it that may have left and has no outcome yet (Departure::number); 0: none.
  std::uint64_t callInFlight = 0;
  double firstAmbiguousMs = 0;  // when the earliest of its ambiguous attempts, if any, was decided

  // Answers the client unless it has its answer.
  void answerClient(const Answer& text) {
    if (const RequestSink::AnswerCallback callback = std::exchange(answer, nullptr)) callback(text);
  }
  RequestHandle handle() const { return {pending.id, number_}; }
  RequestPhase phase() const { return phase_; }
  // Whether the decision module has it and has not completed it.
  bool isUndecided() const {
    return phase_ == RequestPhase::kUnanswered || phase_ == RequestPhase::kAccepted;
  }

 private:
  friend class RequestTable;  // which alone changes these
  std::uint64_t number_ = 0;
  RequestPhase phase_ = RequestPhase::kUnanswered;
};

class RequestTable {
 public:
  using Requests = std::map<std::string, OpenRequest, std::less<>>;

  // `counters` must outlive it.
  explicit RequestTable(Counters& counters) : counters_(counters) {}

  OpenRequest* find(const std::string& id) {
    const auto at = requests_.find(id);
    return at == requests_.end() ? nullptr : &at->second;
  }
  // Nothing where it has been closed, even if another request has its id now.
  OpenRequest* find(const RequestHandle& handle) {
    OpenRequest* const request = find(handle.id);
    return request != nullptr && request->number_ == handle.number ? request : nullptr;
  }
  // Throws std::out_of_range unless it is open.
  OpenRequest& at(const std::string& id) { return requests_.at(id); }
  // A new request in that phase; its id must not be open.
  OpenRequest& add(const std::string& id, RequestPhase phase) {
    OpenRequest& request = requests_[id];
    request.pending.id = id;
    request.number_ = ++lastNumber_;
    request.phase_ = phase;
    undecided_ += request.isUndecided() ? 1 : 0;
    return request;
  }
  void erase(const std::string& id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    undecided_ -= at->second.isUndecided() ? 1 : 0;
    requests_.erase(at);
  }

  // kUnanswered -> kAccepted. false: it was decided before, and nothing changed.
  bool accept(OpenRequest& request) {
    return step(request, request.phase_ == RequestPhase::kUnanswered, RequestPhase::kAccepted);
  }
  // kUnanswered -> kRejected. false: as above.
  bool reject(OpenRequest& request) {
    return step(request, request.phase_ == RequestPhase::kUnanswered, RequestPhase::kRejected);
  }
  // kUnanswered -> kRejected, kAccepted -> kGivenUp; the phase that it has now. Nothing: it was decided
  // before.
  std::optional<RequestPhase> giveUp(OpenRequest& request) {
    const bool isAccepted = request.phase_ == RequestPhase::kAccepted;
    const RequestPhase next = isAccepted ? RequestPhase::kGivenUp : RequestPhase::kRejected;
    return step(request, request.isUndecided(), next) ? std::optional(next) : std::nullopt;
  }
  bool empty() const { return requests_.empty(); }
  Requests::iterator begin() { return requests_.begin(); }
  Requests::iterator end() { return requests_.end(); }

  // How many of them the decision module has and has not completed.
  std::size_t undecided() const { return undecided_; }

 private:
  bool step(OpenRequest& request, bool isAllowed, RequestPhase next) {
    if (!isAllowed) {
      ++counters_.decidedBefore;
      return false;
    }
    undecided_ -= request.isUndecided() ? 1 : 0;
    request.phase_ = next;
    undecided_ += request.isUndecided() ? 1 : 0;
    return true;
  }

  Counters& counters_;
  Requests requests_;
  std::uint64_t lastNumber_ = 0;
  std::size_t undecided_ = 0;
};

}  // namespace myrtleloft
