// Bugs that tests inject to show that the checks detect them. Without MYRTLELOFT_PLANTED, `isInjected` is
// constexpr false, so that the relay program contains none of this code.
#pragma once

#include <cstdint>

namespace myrtleloft {

enum class InjectedBug : std::uint8_t {
  kNone,
  kNoFence,                 // a new owner reads from a replica without fencing it
  kDurableWithoutReplicas,  // records count as durable before the replicas acknowledge them
  kCompletionsIgnored,      // replicas ignore completions
  kCallsAfterLease,         // a call starts after the lease has expired
  kEmptyAcceptorVotes,      // an acceptor with an empty folder is active at once
  kStaleGenerationsCount,   // responses of superseded folder generations count
  kNewOwnerDoesNotWait,     // a new owner acts before the former owner's lease expires
  kOnlyEpochCompared,       // a change compares the epoch but not the rest of the state
  kOneAckSuffices,          // the acknowledgment of one replica makes a record durable
};

#ifdef MYRTLELOFT_PLANTED
inline InjectedBug injectedBug = InjectedBug::kNone;
inline bool isInjected(InjectedBug bug) { return injectedBug == bug; }
#else
constexpr bool isInjected(InjectedBug) { return false; }
#endif

}  // namespace myrtleloft
