// How a message stands on a link: a fixed header, then the payload. No I/O.
//
//   std::string bytes = frameOf(FleetKind::kPing, payload);
//   FrameReader reader;
//   reader.buffer() += received;
//   while (reader.next(frame) == FrameReader::State::kFrame) use(frame.kind, frame.payload);
//
//   bytes 0-3    "MYRL"
//         4      version, kFleetVersion
//         5      kind
//         6-7    zero
//         8-11   length of the payload, kMaxFleetPayloadBytes at most
//         12-15  check of bytes 0-11: a spoilt length is not waited for
//         16-23  check of bytes 0-15 and the payload
//
// Checks are XXH3 (xxHash); numbers in this machine's order, as everywhere in the fleet: a machine of the
// other order is refused for its length's check. Payloads are cereal's, as the journal's records.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "fleet/message.h"

namespace myrtleloft {

inline constexpr std::size_t kFrameHeaderBytes = 24;

// O(payload); the payload is no longer than kMaxFleetPayloadBytes.
std::string frameOf(FleetKind kind, std::string_view payload, std::uint8_t version = kFleetVersion);

enum class FrameFault : std::uint8_t { kNone, kNoFrame, kVersion, kChecksum, kOversized, kUnknownKind };

struct Frame {
  FleetKind kind = FleetKind::kHello;
  std::string_view payload;  // into the reader's buffer, until that is next asked for
};

// Takes frames out of bytes as they come in. After a fault it says nothing but that fault.
class FrameReader {
 public:
  enum class State { kMore, kFrame, kBad };

  // Where to append what was read. It never has more than a whole frame and one read.
  std::string& buffer();
  State next(Frame& frame);
  FrameFault fault() const { return fault_; }
  // Payloads beyond it are refused; kMaxFleetPayloadBytes at first.
  void allow(std::size_t bytes) { maxPayloadBytes_ = bytes; }
  // Bytes of a frame that has begun and is not whole.
  bool midFrame() const { return buffer_.size() > offset_; }

 private:
  State bad(FrameFault fault);

  std::string buffer_;
  std::size_t offset_ = 0;  // where the next frame begins
  std::size_t maxPayloadBytes_ = kMaxFleetPayloadBytes;
  FrameFault fault_ = FrameFault::kNone;
};

// A hello's payload, both ways. false: it is none, or has a name that no fleet can have.
std::string encodeIntroduction(const PeerIntroduction& peer);
bool decodeIntroduction(std::string_view payload, PeerIntroduction& peer);

}  // namespace myrtleloft
