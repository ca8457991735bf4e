// What the members of a fleet say to each other: a question, its reply, and with both some news of others.
//
//   std::string payload = encodeMembers(question);
//   MemberQuestion question;
//   if (!decodeMembers(payload, question)) ...     // not a question; nothing was taken
//
// O(size). Everything that comes in is bounded here, so that nobody behind has to ask.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/message.h"

namespace myrtleloft {

// In the order in which one overrides the other at the same incarnation and denial.
enum class Standing : std::uint8_t {
  kUnknown,  // never heard of since the own start; not spread
  kAlive,
  kSuspect,  // silent to one relay and to those whom it asked; it may deny it with a higher `denial`
  kDead,     // suspect for so long that it would have heard of it and denied it, and silent when asked again
};

// What one relay has to tell of another: spread with questions and replies, newest first, a few at a time.
struct MemberNews {
  std::string name;
  Incarnation incarnation;
  std::uint64_t denial = 0;  // only the relay itself raises it, to take back a suspicion or a death
  Standing standing = Standing::kUnknown;
  std::string building;  // as the relay introduced itself; empty: not told
  friend bool operator==(const MemberNews&, const MemberNews&) = default;
};

struct MemberQuestion {
  std::uint64_t number = 0;  // the asker's own, from 1
  std::string about;         // empty: the one asked; else it asks that one in its turn
  std::string behalf;        // who wants to know, where the asker does not ask for itself
  std::vector<MemberNews> news;
};

inline constexpr std::uint32_t kNeverHeard = 0xffffffff;

struct MemberReply {
  std::uint64_t number = 0;  // the question's
  bool reached = true;       // false: the third did not answer in its time
  // How long before its reply the one asked about had heard, by itself, the one that wants to know.
  std::uint32_t heardMsAgo = kNeverHeard;
  std::vector<MemberNews> news;
};

// A payload with more, or longer ones, is none.
inline constexpr std::size_t kMostMemberNews = 16;
inline constexpr std::size_t kMostMemberName = 64;
inline constexpr std::uint64_t kMostDenial = std::uint64_t{1} << 48;

std::string encodeMembers(const MemberQuestion& question);
std::string encodeMembers(const MemberReply& reply);
// false: too short, too long, or a value that no relay means; `out` is as it was.
bool decodeMembers(std::string_view payload, MemberQuestion& out);
bool decodeMembers(std::string_view payload, MemberReply& out);

}  // namespace myrtleloft
