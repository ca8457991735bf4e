#include "journal/folder_reader.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "journal/version_one.h"

namespace myrtleloft {
namespace {

// Bounds the number of reported segments if a corrupt sequence number makes millions appear to be missing.
constexpr std::uint64_t kMaxMissingReported = 1000;

}  // namespace

Result<Recovered, JournalError> FolderReader::run() {
  Failure failure = listFolder();
  if (!failure) failure = readHeaders();
  if (!failure) failure = readVersionOne();
  if (!failure) failure = readNewestDeletion();
  for (std::size_t i = 0; i < found_.segments.size() && !failure; ++i) failure = readSegment(i);
  if (failure) return *std::move(failure);
  replay_.finish(found_);
  return std::move(found_);
}

FolderReader::Failure FolderReader::listFolder() {
  auto files = files_.list(folder_);
  if (!files) return files.error();
  std::sort(files->begin(), files->end(),
            [](const FileInfo& left, const FileInfo& right) { return left.name < right.name; });
  for (FileInfo& file : *files) {
    if (const auto sequence = segmentSequence(file.name)) {
      SegmentInfo& segment = found_.segments.emplace_back();
      segment.sequence = *sequence;
      segment.fileBytes = file.bytes;
    } else {
      found_.others.push_back(std::move(file));
    }
  }
  return std::nullopt;
}

FolderReader::Failure FolderReader::load(std::uint64_t sequence) {
  if (sequence == loaded_) return std::nullopt;
  loaded_ = 0;
  auto read = files_.read(path(segmentName(sequence)));
  if (!read) return read.error();
  bytes_ = std::move(*read);
  loaded_ = sequence;
  return std::nullopt;
}

// All headers are read before any record: an unknown version must be rejected before any content is used, and
// the salt for a segment with a damaged header is taken from another segment.
FolderReader::Failure FolderReader::readHeaders() {
  for (std::size_t i = 0; i < found_.segments.size(); ++i)
    if (Failure failure = readHeaderOf(i)) return failure;
  return std::nullopt;
}

FolderReader::Failure FolderReader::readHeaderOf(std::size_t at) {
  SegmentInfo& segment = found_.segments[at];
  const std::string file = path(segmentName(segment.sequence));
  const auto start = files_.read(file, kSegmentHeaderBytes);
  if (!start) return start.error();
  const HeaderState state = readHeader(*start);
  if (state.kind == HeaderState::Kind::kNewer)
    return JournalError{{"read", file, 0},
                        file + " has format version " + std::to_string(state.version) +
                            "; this program supports versions up to " + std::to_string(kJournalVersion)};
  const SegmentHeader& header = state.header;
  segment.headerGood = state.kind == HeaderState::Kind::kGood;
  segment.createdWallMs = header.createdWallMs;
  segment.named = segment.headerGood && header.version > kUnnamedVersion;
  anyNamed_ = anyNamed_ || segment.named;
  Links links;
  if (segment.headerGood) {
    if (header.salt != 0) found_.salt = header.salt;
    links = {header.firstSegment, static_cast<std::size_t>(header.previousBytes)};
    found_.firstSegment = std::max(found_.firstSegment, header.firstSegment);
    if (header.convertedFingerprint != 0) found_.convertedFingerprint = header.convertedFingerprint;
  }
  // The process ended after it created the segment and before it wrote the complete header, so the segment
  // has no records.
  if (at + 1 == found_.segments.size() && state.kind == HeaderState::Kind::kTorn) {
    segment.stale = true;
    found_.torn += start->size();
  }
  links_.push_back(links);
  return std::nullopt;
}

FolderReader::Failure FolderReader::readVersionOne() {
  const auto isVersionOne = [](const FileInfo& file) { return file.name == kVersionOneName; };
  if (std::none_of(found_.others.begin(), found_.others.end(), isVersionOne)) return std::nullopt;
  const auto bytes = files_.read(path(kVersionOneName));
  if (!bytes) return bytes.error();
  found_.versionOneFingerprint = fingerprint(*bytes);
  // The version 1 file was already converted, but the process ended before it deleted the file.
  if (found_.convertedFingerprint == found_.versionOneFingerprint) return std::nullopt;
  found_.versionOne = true;
  replayVersionOne(*bytes, replay_, found_);
  return std::nullopt;
}

// Only the newest SegmentsDeletedRecord counts. Each segment's header repeats what was known when the segment
// began, so the record can only be in the newest segment.
FolderReader::Failure FolderReader::readNewestDeletion() {
  std::size_t newest = found_.segments.size();
  while (newest > 0 && found_.segments[newest - 1].stale) --newest;
  if (newest == 0) return std::nullopt;
  const std::uint64_t sequence = found_.segments[newest - 1].sequence;
  if (Failure failure = load(sequence)) return failure;
  SegmentScanner scanner(bytes_, found_.salt, sequence, endOf(newest - 1));
  for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) {
    if (piece.kind != Piece::Kind::kRecord || !isSegmentsDeletedRecord(piece.payload)) continue;
    if (const std::optional<Record> record = decode(piece.payload))
      found_.firstSegment =
          std::max(found_.firstSegment, std::get<SegmentsDeletedRecord>(*record).firstSegment);
  }
  return std::nullopt;
}

