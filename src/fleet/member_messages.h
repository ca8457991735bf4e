// Membership messages: pings and their replies. Both carry gossip updates about other relays.
//
//   std::string payload = encodeMembers(ping);
//   Ping ping;
//   if (!decodeMembers(payload, ping)) ...     // not a ping; `ping` is unchanged
//
// O(size). Decoding checks all bounds, so that later code need not check them again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/message.h"

namespace myrtleloft {

// In ascending precedence: a higher state overrides a lower one at the same incarnation and denial.
enum class MemberState : std::uint8_t {
  kUnknown,  // not known since this relay started; not spread
  kAlive,
  kSuspect,  // did not answer one relay or its helpers; refutes this with a higher `denial`
  kDead,     // suspect for the whole suspicion timeout without a denial, and silent when pinged again
};

// State of one relay as another knows it, piggybacked on pings and replies: newest first, a few per message.
struct GossipUpdate {
  std::string name;
  Incarnation incarnation;
  std::uint64_t denial = 0;  // raised only by the relay itself, to refute a suspicion or a death
  MemberState state = MemberState::kUnknown;
  std::string building;  // as in its introduction; empty if not stated
  friend bool operator==(const GossipUpdate&, const GossipUpdate&) = default;
};

struct Ping {
  std::uint64_t number = 0;  // assigned by the sender, from 1
  std::string target;        // empty for a direct ping, else the relay that the receiver is to ping
  std::string onBehalfOf;    // the relay that requested an indirect ping; empty for a direct one
  std::vector<GossipUpdate> updates;
};

inline constexpr std::uint32_t kNeverHeard = 0xffffffff;

struct PingReply {
  std::uint64_t number = 0;  // number of the ping
  bool reached = true;       // false if the target did not answer the helper in time
  // Milliseconds between the last message that the target received from the requesting relay itself and its
  // reply.
  std::uint32_t heardMsAgo = kNeverHeard;
  std::vector<GossipUpdate> updates;
};

// Bounds of a message; a payload beyond them is not valid.
inline constexpr std::size_t kMaxGossipUpdates = 16;
inline constexpr std::size_t kMaxMemberNameBytes = 64;
inline constexpr std::uint64_t kMaxDenial = std::uint64_t{1} << 48;

std::string encodeMembers(const Ping& ping);
std::string encodeMembers(const PingReply& reply);
// Returns false, leaving `out` unchanged, if the payload has the wrong length or an invalid value.
bool decodeMembers(std::string_view payload, Ping& out);
bool decodeMembers(std::string_view payload, PingReply& out);

}  // namespace myrtleloft
