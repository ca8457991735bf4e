// Why a link is over.
#pragma once

#include <cstdint>

namespace myrtleloft {

enum class LinkEnd : std::uint8_t {
  kClosed,       // the peer closed it, or the network broke it
  kUnreachable,  // it never came up
  kReplaced,     // another link to the same peer is kept instead
  kRemoved,      // the operator's list has that peer, or that address of it, no more
  kNoHello,      // it came up, and nothing introduced itself in time
  kSilent,       // a question was sent, and then nothing at all came in time
  // From here on it is refused: counted, and told once for each peer and reason.
  kCrowded,  // more connections than may stand that have not introduced themselves; the oldest goes
  kStalled,  // it takes nothing of what waits for it
  kTorn,     // a frame began and did not end in time
  kNoFrame,
  kVersion,
  kChecksum,
  kOversized,
  kUnknownKind,
  kFlood,
  kBeforeHello,  // a message before its hello
  kSecondHello,
  kBadHello,
  kOtherFleet,
  kUnknownName,
  kOwnName,
  kOtherName,   // not the one that the operator's list has at that address
  kOlder,       // an earlier start of that relay than one that was here
  kNameTaken,   // another life of that relay, while a link to the known one stands
  kBadPayload,  // the package that the message is for cannot read it
  kCount
};

constexpr bool isRefusal(LinkEnd end) { return end >= LinkEnd::kCrowded; }
// As in the log; words with dashes.
const char* nameOf(LinkEnd end);

}  // namespace myrtleloft
