// Decides what a start or a reload waits for and for how long, what ends the process, and when a start may
// take over pending requests.
//
//   if (!mayWait(causeOf(errno), nowMs - firstAttemptMs)) return giveUp();   // otherwise try again later
//
//   StartupChecklist checklist({StartupRequirement::kConfiguration, StartupRequirement::kStateFolder});
//   checklist.meet(StartupRequirement::kConfiguration);
//   if (const auto missing = checklist.firstUnmet()) ...   // must not take over any request yet
//
// A start never replaces what is missing by a guess, such as an older file: it waits or ends. No I/O and no
// clock; times are in milliseconds. Thread-safe except for StartupChecklist, which one thread uses. O(1).
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>

namespace myrtleloft {

// Why something that a start or a reload needs cannot be had.
enum class UnavailableCause : std::uint8_t {
  kPermanent,  // waiting does not help: a variable that is not set, a file that is complete and invalid
  kMissing,    // a file or folder is not there, cannot be read or is incomplete: it may be provided late
  kHeld,       // another process uses the address or the folder: a predecessor that drains or is being ended
  kExhausted,  // descriptors, memory or ports are used up, or the disk is full or fails
};

struct StartupFailure {
  std::string text;  // for the log: operation, file or address, and reason
  UnavailableCause cause = UnavailableCause::kPermanent;
};

// Returns the cause that an errno stands for; kPermanent for 0 and for values that are not expected.
UnavailableCause causeOf(int errorNumber);

// Returns for how many milliseconds, from the first attempt on, a failure of that cause is waited for:
// - 30 s for what others provide or release. The platform lets a relay take so long to become ready, and a
//   predecessor that drains has ended by then.
// - 60 s for exhausted resources and a failing disk. After that, whoever started the relay must learn of it.
// - 0 for permanent causes.
double waitLimitMs(UnavailableCause cause);
// Whether a failure of that cause is waited for after `waitedMs`.
bool mayWait(UnavailableCause cause, double waitedMs);
// The same for something that a start can do without in the end: for 5 s at most, so that a restarted relay
// is ready within the 6 to 10 s that the platform expects.
bool mayWaitForOptional(UnavailableCause cause, double waitedMs);

// Time between two attempts, and so the longest delay of a start or a reload after its cause has passed.
inline constexpr double kStartupRetryIntervalMs = 100;

// What a process must have before it takes over the pending requests of its folder.
enum class StartupRequirement : std::uint8_t {
  kConfiguration,  // complete and checked, with the operator's file if there is one
  kSignals,        // stop signals are handled
  kListenAddress,
  kStateFolder,  // locked and read
  kFleetAddress,
};
inline constexpr std::size_t kStartupRequirements = 5;
// Returns the requirement's name in the log.
const char* nameOf(StartupRequirement requirement);

class StartupChecklist {
 public:
  explicit StartupChecklist(std::initializer_list<StartupRequirement> requirements);
  void require(StartupRequirement requirement) { unmet_.set(indexOf(requirement)); }
  void meet(StartupRequirement requirement) { unmet_.reset(indexOf(requirement)); }
  // Returns std::nullopt if all requirements are met.
  std::optional<StartupRequirement> firstUnmet() const;

 private:
  static std::size_t indexOf(StartupRequirement requirement) { return static_cast<std::size_t>(requirement); }

  std::bitset<kStartupRequirements> unmet_;
};

}  // namespace myrtleloft
