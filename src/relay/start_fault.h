// Why a relay could not start, and whether waiting may help.
//
//   if (const std::optional<StartFault> fault = impl.start())
//     if (!mayPass(fault->error)) return giveUp(*fault);
//
// No state; safe for several threads.
#pragma once

#include <string>

namespace myrtleloft {

struct StartFault {
  std::string text;
  int error = 0;  // the errno behind it; 0: none, as with a file of a newer version
};

// Whether what failed with that errno may work a little later, with nobody doing anything: descriptors,
// memory, buffers and ports run short for a moment, a disk fails or is full for a while. A folder that is not
// there, or may not be written, an address and a folder that another process holds: those stay as they are.
bool mayPass(int error);

// Between two tries, in ms: a fault that has gone delays the start by no more.
inline constexpr double kStartAgainMs = 100;
// How long a start waits for such faults to pass, in ms. By then whoever started it had better hear of it.
inline constexpr double kStartPatienceMs = 60e3;

}  // namespace myrtleloft
