// What one audit says to another, within the fleet's kind kAudit.
//
//   *told*     each round: my version, and the root over what I have played of it; never answered
//   *question* one node of your tree, for that version
//   *answer*   its children; of a step, what was asked and done
//   *window*   real traffic as a shadow of my module decided on it, for you to play
//
// Each names both processes by their incarnations, so that a message from or to an earlier one is known as
// such, and ends with a check over its bytes. 165 bytes for a round's word; no message is over
// kMostAuditMessage.
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

// Of a step at most half as much goes, of a window three quarters.
inline constexpr std::size_t kMostAuditMessage = kMaxFleetPayloadBytes;

enum class NodeLevel : std::uint8_t { kBranches, kCases, kSteps, kStep };
struct NodeName {
  Hash version;
  NodeLevel level = NodeLevel::kBranches;
  std::uint32_t branches = 0;  // the root's: how many are under it
  std::uint32_t index = 0;     // of the branch, or of the case
  std::uint32_t step = 0;
  friend bool operator==(const NodeName&, const NodeName&) = default;
};

struct AuditTold {
  RulesVersion version;
  std::array<std::uint32_t, kRulesParts> heldS{};  // for how long it has been that, in this process
  std::int64_t listRev = 0;
  std::uint32_t branches = 0;
  Hash root;
};
struct AuditQuestion {
  NodeName node;
};
struct AuditAnswer {
  NodeName node;
  bool there = false;  // false: that version is over here, or not played so far
  std::vector<Hash> children;
  std::string asked, did;  // of a step
};
struct AuditWindow {
  Hash program, settings;
  Hash digest;        // of the bytes
  std::string bytes;  // recorder.h
};

struct AuditMessage {
  Incarnation from, to;      // `to` is not known before the other was heard
  std::uint64_t number = 0;  // of this message; of an answer, the question's
  std::uint64_t heard = 0;   // the newest *told* of the other that came here; 0: none
  std::variant<AuditTold, AuditQuestion, AuditAnswer, AuditWindow> what;
};

std::string encode(const AuditMessage& message);
// false: nothing of ours, or too long. O(size).
bool decode(std::string_view bytes, AuditMessage& message);

}  // namespace myrtleloft
