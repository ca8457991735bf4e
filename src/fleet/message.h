// Messages between the relays of a fleet, as the links see them: a kind and bytes. Each package encodes and
// decodes its own kinds; the links decode only the hello.
//
// Names of relays are those of the operator's `[fleet] peers` and do not change with a restart. An
// incarnation is one run of a relay's process. It is numbered from 1 in the state folder. `life` identifies
// the folder: it is drawn at random for each empty folder, so that a relay that lost its folder differs from
// one that restarted.
#pragma once

#include <cstdint>
#include <string>

namespace myrtleloft {

// Kinds of frames; each is one byte in the frame. A new kind, or a changed meaning of an existing one, needs
// a new `kFleetVersion`; links of different versions refuse each other.
enum class FleetKind : std::uint8_t {
  kHello = 1,      // links: introduction; the first frame in each direction, sent once
  kPing = 2,       // members: a ping, or a request to ping another relay
  kPingReply = 3,  // members: the answer to a ping
  kVoteAsk = 4,    // copies: one round of the register of a ledger
  kVote = 5,       // copies: the answer to kVoteAsk
  kCopy = 6,       // copies: records of a ledger to be stored
  kHeld = 7,       // copies: the position up to which records are stored
  kFence = 8,      // copies: accept no more records of that epoch, and return the stored ones
  kFenced = 9,     // copies: a part of the stored records
  kCounts = 10,    // popularity: counts of the relays of a building
  kHint = 11,      // popularity: what was learned of a destination, as a query or an answer
  kAudit = 12,     // audit: a node of the tree of decisions
};
inline constexpr std::uint8_t kFleetVersion = 1;

// Largest payload, in bytes; packages split longer contents into several messages.
inline constexpr std::size_t kMaxFleetPayloadBytes = 128 * 1024;

// One run of a relay's process.
struct Incarnation {
  std::uint64_t life = 0;   // random identifier of the state folder; 0 if not known
  std::uint64_t start = 0;  // number of the run in that folder, from 1; 0 if not known
  friend bool operator==(const Incarnation&, const Incarnation&) = default;
};

// Introduction of a relay, sent when a link is established.
struct PeerIntroduction {
  std::string fleet;     // `[fleet] name`
  std::string name;      // name of the relay
  std::string building;  // name of its zone; empty if not stated
  Incarnation incarnation;
};

}  // namespace myrtleloft
