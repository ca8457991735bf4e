// The version of everything that determines decisions, as four digests, so that a difference between two
// relays can be attributed to one part.
//
//   RulesVersion version = rulesVersion(decisionCode(), settings, operatorFile, endpoints);
//   if (const auto part = firstDifference(local, remote)) log(nameOf(*part));
//
// Each digest covers a canonical form: equal rules give equal bytes whatever the order of a file or list.
// Floating-point numbers are included bit by bit. O(size); safe for concurrent use.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "audit/hash.h"
#include "config/operator_file.h"
#include "discovery/endpoint_table.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

// In the order in which differences are reported: a different program may cause differences in the other
// parts.
enum class RulesPart : std::uint8_t { kProgram, kSettings, kRules, kList };
inline constexpr std::size_t kRulesParts = 4;
const char* nameOf(RulesPart part);

// One digest for each part of the rules.
struct RulesVersion {
  std::array<Hash, kRulesParts> parts{};
  const Hash& of(RulesPart part) const { return parts[static_cast<std::size_t>(part)]; }
  Hash digest() const;
  friend bool operator==(const RulesVersion&, const RulesVersion&) = default;
};

// Returns std::nullopt if the versions are equal.
std::optional<RulesPart> firstDifference(const RulesVersion& a, const RulesVersion& b);

// Build stamp of the decision code: a digest of the files that `policy` in deploy/balancer.toml names, of
// src/state/ and dispatcher.h, of the compiler and of its flags.
std::string_view decisionCode();

// Excludes the values specific to one relay: seed, instance index and zone.
std::string canonicalSettings(const Settings& settings);
// The parts of the operator's file that affect decisions: durability, endpoint list, quotas, copies and the
// audit interval. Excludes the resources of the machine (segment and slice sizes), discovery addresses and
// intervals, and logging.
std::string canonicalRules(const OperatorFile& file);
// One endpoint by uid, zone, kind, destination, state and rating. Excludes its address, which may be given
// under different names, the time it was received, and the suffix of a reused uid, which is counted per
// process.
std::string canonicalEntry(std::string_view uid, const EndpointInfo& entry);

Hash programDigest(std::string_view stamp);
Hash listDigest(const EndpointTable::Endpoints& endpoints);
RulesVersion rulesVersion(std::string_view stamp, const Settings& settings, const OperatorFile& rules,
                          const EndpointTable::Endpoints& endpoints);

}  // namespace myrtleloft
