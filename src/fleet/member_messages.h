// What the members of a fleet say to each other: a question, its reply, and with both some news of others.
//
//   std::string payload = encodeMembers(question);
//   Ping question;
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
enum class MemberState : std::uint8_t {
  kUnknown,  // never heard of since the own start; not spread
  kAlive,
  kSuspect,  // silent to one relay and to those whom it asked; it may deny it with a higher `denial`
  kDead,     // suspect for so long that it would have heard of it and denied it, and silent when asked again
};

// What one relay has to tell of another: spread with questions and replies, newest first, a few at a time.
struct GossipUpdate {
  std::string name;
  Incarnation incarnation;
  std::uint64_t denial = 0;  // only the relay itself raises it, to take back a suspicion or a death
  MemberState state = MemberState::kUnknown;
  std::string building;  // as the relay introduced itself; empty: not told
  friend bool operator==(const GossipUpdate&, const GossipUpdate&) = default;
};

struct Ping {
  std::uint64_t number = 0;  // the asker's own, from 1
  std::string target;        // empty: the one asked; else it asks that one in its turn
  std::string onBehalfOf;    // who wants to know, where the asker does not ask for itself
  std::vector<GossipUpdate> updates;
};

inline constexpr std::uint32_t kNeverHeard = 0xffffffff;

struct PingReply {
  std::uint64_t number = 0;  // the question's
  bool reached = true;       // false: the third did not answer in its time
  // How long before its reply the one asked about had heard, by itself, the one that wants to know.
  std::uint32_t heardMsAgo = kNeverHeard;
  std::vector<GossipUpdate> updates;
};

// A payload with more, or longer ones, is none.
inline constexpr std::size_t kMaxGossipUpdates = 16;
inline constexpr std::size_t kMaxMemberNameBytes = 64;
inline constexpr std::uint64_t kMaxDenial = std::uint64_t{1} << 48;

std::string encodeMembers(const Ping& ping);
std::string encodeMembers(const PingReply& reply);
// false: too short, too long, or a value that no relay means; `out` is as it was.
bool decodeMembers(std::string_view payload, Ping& out);
bool decodeMembers(std::string_view payload, PingReply& out);

}  // namespace myrtleloft
