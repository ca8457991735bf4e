// Why a client's connection was closed: for the counters and the log.
#pragma once

#include <cstdint>

namespace myrtleloft {

enum class CloseReason : std::uint8_t {
  kAnswered,     // behind its last answer, as between two requests where the relay retires
  kIdle,         // nothing came for long, before or between requests
  kEvicted,      // to make room
  kSlow,         // its client took too long to read its answer
  kFlooded,      // it went on sending behind its last answer
  kClientEnded,  // its client had ended its sending, or all of it
  kBroken,       // the connection broke
  kWriteFailed,  // ... as an answer was written
  kProcessEnds
};
inline const char* nameOf(CloseReason reason) {
  constexpr const char* kNames[] = {"answered",     "idle",   "evicted",      "slow",        "flooded",
                                    "client-ended", "broken", "write-failed", "process-ends"};
  return kNames[static_cast<std::size_t>(reason)];
}
// Whether the client had gone before: nobody is left to be answered.
inline bool byClient(CloseReason reason) {
  return reason == CloseReason::kClientEnded || reason == CloseReason::kBroken ||
         reason == CloseReason::kWriteFailed;
}

}  // namespace myrtleloft
