// Checks the rules for a single request once more just before a step that cannot be undone: sending a call's
// first byte, rejecting a request, or taking over requests of an earlier process. The decision module
// decides, and the request manager acts on the decision later: syncs, the wait for call slots and slow
// connections come in between. The guard shares no state with the module, so that an error in either becomes
// visible. Each violation is counted and logged.
//
//   if (const std::optional<Violation> violation = guard.violationOfSend(facts))
//     return guard.report(*violation, id);   // the call must not be sent
//
// Some violations are not errors of the program: kAfterDeadline, kOutsideWindow, kDraining and
// kBeforeRetryAfter occur if the process is suspended between a decision and the first byte of its call.
// `isFault` tells them from violations that no timing explains. No I/O except the log; single-threaded; O(log
// endpoints).
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
  kAfterCompletion,        // a call for a request that is completed or unknown
  kAfterDeadline,          // a call after the deadline
  kNonIdempotentRepeated,  // a retry of a non-idempotent request that may have been executed
  kOutsideWindow,          // a retry with a key after its idempotency window
  kOutsideScope,           // a retry at an endpoint outside the key's deduplication scope
  kHedged,                 // a call while another call of the same request is in flight
  kDraining,               // a call to an endpoint that drains, was removed, or has another address
  kBeforeRetryAfter,       // a call before the end of a stated Retry-After
  kRejectedAfterAttempt,   // a rejection of a request that may have been executed
  kFutureRecord,           // a recovered record with a time in the future
};
inline constexpr std::size_t kViolations = Counters::kGuardKinds;
// Returns the violation's name in the log.
const char* nameOf(Violation violation);
// Whether only an error of the program can explain the violation.
bool isFault(Violation violation);

// The state of a request whose call is about to be sent; its last ambiguous attempt belongs to this call.
// Times are on the loop's clock, in milliseconds.
struct SendFacts {
  const PendingRequest& pending;
  const EndpointRecord* endpoint = nullptr;  // null if it is no longer in the list
  std::string_view address;                  // the address that the call is sent to
  double nowMs = 0;
  double deadlineMs = 0;
  double firstAmbiguousMs = 0;  // when the first ambiguous attempt was decided
  bool anotherInFlight = false;
};

class RuleGuard {
 public:
  // `settings` and `counters` must outlive the guard.
  RuleGuard(const Settings& settings, Counters& counters, Log log)
      : settings_(settings), counters_(counters), log_(std::move(log)) {}

  // Returns the rule that the call would break, or std::nullopt if it may be sent.
  std::optional<Violation> violationOfSend(const SendFacts& facts) const;
  // Whether the request may be rejected: it was not executed, or a second execution does no harm.
  bool mayReject(const PendingRequest& pending) const;
  // Whether the next process would be allowed to reject the request, according to the journal's records.
  bool mayNextProcessReject(const PendingRequest& pending) const;
  // An endpoint has stated a Retry-After of that many milliseconds.
  void onRetryAfter(const EndpointRecord& endpoint, double nowMs, double retryAfterMs);
  // Checks a request of an earlier process; `nowMs` is the journal's current time.
  void onRecovered(const PendingRequest& pending, double nowMs);
  // Counts and logs a violation.
  void report(Violation violation, const std::string& id);

 private:
  // Returns the name of the upstream whose limit covers that endpoint.
  std::string upstreamOf(const EndpointRecord& endpoint) const;
  // Whether a second execution at the destination would do no harm.
  bool mayExecuteAgain(const PendingRequest& pending) const;
  std::optional<Violation> violationOfRetry(const SendFacts& facts, const ClassSettings& requestClass) const;

  const Settings& settings_;
  Counters& counters_;
  Log log_;
  std::map<std::string, double, std::less<>> retryAfterUntilMs_;  // by upstream name
};

}  // namespace myrtleloft
