// Which relays of the fleet are there: decided without I/O, time and random numbers passed in. In the manner
// of SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's care for an own stall (Dadgar, Phillips, Currey,
// 2018), on a list of peers that the operator wrote.
//
//   Members members(tuning, {"n1", incarnation}, {"n2", "n3"}, seed);
//   Members::Step step = members.onTick(nowMs);        // at least by `step.nextMs`
//   for (MemberSend& send : step.sends) ...            // lost ones do no harm
//   step = members.onQuestion(nowMs, "n2", question);
//
// What a standing means: it is a guess from silence, and nobody may act for another on it alone. It may only
// start a takeover, which succeeds by the fence at the holders (docs/design/copies.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/message.h"

namespace myrtleloft {

enum class Standing : std::uint8_t {
  kUnknown,  // never heard of since the own start
  kAlive,
  kSuspect,  // silent to us and to those whom we asked; it may deny it with a higher `denial`
  kDead,     // suspect for so long that it would have heard of it and denied it
};

// What one relay has to tell of another: spread with questions and replies, newest first, a few at a time.
struct MemberNews {
  std::string name;
  Incarnation incarnation;
  std::uint64_t denial = 0;  // only the relay itself raises it, to take back a suspicion
  Standing standing = Standing::kUnknown;
};

struct MemberQuestion {
  std::uint64_t number = 0;
  std::string about;  // empty: the one asked
  std::vector<MemberNews> news;
};

struct MemberReply {
  std::uint64_t number = 0;  // the question's
  bool reached = true;       // false: the third did not answer in its time
  std::vector<MemberNews> news;
};

}  // namespace myrtleloft
