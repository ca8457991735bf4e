#include "discovery/removal_guard.h"

namespace myrtleloft {

bool RemovalGuard::open(std::size_t known, std::size_t missing, double nowMs) {
  if (holding()) return !over(nowMs);
  if (!on() || missing < tuning_.least) return false;
  if (static_cast<double>(missing) <= tuning_.share * static_cast<double>(known)) return false;
  untilMs_ = nowMs + tuning_.holdMs;
  return true;
}

}  // namespace myrtleloft
