// The popularity messages between the relays of a region and their encoding (cereal, as for journal records).
// FleetKind::kCounts carries a CountsMessage, FleetKind::kHint a HintRequest or a HintResponse.
//
//   std::string bytes = encoded(message);
//   if (auto message = decodedCounts(bytes)) ...
//
// Decoding returns std::nullopt for anything a relay would not send; the caller then closes the link. It
// checks the limits below, that numbers are finite and not negative, that tables are sorted and that no bytes
// follow. Counts are sent as 32-bit floats, rounded so that their bounds remain valid (count, error and floor
// up, calls down), by at most a ten-millionth. Thread-safe; O(size).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "popularity/counts_view.h"
#include "popularity/hint.h"

namespace myrtleloft {

inline constexpr std::size_t kMaxRegisterEntries = 64;
inline constexpr std::size_t kMaxRegisterMarks = 64;
inline constexpr std::size_t kMaxMessageRegisters = 8;  // for relays and for cells each
inline constexpr std::size_t kMaxRelayNameBytes = 64;
inline constexpr std::size_t kMaxEndpointBytes = 256;
inline constexpr std::size_t kMaxResponseHints = 32;

struct CountsMessage {
  std::uint64_t layout = 0;  // layout of the sender's region, to which the cells belong
  std::vector<CountsRegister> relays;
  std::vector<CountsRegister> cells;
};

struct HintRequest {
  std::uint64_t requestId = 0;
  std::int64_t destination = 0;
};
struct HintResponse {
  std::uint64_t requestId = 0;
  std::int64_t destination = 0;
  std::vector<Hint> hints;  // empty if the sender knows nothing of the destination
};
// Exactly one of the two members is set.
struct HintMessage {
  std::optional<HintRequest> request;
  std::optional<HintResponse> response;
};

std::string encoded(const CountsMessage& message);
std::string encoded(const HintRequest& request);
std::string encoded(const HintResponse& response);
std::optional<CountsMessage> decodedCounts(std::string_view payload);
std::optional<HintMessage> decodedHint(std::string_view payload);

}  // namespace myrtleloft
