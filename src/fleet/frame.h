// Frame format of a link: a fixed header followed by the payload. No I/O.
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
//         8-11   length of the payload, at most kMaxFleetPayloadBytes
//         12-15  checksum of bytes 0-11, so that a corrupt length is detected before the payload is awaited
//         16-23  checksum of bytes 0-15 and the payload
//
// Checksums are XXH3 (xxHash). Numbers are in the machine's byte order, as everywhere in the fleet; a machine
// of the other byte order is refused by the header checksum. Payloads are encoded with cereal, as journal
// records.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "fleet/message.h"

namespace myrtleloft {

inline constexpr std::size_t kFrameHeaderBytes = 24;

// O(payload). The payload must be at most kMaxFleetPayloadBytes long.
std::string frameOf(FleetKind kind, std::string_view payload, std::uint8_t version = kFleetVersion);

enum class FrameFault : std::uint8_t { kNone, kNoFrame, kVersion, kChecksum, kOversized, kUnknownKind };

struct Frame {
  FleetKind kind = FleetKind::kHello;
  std::string_view payload;  // refers to the reader's buffer; valid until the next call of buffer()
};

// Extracts frames from a byte stream. After a fault every call of next() returns kBad.
class FrameReader {
 public:
  enum class State { kMore, kFrame, kBad };

  // Returns the buffer to which received bytes are appended. It holds at most one frame and one read.
  std::string& buffer();
  State next(Frame& frame);
  FrameFault fault() const { return fault_; }
  // Sets the largest accepted payload; initially kMaxFleetPayloadBytes.
  void allow(std::size_t bytes) { maxPayloadBytes_ = bytes; }
  // Whether the buffer holds an incomplete frame.
  bool midFrame() const { return buffer_.size() > offset_; }

 private:
  State bad(FrameFault fault);

  std::string buffer_;
  std::size_t offset_ = 0;  // offset of the next frame
  std::size_t maxPayloadBytes_ = kMaxFleetPayloadBytes;
  FrameFault fault_ = FrameFault::kNone;
};

// Encodes and decodes the payload of a hello. Decoding returns false if the payload is not an introduction,
// or has a name that is not valid in a fleet.
std::string encodeIntroduction(const PeerIntroduction& peer);
bool decodeIntroduction(std::string_view payload, PeerIntroduction& peer);

}  // namespace myrtleloft
