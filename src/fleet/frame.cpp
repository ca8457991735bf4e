#include "fleet/frame.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstring>

#include "fleet/plan.h"
#include "journal/archive.h"

namespace myrtleloft {

template <typename Archive>
void serialize(Archive& ar, PeerIntroduction& p) {
  ar(p.fleet, p.name, p.building, p.incarnation.life, p.incarnation.start);
}

namespace {

constexpr std::string_view kMagic = "MYRL";
constexpr std::size_t kVersionAt = 4, kKindAt = 5, kLengthAt = 8, kHeadCheckAt = 12, kCheckAt = 16;
constexpr std::size_t kRetainedCapacityBytes =
    4096;  // capacity that an empty buffer keeps; a larger one is freed

std::uint64_t hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}
std::uint32_t headCheck(std::string_view header) {
  return static_cast<std::uint32_t>(hash(header.substr(0, kHeadCheckAt), 0));
}
std::uint64_t check(std::string_view header, std::string_view payload) {
  return hash(payload, hash(header.substr(0, kCheckAt), payload.size()));
}
template <typename T>
void put(std::string& out, std::size_t at, T value) {
  std::memcpy(out.data() + at, &value, sizeof value);
}
template <typename T>
T get(std::string_view in, std::size_t at) {
  T value{};
  std::memcpy(&value, in.data() + at, sizeof value);
  return value;
}

}  // namespace

std::string frameOf(FleetKind kind, std::string_view payload, std::uint8_t version) {
  std::string out;
  out.reserve(kFrameHeaderBytes + payload.size());
  out.append(kMagic);
  out.resize(kFrameHeaderBytes);
  out[kVersionAt] = static_cast<char>(version);
  out[kKindAt] = static_cast<char>(kind);
  put(out, kLengthAt, static_cast<std::uint32_t>(payload.size()));
  put(out, kHeadCheckAt, headCheck(out));
  put(out, kCheckAt, check(out, payload));
  out.append(payload);
  return out;
}

std::string& FrameReader::buffer() {
  buffer_.erase(0, std::exchange(offset_, 0));
  if (buffer_.empty() && buffer_.capacity() > kRetainedCapacityBytes) std::string().swap(buffer_);
  return buffer_;
}

FrameReader::State FrameReader::bad(FrameFault fault) {
  fault_ = fault;
  return State::kBad;
}

FrameReader::State FrameReader::next(Frame& frame) {
  if (fault_ != FrameFault::kNone) return State::kBad;
  const std::string_view left = std::string_view(buffer_).substr(offset_);
  // Rejects bytes that cannot become a valid frame without waiting for the rest.
  const std::size_t seen = std::min(left.size(), kMagic.size());
  if (left.substr(0, seen) != kMagic.substr(0, seen)) return bad(FrameFault::kNoFrame);
  if (left.size() > kVersionAt && get<std::uint8_t>(left, kVersionAt) != kFleetVersion)
    return bad(FrameFault::kVersion);
  if (left.size() < kFrameHeaderBytes) return State::kMore;
  if (get<std::uint32_t>(left, kHeadCheckAt) != headCheck(left)) return bad(FrameFault::kChecksum);
  const std::size_t length = get<std::uint32_t>(left, kLengthAt);
  if (length > maxPayloadBytes_) return bad(FrameFault::kOversized);
  if (left.size() < kFrameHeaderBytes + length) return State::kMore;
  frame.payload = left.substr(kFrameHeaderBytes, length);
  if (get<std::uint64_t>(left, kCheckAt) != check(left, frame.payload)) return bad(FrameFault::kChecksum);
  const auto kind = get<std::uint8_t>(left, kKindAt);
  if (kind < static_cast<std::uint8_t>(FleetKind::kHello) ||
      kind > static_cast<std::uint8_t>(FleetKind::kAudit))
    return bad(FrameFault::kUnknownKind);
  frame.kind = static_cast<FleetKind>(kind);
  offset_ += kFrameHeaderBytes + length;
  return State::kFrame;
}

std::string encodeIntroduction(const PeerIntroduction& peer) {
  std::string out;
  BufferOutputArchive archive(out);
  archive(peer);
  return out;
}

bool decodeIntroduction(std::string_view payload, PeerIntroduction& peer) try {
  BufferInputArchive in(payload);
  in(peer);
  return in.left() == 0 && isFleetName(peer.fleet) && isFleetName(peer.name) &&
         peer.building.size() <= kMaxBuildingNameBytes && peer.incarnation.life != 0 &&
         peer.incarnation.start != 0;
} catch (const std::exception&) {
  return false;
}

}  // namespace myrtleloft
