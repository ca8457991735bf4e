// The format of a segment: a header, stored twice, followed by framed records.
//
//   header copy   magic 8, version 4, checksum 4,
//                 sequence 8, salt 8, created 8, first 8, previous 8, converted fingerprint 8, checksum 8
//   frame         mark 2, checksum of the length 2, length 4, checksum of the payload 4, payload
//
// The numbers are sizes in bytes. The first 16 bytes of a header are the same in every version, so that a
// newer file can be distinguished from a damaged one. The checksums of a frame are seeded with the salt, a
// random number that never leaves the folder. A client that puts the bytes of a record into the body of a
// request can therefore not make recovery accept them as a record, however the bytes around them are damaged.
// The length has its own checksum: otherwise a flipped bit that makes the length of the last record larger
// would look like a torn record.
//
//   SegmentScanner scanner(bytes, header.salt, sequence, kUnknownEnd);
//   for (auto piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) ...
//
// Checksums are XXH3 (xxHash, https://xxhash.com). No I/O; the functions are thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace myrtleloft {

constexpr std::uint32_t kJournalVersion = 4;  // 1 was a single file without a header; 3 had no clock records
constexpr std::uint32_t kUnnamedVersion = 2;  // no name table: numbers are as in the current settings
constexpr std::size_t kSegmentHeaderBytes = 144;
constexpr std::size_t kFrameBytes = 12;
constexpr std::size_t kMaxRecordBytes = std::size_t{256} * 1024;  // a longer length is invalid

// The contents of a segment's header.
struct SegmentHeader {
  std::uint64_t sequence = 0;
  std::uint64_t salt = 0;
  double createdWallMs = 0;
  std::uint64_t firstSegment = 0;   // the oldest segment needed when this one was begun
  std::uint64_t previousBytes = 0;  // length of the valid content of the preceding segment
  std::uint32_t version = kUnnamedVersion;
  std::uint64_t convertedFingerprint = 0;  // of the converted version 1 file; 0 if there was none
};

// Returns the first 16 bytes of a header, which have the same format in every version.
std::string encodePreamble(std::uint32_t version);
// Returns both copies of the header.
std::string encodeHeader(const SegmentHeader& header);

// The result of reading a header.
struct HeaderState {
  enum class Kind {
    kGood,     // at least one copy is valid
    kTorn,     // shorter than a header
    kDamaged,  // neither copy is valid
    kNewer     // a version that this program does not know
  };
  Kind kind = Kind::kDamaged;
  std::uint32_t version = 0;
  SegmentHeader header;
};

HeaderState readHeader(std::string_view bytes);

// Returns `value` in hexadecimal, padded with zeros to at least `digits` digits.
std::string hexDigits(std::uint64_t value, std::size_t digits);
// Returns the file name of a segment, e.g. "journal-000000000000002a.seg".
std::string segmentName(std::uint64_t sequence);
// Returns the sequence number in the file name of a segment, or std::nullopt for any other name.
std::optional<std::uint64_t> segmentSequence(std::string_view name);

// Build a frame in place. `openFrame` appends space for the frame header to `out` and returns its offset.
// After the payload has been appended, `closeFrame` fills in the frame header at the offset `at`.
std::size_t openFrame(std::string& out);
void closeFrame(std::string& out, std::size_t at, std::uint64_t salt, std::uint64_t sequence);

// Returns a 64-bit hash of the contents of a file; never 0.
std::uint64_t fingerprint(std::string_view bytes);

// A part of a segment, as SegmentScanner returns it.
struct Piece {
  enum class Kind {
    kRecord,
    kCorruptBytes,  // damaged bytes up to the next valid record or the end
    kTorn,  // incomplete last record: the process ended while writing it, so nothing depended on it yet
    kEnd
  };
  Kind kind = Kind::kEnd;
  std::size_t offset = 0;    // within the segment
  std::size_t bytes = 0;     // length of the piece, with the frame header
  std::string_view payload;  // of a record
};

// Iterates over the records and the damaged parts of a segment.
class SegmentScanner {
 public:
  static constexpr std::size_t kUnknownEnd = static_cast<std::size_t>(-1);

  // `end` is the length of the valid content as recorded in the next segment's header, or kUnknownEnd. Bytes
  // beyond it are ignored, and missing bytes before it are reported as corrupt. `bytes` must outlive the
  // scanner.
  SegmentScanner(std::string_view bytes, std::uint64_t salt, std::uint64_t sequence, std::size_t end);
  // Cost: O(size of the piece). After damage, O(damaged bytes) plus the lengths of all frames in them whose
  // header looks valid.
  Piece next();

 private:
  struct Frame {
    bool complete = false;
    bool torn = false;
    std::string_view payload;
  };
  Frame frameAt(std::size_t at) const;

  std::string_view bytes_;
  std::uint64_t seed_;
  std::size_t end_;
  std::size_t at_ = kSegmentHeaderBytes;
};

}  // namespace myrtleloft
