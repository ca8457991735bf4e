#include "discovery/removal_guard.h"

namespace myrtleloft {

bool RemovalGuard::keepsMissing(std::size_t known, std::size_t missing, double nowMs) {
  if (active()) return !expired(nowMs);
  if (!enabled() || missing < tuning_.minMissing) return false;
  if (static_cast<double>(missing) <= tuning_.missingShare * static_cast<double>(known)) return false;
  untilMs_ = nowMs + tuning_.maxKeepMs;
  return true;
}

}  // namespace myrtleloft
