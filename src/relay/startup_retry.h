// Why a relay could not start, and how long the start is retried.
//
//   if (const std::optional<StartupFailure> failure = process.start())
//     if (sinceFirstAttemptMs >= retryLimitMs(failure->errorNumber)) return giveUp(*failure);
//
// Stateless; thread-safe; O(1).
#pragma once

#include <string>

namespace myrtleloft {

struct StartupFailure {
  std::string text;     // for the log: operation, file or address, and reason
  int errorNumber = 0;  // its errno; 0 if there is none, as for a file of a newer version
};

// Returns for how many milliseconds, from the first attempt on, a start that fails with that errno is
// retried:
// - one minute if the cause may pass by itself: descriptors, memory, buffers or ports are used up for a
//   moment, or a disk fails or is full for a while. After that, whoever started the relay must learn of the
//   failure.
// - two seconds if another process holds the address or the folder lock: a predecessor that was killed has
//   released them by then.
// - 0 (no retry) for all other causes, such as a folder that is missing or not writable.
double retryLimitMs(int errorNumber);

// Time between two attempts, in milliseconds, and so the longest delay of a start after its cause has passed.
inline constexpr double kStartupRetryIntervalMs = 100;

}  // namespace myrtleloft
