// Bugs that the tests plant to see them found. The program is built without MYRTLELOFT_PLANTED: `planted` is
// then false for all, and nothing of them is left in it.
#pragma once

#include <cstdint>

namespace myrtleloft {

enum class Flaw : std::uint8_t {
  kNone,
  kNoFence,          // an heir reads what a holder has and leaves it unfenced
  kPromiseAlone,     // a promise before the copies are held
  kEndedRevives,     // holders do not take ends
  kStalledCalls,     // a call begins on an old lease
  kAmnesiacVotes,    // a voter with an empty folder votes at once
  kOldLivesCount,    // votes of a life that another voter knows to be over are counted
  kHeirDoesNotWait,  // an heir acts at once
  kEpochAlone,       // a change compares the epoch and not what is decided under it
  kHalfAnEnsemble,   // one holder's word is enough for a promise
};

#ifdef MYRTLELOFT_PLANTED
inline Flaw plantedFlaw = Flaw::kNone;
inline bool planted(Flaw flaw) { return plantedFlaw == flaw; }
#else
constexpr bool planted(Flaw) { return false; }
#endif

}  // namespace myrtleloft
