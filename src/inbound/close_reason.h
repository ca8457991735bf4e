// The reasons for closing a client's connection, used in counters and the log.
#pragma once

#include <cstdint>

namespace myrtleloft {

enum class CloseReason : std::uint8_t {
  kAnswered,     // after its last answer, or between requests while the relay drains
  kIdle,         // no input within the timeout, before or between requests
  kEvicted,      // to stay within the connection limit
  kSlow,         // the client took too long to read its answer
  kFlooded,      // the client kept sending after the last answer
  kClientEnded,  // the client had shut down its sending side or closed the connection
  kBroken,       // the connection failed
  kWriteFailed,  // the connection failed while an answer was written
  kProcessEnds
};
inline const char* nameOf(CloseReason reason) {
  constexpr const char* kNames[] = {"answered",     "idle",   "evicted",      "slow",        "flooded",
                                    "client-ended", "broken", "write-failed", "process-ends"};
  return kNames[static_cast<std::size_t>(reason)];
}
// Returns true if the client ended the connection, so that no answer can reach it.
inline bool byClient(CloseReason reason) {
  return reason == CloseReason::kClientEnded || reason == CloseReason::kBroken ||
         reason == CloseReason::kWriteFailed;
}

}  // namespace myrtleloft
