// The open requests by id: new ones, accepted ones, and completed ones whose answer or notification is
// pending.
//
//   OpenRequest& request = table.add(id, RequestPhase::kUnanswered);
//   if (OpenRequest* request = table.find(id)) ...
//   table.erase(id);
//
// The address of a request does not change between `add` and `erase`: the journal keeps a pointer to its
// PendingRequest.
//
// The table owns the phase of each request. Several components may decide the same request: a sync that
// covers its record or fails, the decision module, or its client's disconnect. The first one changes the
// phase by `accept`, `reject` or `giveUp`. For the others these functions return a value which says that the
// request has been decided, and they must not act on it.
//
// Single-threaded; O(log requests) for each look-up, O(1) for a change of phase.
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

// Retry-After for clients that are rejected without consulting the decision module: at the limit on pending
// requests, on a journal fault, or while the relay drains.
inline constexpr double kRetryAfterMs = 1000;

// Calls end this long before the deadline of their request, and an answer that arrives later does not count
// as a delivery. By the client's clock the deadline is earlier, by the time that the request took to reach
// the relay, and arrival times are known to 4 ms. If a later answer counted, only the relay would take the
// request for delivered, and the client would get no notification.
inline constexpr double kDeadlineMarginMs = 5;

enum class RequestPhase : std::uint8_t {
  kUnanswered,  // the client waits for its answer
  kAccepted,    // the client has its 202
  kRejected,    // given up before the 202; the client is told once that is recorded
  kGivenUp      // given up after the 202; the platform is notified
};

// Identifies one particular request: once it is closed, another request may have the same id.
struct RequestHandle {
  std::string id;
  std::uint64_t number = 0;
};

struct OpenRequest {
  PendingRequest pending;
  RequestSink::AnswerCallback answerCallback;  // empty once the client has its answer
  double deadlineMs = 0;                       // on the loop's clock, as the wall clock may be set
  QuotaCharge charge;
  // Number of the call (Departure::number) that carries the request, may have been sent and has no outcome
  // yet; 0 if there is none.
  std::uint64_t callInFlight = 0;
  double firstAmbiguousMs = 0;  // when the earliest ambiguous attempt, if any, was decided

  // Answers the client unless it has been answered.
  void answerClient(const Answer& answer) {
    if (const RequestSink::AnswerCallback callback = std::exchange(answerCallback, nullptr)) callback(answer);
  }
  RequestHandle handle() const { return {pending.id, number_}; }
  RequestPhase phase() const { return phase_; }
  // Whether the decision module has the request and has not completed it.
  bool isUndecided() const {
    return phase_ == RequestPhase::kUnanswered || phase_ == RequestPhase::kAccepted;
  }

 private:
  friend class RequestTable;  // the only class that changes these members
  std::uint64_t number_ = 0;
  RequestPhase phase_ = RequestPhase::kUnanswered;
};

class RequestTable {
 public:
  using Requests = std::map<std::string, OpenRequest, std::less<>>;

  // `counters` must outlive the table.
  explicit RequestTable(Counters& counters) : counters_(counters) {}

  OpenRequest* find(const std::string& id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // Returns nullptr if the request has been closed, even if another request has the same id now.
  OpenRequest* find(const RequestHandle& handle) {
    OpenRequest* const request = find(handle.id);
    return request != nullptr && request->number_ == handle.number ? request : nullptr;
  }
  // Throws std::out_of_range if no request with that id is open.
  OpenRequest& at(const std::string& id) { return requests_.at(id); }
  // Adds a request in that phase. No request with that id may be open.
  OpenRequest& add(const std::string& id, RequestPhase phase) {
    OpenRequest& request = requests_[id];
    request.pending.id = id;
    request.number_ = ++lastNumber_;
    request.phase_ = phase;
    undecided_ += request.isUndecided() ? 1 : 0;
    return request;
  }
  void erase(const std::string& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    undecided_ -= found->second.isUndecided() ? 1 : 0;
    requests_.erase(found);
  }

  // Changes the phase from kUnanswered to kAccepted. Returns false, without a change, if the request has been
  // decided before.
  bool accept(OpenRequest& request) {
    return changePhase(request, request.phase_ == RequestPhase::kUnanswered, RequestPhase::kAccepted);
  }
  // Changes the phase from kUnanswered to kRejected; returns false as `accept` does.
  bool reject(OpenRequest& request) {
    return changePhase(request, request.phase_ == RequestPhase::kUnanswered, RequestPhase::kRejected);
  }
  // Changes the phase from kUnanswered to kRejected, or from kAccepted to kGivenUp, and returns the new
  // phase. Returns std::nullopt, without a change, if the request has been decided before.
  std::optional<RequestPhase> giveUp(OpenRequest& request) {
    const bool isAccepted = request.phase_ == RequestPhase::kAccepted;
    const RequestPhase next = isAccepted ? RequestPhase::kGivenUp : RequestPhase::kRejected;
    return changePhase(request, request.isUndecided(), next) ? std::optional(next) : std::nullopt;
  }
  bool empty() const { return requests_.empty(); }
  Requests::iterator begin() { return requests_.begin(); }
  Requests::iterator end() { return requests_.end(); }

  // Number of requests that the decision module has and has not completed.
  std::size_t undecided() const { return undecided_; }

 private:
  bool changePhase(OpenRequest& request, bool isAllowed, RequestPhase next) {
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
