// Messages between the consistency checkers of two relays, sent with the fleet message kind kAudit.
//
//   DigestReport   sent each round: the version of the rules and the root digest so far; it has no answer
//   AuditQuestion  asks for the children of one node of the peer's digest tree
//   AuditAnswer    the children of that node; for a step, its input and output
//   AuditWindow    a recorded window of real traffic with the recorded decisions, to be replayed by the peer
//
// Each message names both processes by incarnation, so that messages from or to an earlier process are
// recognised, and ends with a checksum. A digest report takes 165 bytes; no message exceeds
// kMaxAuditMessageBytes.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "audit/hash.h"
#include "audit/rules_version.h"
#include "fleet/message.h"

namespace myrtleloft {

// A step takes at most half of this, a window at most three quarters.
inline constexpr std::size_t kMaxAuditMessageBytes = kMaxFleetPayloadBytes;

// Levels of the digest tree: each names the kind of children that a question asks for.
enum class NodeLevel : std::uint8_t { kBranches, kCases, kSteps, kStep };
// Identifies a node of the digest tree of one version.
struct NodeName {
  Hash version;
  NodeLevel level = NodeLevel::kBranches;
  std::uint32_t branches = 0;  // number of branches that the root covers
  std::uint32_t index = 0;     // index of the branch or of the case
  std::uint32_t step = 0;
  friend bool operator==(const NodeName&, const NodeName&) = default;
};

// The sender's version of the rules and the root digest over its complete branches.
struct DigestReport {
  RulesVersion version;
  std::array<std::uint32_t, kRulesParts> heldS{};  // age of each part's version, seconds
  std::int64_t listRev = 0;
  std::uint32_t branches = 0;
  Hash root;
};
struct AuditQuestion {
  NodeName node;
};
struct AuditAnswer {
  NodeName node;
  bool available = false;  // false if the version has changed or the node is not computed yet
  std::vector<Hash> children;
  std::string input, output;  // for a step only
};
struct AuditWindow {
  Hash program, settings;
  Hash digest;        // digest of `bytes`
  std::string bytes;  // an encoded TrafficWindow, see recorder.h
};

struct AuditMessage {
  Incarnation from, to;                  // the sender's and the receiver's process
  std::uint64_t number = 0;              // number of this message; for an answer, of its question
  std::uint64_t lastReceivedNumber = 0;  // of the newest digest report received from the peer; 0 if none
  std::variant<DigestReport, AuditQuestion, AuditAnswer, AuditWindow> body;
};

std::string encode(const AuditMessage& message);
// Returns false if the bytes are not a valid message or too long. O(size).
bool decode(std::string_view bytes, AuditMessage& message);

}  // namespace myrtleloft
