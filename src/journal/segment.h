// A segment's bytes: a header in two copies, then framed records.
//
//   header copy   magic 8, version 4, check 4,
//                 sequence 8, salt 8, created 8, first 8, previous 8, taken over 8, check 8
//   frame         mark 2, check of the length 2, length 4, check of the payload 4, payload
//
// The first 16 bytes of a header mean the same in every version, so that a newer file can be distinguished
// from a damaged one. All checks of a frame are seeded with the salt, a random number that never leaves the
// folder: a client that puts the bytes of a record into its body cannot have them taken for one, however the
// bytes around it are damaged. The length has a check of its own, or a length made larger by one bit in the
// last record would look like a record that the end of the process cut off.
//
//   SegmentScanner scanner(bytes, header.salt, sequence, kUnknownEnd);
//   for (auto piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) ...
//
// Checks are XXH3 (xxHash, https://xxhash.com). No I/O; safe for several threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace myrtleloft {

constexpr std::uint32_t kJournalVersion = 4;  // 1: one file without a header; 3: without its clock
constexpr std::uint32_t kUnnamedVersion = 2;  // without names: its numbers mean what they mean now
constexpr std::size_t kSegmentHeaderBytes = 144;
constexpr std::size_t kFrameBytes = 12;
constexpr std::size_t kMaxRecordBytes = std::size_t{256} * 1024;  // a longer one cannot be ours

struct SegmentHeader {
  std::uint64_t sequence = 0;
  std::uint64_t salt = 0;
  double createdWallMs = 0;
  std::uint64_t firstSegment = 0;   // the oldest that was still needed when this one began
  std::uint64_t previousBytes = 0;  // how much of the one before is the journal's
  std::uint32_t version = kUnnamedVersion;
  std::uint64_t convertedFingerprint =
      0;  // fingerprint of a version 1 file whose requests stand here; 0: none
};

// The first 16 bytes of a header, the same in every version.
std::string encodePreamble(std::uint32_t version);
std::string encodeHeader(const SegmentHeader& header);

struct HeaderState {
  enum class Kind {
    kGood,     // from either copy
    kTorn,     // shorter than a header
    kDamaged,  // neither copy is complete
    kNewer     // a version that this program does not know
  };
  Kind kind = Kind::kDamaged;
  std::uint32_t version = 0;
  SegmentHeader header;
};
HeaderState readHeader(std::string_view bytes);

// At least so many hexadecimal digits, with zeros in front.
std::string hexDigits(std::uint64_t value, std::size_t digits);
// "journal-000000000000002a.seg"
std::string segmentName(std::uint64_t sequence);
std::optional<std::uint64_t> segmentSequence(std::string_view name);

// Makes a frame in place: `out` gets space for it at the end; after the payload was appended, `closeFrame`
// fills it in. `at` is what `openFrame` returned.
std::size_t openFrame(std::string& out);
void closeFrame(std::string& out, std::size_t at, std::uint64_t salt, std::uint64_t sequence);

// Fingerprint of all of a file, never 0.
std::uint64_t fingerprint(std::string_view bytes);

struct Piece {
  enum class Kind {
    kRecord,
    kCorruptBytes,  // damaged bytes, up to the next good record or the end
    kTorn,          // the last record was being written when the process ended; nothing was promised on it
    kEnd
  };
  Kind kind = Kind::kEnd;
  std::size_t offset = 0;    // in the segment
  std::size_t bytes = 0;     // of all of the piece
  std::string_view payload;  // a record's
};

class SegmentScanner {
 public:
  static constexpr std::size_t kUnknownEnd = static_cast<std::size_t>(-1);

  // `end`: how many bytes of the file are the journal's, where the segment behind it states that; what lies
  // beyond is not read, and what is missing is a hole. Keeps the view.
  SegmentScanner(std::string_view bytes, std::uint64_t salt, std::uint64_t sequence, std::size_t end);
  // O(piece); past damage O(damaged bytes) and the lengths that look good in them.
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
