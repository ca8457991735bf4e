// What a test tells the system-call shim of one relay (lab/fault_shim_*.cpp): a page of shared memory in a
// file, written by the lab and read by each process that runs with the shim.
//
//   FaultShim shim(folder + "/shim", seed);          // makes the page
//   shim.stepWallClock(-5000);                       // stays for all later processes
//   shim.failDisk(DiskFault::kNoSpace);
//   program.setEnvironment(shim.environment(MYRTLELOFT_FAULT_SHIM));
//
// All members are lock-free atomics, so both sides may use them at any time.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace myrtleloft::lab {

inline constexpr const char* kShimPageVariable = "MYRTLELOFT_FAULT_SHIM_PAGE";

enum class DiskFault : std::uint32_t {
  kNone,
  kIoError,     // each operation that changes something fails with EIO
  kNoSpace,     // files can neither grow nor be made: ENOSPC; cutting and removing work
  kHalfWrites,  // like kNoSpace, after half of what is written has reached the file
  kAfterSync,   // nothing, until the next fdatasync: that fails, and all after it as with kIoError
};

// Calls that can be made to fail a given number of times, in place of by chance.
enum class ShimCall : std::uint32_t {
  kNone,
  kSocket,
  kSignalfd,
  kConnect,
  kSendAccepted,
  kRecvAccepted,
  kOpenConfig,      // open of a file config.json
  kOpenCachedList,  // open of the state folder's cached endpoint list to read it
};

// A span in which the shim held up the process, in ms of the monotonic clock.
struct FaultHold {
  std::atomic<std::int64_t> fromMs{0}, toMs{0};
};
inline constexpr std::size_t kFaultHolds = 64;

// The shared page. Rates are in thousandths of the calls.
struct FaultPage {
  std::atomic<std::uint64_t> seed{1};
  std::atomic<std::int64_t> wallStepMs{0};        // added to CLOCK_REALTIME; the other clocks stay
  std::atomic<std::uint32_t> networkPerMille{0};  // of socket, accept4, connect, poll, recv, send
  std::atomic<std::uint32_t> delayPerMille{0};    // of send and write: they begin up to 150 ms late
  std::atomic<std::uint32_t> standsPerMille{0};   // of poll with sockets to write: it stands before or behind
  std::atomic<DiskFault> disk{DiskFault::kNone};
  std::atomic<bool> hidesArrivals{false};  // TCP_INFO succeeds and fills nothing in
  std::atomic<std::uint32_t> syncMs{0};    // by how much each fdatasync takes longer
  // The latest spans in which a delay or a stand held the process up; the n-th stands at n % kFaultHolds.
  std::array<FaultHold, kFaultHolds> holds;
  std::atomic<std::uint64_t> holdCount{0};
  std::atomic<std::int64_t> holdingSinceMs{0};  // of the one that still lasts; 0: none does
  std::atomic<ShimCall> scripted{ShimCall::kNone};
  std::atomic<int> scriptedError{0}, scriptedLeft{0};
  std::atomic<std::uint64_t> failedCalls{0}, failedDisk{0}, delays{0}, stands{0};  // what the shim did
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// The lab's side of the page.
class FaultShim {
 public:
  // Throws std::runtime_error where the page cannot be made.
  FaultShim(std::string pagePath, std::uint64_t seed);
  ~FaultShim();
  FaultShim(const FaultShim&) = delete;
  FaultShim& operator=(const FaultShim&) = delete;

  // Moves the wall clock of the relay's machine by so many ms, for good.
  void stepWallClock(double ms) { page_->wallStepMs += static_cast<std::int64_t>(ms); }
  void failDisk(DiskFault fault) { page_->disk = fault; }
  void failNetwork(std::uint32_t perMille) { page_->networkPerMille = perMille; }
  // The next so many of these calls fail with that errno.
  void failNext(ShimCall call, int error, int count) {
    page_->scriptedError = error;
    page_->scriptedLeft = count;
    page_->scripted = call;
  }
  int scriptedLeft() const { return page_->scriptedLeft; }
  void delayWrites(std::uint32_t perMille) { page_->delayPerMille = perMille; }
  // Each sync takes so much longer; 0: none does.
  void slowSyncs(std::uint32_t ms) { page_->syncMs = ms; }
  // As on systems that know no TCP_INFO: nobody tells when bytes came.
  void hideArrivals() { page_->hidesArrivals = true; }
  // In so many of its turns with something to write to a socket, the process stands still for 200 to 300 ms.
  void standInPoll(std::uint32_t perMille) { page_->standsPerMille = perMille; }
  // Its process has been killed: whatever held it up is over.
  void forgetHold() { page_->holdingSinceMs = 0; }
  const FaultPage& page() const { return *page_; }

  // What a process needs in its environment to run with the shim at that path.
  std::vector<std::pair<std::string, std::string>> environment(const std::string& shimLibrary) const;

 private:
  std::string path_;
  FaultPage* page_ = nullptr;
};

}  // namespace myrtleloft::lab
