// Reasons for which a link is closed.
#pragma once

#include <cstdint>

namespace myrtleloft {

enum class LinkEnd : std::uint8_t {
  kClosed,       // the peer closed it, or the network failed
  kUnreachable,  // the connection was not established
  kReplaced,     // another link to the same peer is kept instead
  kRemoved,      // the operator removed the peer or changed its address
  kNoHello,      // connected, but no introduction arrived in time
  kSilent,       // nothing was received within the timeout after a ping
  // The reasons below are refusals: each is counted, and logged once for each peer and reason.
  kCrowded,  // too many connections without an introduction; the oldest is closed
  kStalled,  // the peer does not read its pending data
  kTorn,     // a frame was not complete within the timeout
  kNoFrame,
  kVersion,
  kChecksum,
  kOversized,
  kUnknownKind,
  kFlood,
  kBeforeHello,  // a message arrived before the hello
  kSecondHello,
  kBadHello,
  kOtherFleet,
  kUnknownName,
  kOwnName,
  kOtherName,   // the name differs from the one that the operator lists at that address
  kOlder,       // an older run than the last one accepted from that relay
  kNameTaken,   // a different `life` of that relay, while the link to the known one is up
  kBadPayload,  // the package that receives the message cannot decode it
  kCount
};

constexpr bool isRefusal(LinkEnd end) { return end >= LinkEnd::kCrowded; }
// Returns the name as it is logged, lower-case words with hyphens.
const char* nameOf(LinkEnd end);

}  // namespace myrtleloft
