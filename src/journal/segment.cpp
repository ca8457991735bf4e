#include "journal/segment.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace myrtleloft {
namespace {

constexpr std::string_view kMagic = "MYRTLSEG";
constexpr std::size_t kCopyBytes = kSegmentHeaderBytes / 2;
constexpr std::size_t kPreambleBytes = 16;
constexpr std::string_view kMark = "\xa7M";
constexpr std::string_view kPrefix = "journal-";
constexpr std::string_view kSuffix = ".seg";
constexpr std::size_t kDigits = 16;

template <typename Number>
void put(std::string& out, Number value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename Number>
Number get(std::string_view bytes, std::size_t at) {
  Number value{};
  std::memcpy(&value, bytes.data() + at, sizeof value);
  return value;
}

std::uint64_t hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}
std::uint32_t preambleCheck(std::string_view bytes) {
  return static_cast<std::uint32_t>(hash(bytes.substr(0, kPreambleBytes - sizeof(std::uint32_t)), 0));
}

// Includes the sequence number, so that a record is valid only in its own segment.
std::uint64_t seedOf(std::uint64_t salt, std::uint64_t sequence) {
  return salt ^ (sequence * 0x9e3779b97f4a7c15);
}
std::uint16_t lengthCheck(std::uint32_t length, std::uint64_t seed) {
  const std::array<char, 8> raw = [&] {
    std::array<char, 8> bytes{kMark[0], kMark[1]};
    std::memcpy(bytes.data() + 4, &length, sizeof length);
    return bytes;
  }();
  return static_cast<std::uint16_t>(hash({raw.data(), raw.size()}, seed));
}
std::uint32_t payloadCheck(std::string_view payload, std::uint64_t seed) {
  return static_cast<std::uint32_t>(hash(payload, seed + payload.size()));
}

}  // namespace

std::string encodePreamble(std::uint32_t version) {
  std::string out(kMagic);
  put(out, version);
  put(out, preambleCheck(out));
  return out;
}

std::string encodeHeader(const SegmentHeader& header) {
  std::string copy = encodePreamble(header.version);
  put(copy, header.sequence);
  put(copy, header.salt);
  put(copy, header.createdWallMs);
  put(copy, header.firstSegment);
  put(copy, header.previousBytes);
  put(copy, header.convertedFingerprint);
  put(copy, hash(copy, 0));
  return copy + copy;
}

HeaderState readHeader(std::string_view bytes) {
  HeaderState state;
  if (bytes.size() < kSegmentHeaderBytes) {
    state.kind = HeaderState::Kind::kTorn;
    // A newer version may have a shorter header, but always has the complete preamble.
    if (bytes.size() < kPreambleBytes) return state;
  }
  for (const std::size_t at : {std::size_t{0}, kCopyBytes}) {
    if (bytes.size() < at + kPreambleBytes) break;
    const std::string_view preamble = bytes.substr(at, kPreambleBytes);
    if (preamble.substr(0, kMagic.size()) != kMagic) continue;
    if (get<std::uint32_t>(preamble, kMagic.size() + 4) != preambleCheck(preamble)) continue;
    state.version = get<std::uint32_t>(preamble, kMagic.size());
    if (state.version > kJournalVersion) {
      state.kind = HeaderState::Kind::kNewer;
      return state;
    }
    if (bytes.size() < at + kCopyBytes) continue;
    const std::string_view copy = bytes.substr(at, kCopyBytes);
    if (get<std::uint64_t>(copy, kCopyBytes - 8) != hash(copy.substr(0, kCopyBytes - 8), 0)) continue;
    if (state.kind == HeaderState::Kind::kTorn) return state;
    state.kind = HeaderState::Kind::kGood;
    state.header.version = state.version;
    state.header.sequence = get<std::uint64_t>(copy, 16);
    state.header.salt = get<std::uint64_t>(copy, 24);
    state.header.createdWallMs = get<double>(copy, 32);
    state.header.firstSegment = get<std::uint64_t>(copy, 40);
    state.header.previousBytes = get<std::uint64_t>(copy, 48);
    state.header.convertedFingerprint = get<std::uint64_t>(copy, 56);
    return state;
  }
  return state;
}

std::string hexDigits(std::uint64_t value, std::size_t digits) {
  std::array<char, kDigits> raw;
  const auto end = std::to_chars(raw.data(), raw.data() + raw.size(), value, 16).ptr;
  const auto size = static_cast<std::size_t>(end - raw.data());
  return std::string(digits - std::min(digits, size), '0').append(raw.data(), size);
}

