#include "relay/startup_retry.h"

#include <cerrno>

namespace myrtleloft {
namespace {

constexpr double kTransientLimitMs = 60e3;
constexpr double kInUseLimitMs = 2e3;

}  // namespace

double retryLimitMs(int errorNumber) {
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
      return kTransientLimitMs;
    case EADDRINUSE:
    case EWOULDBLOCK:  // another process holds the folder lock
      return kInUseLimitMs;
    default:
      return 0;
  }
}

}  // namespace myrtleloft
