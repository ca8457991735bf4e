#include "lab/fault_shim_state.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

namespace myrtleloft::lab::shim {
namespace {

constexpr int kMostFds = 65536;
constexpr std::uint64_t kMostDelayMs = 150;
constexpr std::uint64_t kLeastStandMs = 200, kMostStandMs = 300;
// One stand is a stall; several in a row would be an outage of the process, which no rule allows for.
constexpr std::int64_t kBetweenStandsMs = 1000;

std::int64_t monotonicMs() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1'000'000;
}

void pauseMs(std::uint64_t ms) {
  const timespec pause{0, static_cast<long>(ms) * 1'000'000};
  ::nanosleep(&pause, nullptr);
}
// Holds the process up, and notes when.
void holdUp(std::uint64_t ms) {
  const std::int64_t fromMs = monotonicMs();
  page()->holdingSinceMs = fromMs;
  pauseMs(ms);
  const std::uint64_t number = page()->holdCount;
  FaultHold& hold = page()->holds.at(number % kFaultHolds);
  hold.fromMs = fromMs;
  hold.toMs = monotonicMs();
  page()->holdCount = number + 1;
  page()->holdingSinceMs = 0;
}
std::array<std::atomic<FdKind>, kMostFds> fdKinds;

FaultPage* mapPage() {
  const char* const path = ::getenv(kShimPageVariable);
  if (!path) return nullptr;
  static const auto open = real<int(const char*, int, ...)>("open");
  const int fd = open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* const memory = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  static const auto close = real<int(int)>("close");
  close(fd);
  return memory == MAP_FAILED ? nullptr : static_cast<FaultPage*>(memory);
}

}  // namespace

FaultPage* page() {
  static FaultPage* const mapped = mapPage();
  return mapped;
}

// SplitMix64, one stream for the process.
std::uint64_t nextRandom() {
  static std::atomic<std::uint64_t> state{page()->seed + static_cast<std::uint64_t>(::getpid()) * 0x9E3779B9};
  std::uint64_t z = state += 0x9E3779B97F4A7C15;
  z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9;
  z = (z ^ (z >> 27)) * 0x94D049BB133111EB;
  return z ^ (z >> 31);
}

bool drawn(std::uint32_t perMille) { return perMille > 0 && nextRandom() % 1000 < perMille; }

bool scripted(ShimCall call) {
  if (!page() || page()->scripted != call || page()->scriptedLeft <= 0) return false;
  --page()->scriptedLeft;
  errno = page()->scriptedError;
  return true;
}

void setKind(int fd, FdKind kind) {
  if (fd >= 0 && fd < kMostFds) fdKinds[static_cast<std::size_t>(fd)] = kind;
}

FdKind kindOf(int fd) {
  return fd >= 0 && fd < kMostFds ? fdKinds[static_cast<std::size_t>(fd)].load() : FdKind::kOther;
}

// A process may be held up at any moment, here between reading its clock and writing.
void maybeDelay() {
  if (!page() || !drawn(page()->delayPerMille)) return;
  ++page()->delays;
  holdUp(nextRandom() % kMostDelayMs);
}

void slowSync() {
  if (page() && page()->syncMs > 0) pauseMs(page()->syncMs);
}

void stand() {
  static std::atomic<std::int64_t> nextMs{0};
  if (monotonicMs() < nextMs) return;
  ++page()->stands;
  holdUp(kLeastStandMs + nextRandom() % (kMostStandMs - kLeastStandMs));
  nextMs = monotonicMs() + kBetweenStandsMs;
}

}  // namespace myrtleloft::lab::shim
