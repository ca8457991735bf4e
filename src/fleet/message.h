// What relays of a fleet say to each other, as far as their links know it: a kind and bytes. Each package
// encodes and decodes its own kinds; the links look at none of them but *hello*.
//
// Names of relays are the operator's (`[fleet] peers`), the same after a restart. An incarnation counts the
// starts of a relay with one state folder, from 1; it is kept there, so that one that lost its folder is told
// from one that merely restarted by its `Life`, which is drawn anew with each empty folder.
#pragma once

#include <cstdint>
#include <string>

namespace myrtleloft {

// The whole protocol: one byte each in a frame. A new kind, or another meaning of an old one, is a new
// `kFleetVersion`; links of different versions refuse each other.
enum class FleetKind : std::uint8_t {
  kHello = 1,      // links: who I am; the first frame in each direction, and never again
  kPing = 2,       // members: are you, or is a third, there?
  kPingReply = 3,  // members: what became of that question
  kVoteAsk = 4,    // copies: one round at the register of a ledger
  kVote = 5,       // copies: its answer
  kCopy = 6,       // copies: records of a ledger to be held
  kHeld = 7,       // copies: up to where they are held
  kFence = 8,      // copies: hold no more for that epoch, and say what is held
  kFenced = 9,     // copies: a part of what is held
  kCounts = 10,    // popularity: counts of a building's relays
  kHint = 11,      // popularity: what is learned of a destination, asked or told
  kAudit = 12,     // audit: a node of the tree of decisions
};
inline constexpr std::uint8_t kFleetVersion = 1;

// A payload is no longer; packages that have more to say send it in parts.
inline constexpr std::size_t kMaxFleetPayloadBytes = 128 * 1024;

// One start of one relay.
struct Incarnation {
  std::uint64_t life = 0;   // random, drawn when the state folder was empty; 0: not known
  std::uint64_t start = 0;  // how many starts with that folder; 0: not known
  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

// What a relay says of itself when a link comes up.
struct PeerIntroduction {
  std::string fleet;     // `[fleet] name`
  std::string name;      // of the relay
  std::string building;  // its zone's name; empty: not told
  Incarnation incarnation;
};

}  // namespace myrtleloft
