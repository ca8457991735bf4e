#include "relay/start_fault.h"

#include <cerrno>

namespace myrtleloft {

bool mayPass(int error) {
  switch (error) {
    case EIO:
    case ENOSPC:
    case EDQUOT:
    case EAGAIN:
    case EINTR:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
      return true;
    default:
      return false;
  }
}

}  // namespace myrtleloft
