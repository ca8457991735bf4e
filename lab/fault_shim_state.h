// What the parts of the system-call shim (lab/fault_shim.h) share: the page, random numbers, and what each
// descriptor is. Its functions are the shim's alone and not to be called by programs.
#pragma once

#include <dlfcn.h>
#include <errno.h>

#include <array>
#include <cstdint>

#include "lab/fault_shim.h"

namespace myrtleloft::lab::shim {

enum class FdKind : char { kOther, kDisk, kAccepted, kConnected };

// The function of that name that the shim stands before.
template <typename F>
F* real(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

// None: nothing is to fail.
FaultPage* page();
std::uint64_t nextRandom();
bool drawn(std::uint32_t perMille);

// Whether the test wants this very call to fail; sets errno.
bool scripted(ShimCall call);

void setKind(int fd, FdKind kind);
FdKind kindOf(int fd);

// A process may be held up at any moment, here between reading its clock and writing.
void maybeDelay();
// A sync takes longer, as the page asks.
void slowSync();
// Stands still long enough that a call which leaves by what was known before comes too late for an answer
// from the beginning of it; nothing within a second of the last time.
void stand();

// Sets errno to one of these, and returns -1.
template <std::size_t N>
int failWith(const std::array<int, N>& errors) {
  errno = errors[nextRandom() % N];
  return -1;
}

}  // namespace myrtleloft::lab::shim
