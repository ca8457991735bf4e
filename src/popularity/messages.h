// What the relays of a building say to each other of popularity, and its bytes (cereal, as the journal's
// records): FleetKind::kCounts carries a CountsMessage, kHint a HintAsk or a HintTold.
//
//   std::string bytes = encoded(message);
//   if (auto message = decodedCounts(bytes)) ...      // nothing: not one of ours; the link is closed
//
// Decoding takes nothing that a relay would not have said: no more than the bounds below, names and texts no
// longer than theirs, numbers finite and not negative, tables sorted, nothing behind the end. Counts travel
// as 32-bit floats, rounded away from what they promise (count, error and floor up, calls down): a
// ten-millionth. Safe for several threads; O(size).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "popularity/counts_view.h"
#include "popularity/hint.h"

namespace myrtleloft {

inline constexpr std::size_t kMostToldEntries = 64;  // of a register
inline constexpr std::size_t kMostToldMarks = 64;
inline constexpr std::size_t kMostToldRegisters = 8;  // of one message, of relays and of cells each
inline constexpr std::size_t kMostToldName = 64;      // of a relay
inline constexpr std::size_t kMostToldEndpoint = 256;
inline constexpr std::size_t kMostToldEndpoints = 32;  // of one destination

struct CountsMessage {
  std::uint64_t layout = 0;  // of the sender's building; the cells below are of the same
  std::vector<CountsRegister> relays;
  std::vector<CountsRegister> cells;
};

struct HintAsk {
  std::uint64_t number = 0;
  std::int64_t destination = 0;
};
struct HintTold {
  std::uint64_t number = 0;  // the question's
  std::int64_t destination = 0;
  std::vector<Hint> hints;  // empty: knows nothing of it
};
struct HintMessage {
  std::optional<HintAsk> ask;  // one of both
  std::optional<HintTold> told;
};

std::string encoded(const CountsMessage& message);
std::string encoded(const HintAsk& ask);
std::string encoded(const HintTold& told);
std::optional<CountsMessage> decodedCounts(std::string_view payload);
std::optional<HintMessage> decodedHint(std::string_view payload);

}  // namespace myrtleloft
