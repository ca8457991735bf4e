// Field names, defined by the simulator, that several files of the adapter use.
#pragma once

namespace myrtleloft::wire {

inline constexpr const char* kInstanceId = "forwarderId";
inline constexpr const char* kRequestId = "corr";
inline constexpr const char* kEndpoint = "target";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kTimerToken = "keyBack";

}  // namespace myrtleloft::wire