std::string segmentName(std::uint64_t sequence) {
  return std::string(kPrefix) + hexDigits(sequence, kDigits) + std::string(kSuffix);
}

std::optional<std::uint64_t> segmentSequence(std::string_view name) {
  if (name.size() != kPrefix.size() + kDigits + kSuffix.size()) return std::nullopt;
  std::uint64_t sequence = 0;
  const char* digits = name.data() + kPrefix.size();
  const auto [end, error] = std::from_chars(digits, digits + kDigits, sequence, 16);
  // Accepts only the name that `segmentName` returns; for example, upper-case digits make it a different
  // file.
  if (error != std::errc() || end != digits + kDigits || segmentName(sequence) != name) return std::nullopt;
  return sequence;
}

std::size_t openFrame(std::string& out) {
  out.append(kFrameBytes, '\0');
  return out.size() - kFrameBytes;
}

void closeFrame(std::string& out, std::size_t at, std::uint64_t salt, std::uint64_t sequence) {
  const std::uint64_t seed = seedOf(salt, sequence);
  const std::string_view payload = std::string_view(out).substr(at + kFrameBytes);
  const auto length = static_cast<std::uint32_t>(payload.size());
  const std::uint16_t lengthSum = lengthCheck(length, seed);
  const std::uint32_t sum = payloadCheck(payload, seed);
  char* frame = out.data() + at;
  std::memcpy(frame, kMark.data(), 2);
  std::memcpy(frame + 2, &lengthSum, 2);
  std::memcpy(frame + 4, &length, 4);
  std::memcpy(frame + 8, &sum, 4);
}

std::uint64_t fingerprint(std::string_view bytes) { return std::max<std::uint64_t>(1, hash(bytes, 1)); }

SegmentScanner::SegmentScanner(std::string_view bytes, std::uint64_t salt, std::uint64_t sequence,
                               std::size_t end)
    : bytes_(end == kUnknownEnd ? bytes : bytes.substr(0, end)), seed_(seedOf(salt, sequence)), end_(end) {}

SegmentScanner::Frame SegmentScanner::frameAt(std::size_t at) const {
  Frame frame;
  const std::string_view rest = bytes_.substr(at);
  if (rest.size() < kFrameBytes) {
    frame.torn = true;
    return frame;
  }
  const auto length = get<std::uint32_t>(rest, 4);
  if (rest.substr(0, kMark.size()) != kMark || length > kMaxRecordBytes ||
      get<std::uint16_t>(rest, 2) != lengthCheck(length, seed_))
    return frame;
  if (rest.size() - kFrameBytes < length) {
    frame.torn = true;
    return frame;
  }
  frame.payload = rest.substr(kFrameBytes, length);
  frame.complete = payloadCheck(frame.payload, seed_) == get<std::uint32_t>(rest, 8);
  return frame;
}

Piece SegmentScanner::next() {
  Piece piece;
  piece.offset = at_;
  const bool endKnown = end_ != kUnknownEnd;
  if (at_ >= bytes_.size()) {
    // The segment ends after a complete record, but the next segment's header records a larger length.
    if (endKnown && std::max(at_, bytes_.size()) < end_) {
      piece.kind = Piece::Kind::kCorruptBytes;
      at_ = end_;
    }
    return piece;
  }
  const Frame frame = frameAt(at_);
  if (frame.complete) {
    piece.kind = Piece::Kind::kRecord;
    piece.payload = frame.payload;
    piece.bytes = kFrameBytes + frame.payload.size();
    at_ += piece.bytes;
    return piece;
  }
  std::size_t found = bytes_.size();
  for (std::size_t at = bytes_.find(kMark, at_ + 1); at != std::string_view::npos;
       at = bytes_.find(kMark, at + 1)) {
    if (!frameAt(at).complete) continue;
    found = at;
    break;
  }
  const bool torn = frame.torn && found == bytes_.size() && !endKnown;
  piece.kind = torn ? Piece::Kind::kTorn : Piece::Kind::kCorruptBytes;
  piece.bytes = found - at_;
  at_ = found;
  // Damage at the end is reported once, together with any bytes missing after it.
  if (found == bytes_.size() && endKnown) at_ = std::max(at_, end_);
  return piece;
}

}  // namespace myrtleloft
