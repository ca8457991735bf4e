// The rules for a single request, checked once more just before something that cannot be undone: a call's
// first byte, a rejection, a start with what an earlier process left. The decision module decides and the
// request manager carries out; between the two lie the disk, call slots and connections that come up late.
// The guard shares no state with the module, so that an error in either shows: each violation is counted and
// logged.
//
//   if (const std::optional<Violation> violation = guard.violationOfSend(facts))
//     return guard.report(*violation, id);   // and the call does not leave
//
// Some violations are no error of the program, as where the process was suspended between a decision and its
// first byte (kAfterDeadline, kOutsideWindow, kDraining, kBeforeRetryAfter); `isFault` distinguishes them
// from what no timing excuses. No I/O but the log; one thread; O(log endpoints).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "counters/counters.h"
#include "discovery/endpoint_table.h"
#include "journal/records.h"
#include "log/log.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

enum class Violation : std::uint8_t {
  kAfterCompletion,        // a call of a request that is completed, or unknown
  kAfterDeadline,          // a call after the deadline
  kNonIdempotentRepeated,  // a call of a non-idempotent request that may have been executed
  kOutsideWindow,          // a retry with a key after its idempotency window
  kOutsideScope,           // a retry at an endpoint that does not know its key
  kHedged,                 // a call while another of that request is in flight
  kDraining,               // a call at an endpoint that drains, is gone, or has moved
  kBeforeRetryAfter,       // a call before a stated Retry-After is over
  kRejectedAfterAttempt,   // a promise of no effect for one that may have been executed
  kFutureRecord,           // a start finds a record of a time to come
};
inline constexpr std::size_t kViolations = Counters::kGuardKinds;
// The word in the log and in the order of Counters::guard.
const char* wordOf(Violation violation);
// Whether only an error of the program explains it.
bool isFault(Violation violation);

// A request as a call with it is about to leave; its last ambiguous attempt is this call's own. Times are on
// the loop's clock, in ms.
struct SendFacts {
  const PendingRequest& pending;
  const EndpointRecord* endpoint = nullptr;  // none: no longer in the list
  std::string_view address;                  // where the call goes
  double nowMs = 0;
  double deadlineMs = 0;
  double firstAmbiguousMs = 0;  // when the first of its ambiguous attempts was decided
  bool anotherInFlight = false;
};

class RuleGuard {
 public:
  // `settings` and `counters` must outlive it.
  RuleGuard(const Settings& settings, Counters& counters, Log log)
      : settings_(settings), counters_(counters), log_(std::move(log)) {}

  // The rule that the call would break; none: it may leave.
  std::optional<Violation> violationOfSend(const SendFacts& facts) const;
  // Whether it may be promised that the request had no effect.
  bool mayReject(const PendingRequest& pending) const;
  // Whether the next process may promise so, by the records that there are.
  bool mayNextProcessReject(const PendingRequest& pending) const;
  // An endpoint has stated to take nothing for that many ms.
  void onRetryAfter(const EndpointRecord& endpoint, double nowMs, double retryAfterMs);
  // A request that an earlier process left; `nowMs` is the journal's time now.
  void onRecovered(const PendingRequest& pending, double nowMs);
  // Counts and logs a violation.
  void report(Violation violation, const std::string& id);

 private:
  // The name of the upstream whose limit covers that endpoint.
  std::string upstreamOf(const EndpointRecord& endpoint) const;
  // Whether another execution at its destination would do no harm.
  bool mayRunAgain(const PendingRequest& pending) const;
  std::optional<Violation> violationOfRetry(const SendFacts& facts, const ClassSettings& requestClass) const;

  const Settings& settings_;
  Counters& counters_;
  Log log_;
  std::map<std::string, double, std::less<>> retryAfterUntilMs_;  // by upstream
};

}  // namespace myrtleloft
