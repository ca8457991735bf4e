// Protects against a directory that suddenly omits most of its endpoints; compare the self-preservation mode
// of Netflix Eureka and the panic threshold of Envoy. If a complete list omits too many endpoints at once,
// they are retained for a while. Endpoints that the directory explicitly announces as `left` or `leaving` are
// removed or drained immediately. The guard expires, because in the end the directory is authoritative.
//
//   if (guard.keepsMissing(known.size(), missing.size(), nowMs)) ...   // retain the missing endpoints for
//   now if (guard.expired(nowMs)) ...                                      // remove them
//
// Not thread-safe. No I/O. All functions are O(1). Times are in milliseconds on the steady clock, and above
// 0.
#pragma once

#include <cstddef>

namespace myrtleloft {

struct GuardTuning {
  double missingShare = 0;  // the share of omitted endpoints, in [0, 1], above which the guard is activated;
                            // 0 disables it
  double maxKeepMs = 60e3;  // how long endpoints are retained after the activation; further lists that omit
                            // them do not extend this
  std::size_t minMissing = 3;  // fewer endpoints are removed immediately, whatever their share
};

class RemovalGuard {
 public:
  explicit RemovalGuard(const GuardTuning& tuning = {}) : tuning_(tuning) {}

  bool enabled() const { return tuning_.missingShare > 0; }
  // Whether to retain the endpoints if a complete list omits `missing` of `known` ones. Activates the guard
  // if so.
  bool keepsMissing(std::size_t known, std::size_t missing, double nowMs);
  // Deactivates the guard, because no endpoint is missing any more or the missing ones were removed.
  void close() { untilMs_ = 0; }
  bool active() const { return untilMs_ > 0; }
  bool expired(double nowMs) const { return active() && nowMs >= untilMs_; }
  // When the guard expires, or 0 if it is not active.
  double untilMs() const { return untilMs_; }

 private:
  GuardTuning tuning_;
  double untilMs_ = 0;
};

}  // namespace myrtleloft