std::size_t FolderReader::endOf(std::size_t at) const {
  const std::vector<SegmentInfo>& segments = found_.segments;
  const bool isRecorded = at + 1 < segments.size() && segments[at + 1].sequence == segments[at].sequence + 1;
  return isRecorded ? links_[at + 1].previousBytes : SegmentScanner::kUnknownEnd;
}

FolderReader::Failure FolderReader::readSegment(std::size_t at) {
  SegmentInfo& segment = found_.segments[at];
  if (segment.sequence < found_.firstSegment) segment.stale = true;
  if (segment.stale) return std::nullopt;
  reportMissingBefore(at);
  if (Failure failure = load(segment.sequence)) return failure;
  beginSegment(segment);
  SegmentScanner scanner(bytes_, found_.salt, segment.sequence, endOf(at));
  for (Piece piece = scanner.next(); piece.kind != Piece::Kind::kEnd; piece = scanner.next()) {
    if (piece.kind == Piece::Kind::kRecord)
      readRecord(piece, segment);
    else if (piece.kind == Piece::Kind::kCorruptBytes)
      reportCorruption(piece, segment, piece.bytes > 0 ? "damaged" : "cut off");
    else if (mayBeTorn(at))
      found_.torn += piece.bytes;
    else
      reportCorruption(piece, segment, "damaged");  // a later segment exists, so this may not be a torn write
  }
  if (const std::size_t end = endOf(at); end != SegmentScanner::kUnknownEnd) segment.validBytes = end;
  return std::nullopt;
}

void FolderReader::reportMissingBefore(std::size_t at) {
  const std::uint64_t sequence = found_.segments[at].sequence;
  std::uint64_t before = found_.firstSegment - 1;
  if (at > 0) before = std::max(before, found_.segments[at - 1].sequence);
  for (std::uint64_t missing = before + 1; missing < sequence; ++missing) {
    reportCorruption(segmentName(missing), 0, 0, "missing");
    if (sequence - missing > kMaxMissingReported) missing = sequence - 1;
  }
}

void FolderReader::beginSegment(SegmentInfo& segment) {
  const std::size_t header = std::min(bytes_.size(), kSegmentHeaderBytes);
  if (!segment.headerGood) reportCorruption(segmentName(segment.sequence), 0, header, "damaged");
  segment.validBytes = header;
  // A segment with a damaged header is assumed to have had a name table if any other segment has one.
  segment.named = segment.named || (!segment.headerGood && anyNamed_);
  if (segment.named)
    replay_.beginNamedSegment();
  else
    replay_.beginUnnamedSegment();
}

void FolderReader::readRecord(const Piece& piece, SegmentInfo& segment) {
  std::optional<Record> record = decode(piece.payload);
  if (!record) return reportCorruption(piece, segment, "damaged");
  segment.validBytes = piece.offset + piece.bytes;
  if (visit_) visit_(segment.sequence, piece.offset, piece.bytes, *record);
  countRecord(*record, piece, segment);
  replay_.apply(segment.sequence, *record);
}

void FolderReader::countRecord(const Record& record, const Piece& piece, SegmentInfo& segment) {
  const auto* table = std::get_if<NameTableRecord>(&record);
  if (!table && !std::holds_alternative<ClockRecord>(record)) {
    ++segment.records;
    ++found_.records;
    return;
  }
  if (piece.offset == segment.headBytes) segment.headBytes += piece.bytes;
  std::vector<NameTable>& tables = found_.nameTables;
  if (table && std::find(tables.begin(), tables.end(), table->names) == tables.end())
    tables.push_back(table->names);
}

void FolderReader::reportCorruption(const std::string& file, std::size_t offset, std::size_t bytes,
                                    const char* what) {
  found_.corruptions.push_back({file, offset, bytes, what});
  replay_.noteCorruption();
}

void FolderReader::reportCorruption(const Piece& piece, SegmentInfo& segment, const char* what) {
  reportCorruption(segmentName(segment.sequence), piece.offset, piece.bytes, what);
  segment.validBytes = piece.offset + piece.bytes;
}

}  // namespace myrtleloft
