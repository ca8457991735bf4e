#include "policy/startup_policy.h"

#include <algorithm>
#include <array>
#include <cerrno>

namespace myrtleloft {
namespace {

constexpr double kReadyLimitMs = 30e3;
constexpr double kExhaustedLimitMs = 60e3;
constexpr double kOptionalLimitMs = 5e3;

}  // namespace

UnavailableCause causeOf(int errorNumber) {
  switch (errorNumber) {
    case EIO:
    case ENOSPC:
    case EDQUOT:
    case EINTR:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
      return UnavailableCause::kExhausted;
    case EADDRINUSE:
    case EWOULDBLOCK:  // another process holds the folder lock
      return UnavailableCause::kHeld;
    case ENOENT:
    case ENOTDIR:
    case EACCES:
    case EPERM:
    case EROFS:
    case EBUSY:
    case ENODEV:
    case ENXIO:
    case ESTALE:
    case ETIMEDOUT:
      return UnavailableCause::kMissing;
    default:
      return UnavailableCause::kPermanent;
  }
}

double waitLimitMs(UnavailableCause cause) {
  switch (cause) {
    case UnavailableCause::kMissing:
    case UnavailableCause::kHeld:
      return kReadyLimitMs;
    case UnavailableCause::kExhausted:
      return kExhaustedLimitMs;
    case UnavailableCause::kPermanent:
      break;
  }
  return 0;
}

bool mayWait(UnavailableCause cause, double waitedMs) { return waitedMs < waitLimitMs(cause); }

bool mayWaitForOptional(UnavailableCause cause, double waitedMs) {
  return waitedMs < std::min(waitLimitMs(cause), kOptionalLimitMs);
}

const char* nameOf(StartupRequirement requirement) {
  constexpr std::array<const char*, kStartupRequirements> kNames = {
      "configuration", "signals", "listen-address", "state-folder", "fleet-address"};
  return kNames.at(static_cast<std::size_t>(requirement));
}

StartupChecklist::StartupChecklist(std::initializer_list<StartupRequirement> requirements) {
  for (const StartupRequirement requirement : requirements) require(requirement);
}

std::optional<StartupRequirement> StartupChecklist::firstUnmet() const {
  for (std::size_t i = 0; i < kStartupRequirements; ++i)
    if (unmet_.test(i)) return static_cast<StartupRequirement>(i);
  return std::nullopt;
}

}  // namespace myrtleloft
