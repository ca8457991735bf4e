// Reasons for rejecting a request before its 202, as stated in the log event `request.rejected`.
//
//   trace.rejected(id, nameOf(RejectReason::kFull), retryAfterMs);
//
// Constants only; thread-safe; O(1).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace myrtleloft {

enum class RejectReason : std::uint8_t {
  kDraining,            // the relay is draining
  kFull,                // the limit on pending requests is reached
  kSyncBacklog,         // too many batches wait for a sync of the journal
  kUnknownDestination,  // no endpoint list has named its destination
  kStaleList,           // the endpoint list is too old for its class
  kQuota,               // a quota of its tenant is used up
  kNotRecorded,         // the journal could not record it
  kFailed,              // the decision module gave it up; it may have been executed
  kNotExecuted          // the decision module gave it up; it was certainly not executed
};

// Returns the reason's name in the log. Operators search for it, so it must not change.
inline const char* nameOf(RejectReason reason) {
  constexpr std::array kNames = {"draining",   "full",  "sync-backlog", "unknown-destination",
                                 "stale-list", "quota", "not-recorded", "failed",
                                 "returned"};
  return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace myrtleloft
