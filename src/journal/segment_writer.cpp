#include "journal/segment_writer.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace myrtleloft {
namespace {

constexpr int kStartCopies = 2;  // copies of the names and the clock, like the copies of the header

}  // namespace

SegmentWriter::SegmentWriter(const Parts& parts)
    : parts_(parts), startBytes_(startBytes(parts.options.names)) {}

std::size_t SegmentWriter::startBytes(const NameTable& names) {
  if (names.empty()) return kSegmentHeaderBytes;
  const std::size_t copy = kFrameBytes + encodedSize(names) + kFrameBytes + encodedSize(ClockAnchor());
  return kSegmentHeaderBytes + kStartCopies * copy;
}

std::string SegmentWriter::encodeStart(const SegmentHeader& header) const {
  std::string start = encodeHeader(header);
  if (parts_.options.names.empty()) return start;
  const auto append = [&](const auto& record) {
    const std::size_t at = openFrame(start);
    encode(record, start);
    closeFrame(start, at, header.salt, header.sequence);
  };
  for (int copy = 0; copy < kStartCopies; ++copy) {
    append(NameTableRecord{parts_.options.names});
    append(ClockRecord{parts_.journalClock.anchor()});
  }
  return start;
}

SegmentHeader SegmentWriter::nextHeader() const {
  const LiveRecords& records = parts_.records;
  SegmentHeader header;
  header.version = parts_.options.names.empty() ? kUnnamedVersion : kJournalVersion;
  header.sequence = records.empty() ? history_.firstSegment : records.newest().sequence + 1;
  header.salt = history_.salt;
  header.createdWallMs = parts_.clock.wallMs();
  header.firstSegment = records.empty() ? header.sequence : records.oldest().sequence;
  header.firstSegment = std::max(header.firstSegment, history_.firstSegment);
  header.previousBytes = records.empty() ? 0 : records.newest().bytes;
  header.convertedFingerprint = history_.convertedFingerprint;
  return header;
}

bool SegmentWriter::begin() {
  if (begun_) return true;
  beginError_ = beginSegment();
  // The disk budget may have been larger before. If no request is pending, old segments can be deleted to
  // make space.
  const bool nothingPending = parts_.records.live() == 0 && parts_.records.reserved() == 0;
  while (beginError_ && beginError_->number == ENOSPC && nothingPending && !parts_.records.empty() &&
         !dropOldest())
    beginError_ = beginSegment();
  return begun_;
}

std::optional<FileError> SegmentWriter::beginSegment() {
  const SegmentHeader header = nextHeader();
  const std::string name = segmentName(header.sequence);
  const std::string path = parts_.options.path(name);
  const std::string start = encodeStart(header);
  if (!parts_.planner.fits(usage(), roundUpToBlocks(start.size()))) return FileError{"begin", name, ENOSPC};
  auto file = parts_.files.create(path);
  // An earlier attempt to begin the segment left a file without records.
  if (!file && file.error().number == EEXIST && !parts_.files.remove(path)) file = parts_.files.create(path);
  const auto error = file ? (*file)->append(start).error : file.error();
  if (error) {
    FileError failure{"begin", name, error->number};
    // Failures to begin the first segment are logged once by the code that opened the journal.
    if (begun_) parts_.faults.report(failure);
    if (file) parts_.files.remove(path);
    return failure;
  }
  install(header.sequence, start.size(), std::move(*file));
  parts_.statistics.writtenBytes += start.size();
  begun_ = true;
  broken_ = false;
  parts_.commit.recordWrite(start.size(), active_);
  return std::nullopt;
}

LiveRecords::Segment& SegmentWriter::install(std::uint64_t sequence, std::size_t bytes,
                                             std::shared_ptr<OutFile> file) {
  used_ += roundUpToBlocks(bytes);
  active_ = std::move(file);
  parts_.commit.recordCreatedFile();
  LiveRecords::Segment& segment = parts_.records.addSegment(sequence, bytes, bytes);
  segment.beganAt = parts_.commit.position();
  return segment;
}

bool SegmentWriter::ready(std::size_t bytes) {
  if (!begun_) return begin();
  const LiveRecords::Segment& newest = parts_.records.newest();
  const bool full = newest.bytes + bytes > parts_.options.segmentBytes && newest.bytes > startBytes_;
  if (active_ && !broken_ && !full) return true;
  // If there is no space for a new segment, the current one may still have some.
  return !beginSegment() || (active_ && !broken_);
}

bool SegmentWriter::appendFrame(std::string& frame) {
  closeFrame(frame, 0, history_.salt, parts_.records.newest().sequence);
  return appendFrames(frame);
}

bool SegmentWriter::appendFrames(std::string_view frames) {
  LiveRecords::Segment& segment = parts_.records.newest();
  const std::size_t growth = roundUpToBlocks(segment.bytes + frames.size()) - roundUpToBlocks(segment.bytes);
  if (!parts_.planner.fits(usage(), growth)) return false;
  const auto [put, error] = active_->append(frames);
  if (!error && put == frames.size()) {
    segment.bytes += put;
    segment.fileBytes = segment.bytes;
    used_ += growth;
    appendedSinceStep_ += put;
    parts_.statistics.writtenBytes += put;
    parts_.commit.recordWrite(put, active_);
    return true;
  }
  parts_.faults.report({"write", segmentName(segment.sequence), error ? error->number : 0});
  // A partial record followed by others would look like damage. So it is truncated; if that fails, nothing
  // more is written to this segment, and the header of the next one records where its valid content ends.
  if (put > 0 && active_->truncate(segment.bytes)) {
    broken_ = true;
    segment.fileBytes = segment.bytes + put;
    used_ += roundUpToBlocks(segment.fileBytes) - roundUpToBlocks(segment.bytes);
  }
  return false;
}

bool SegmentWriter::deleteOldest() {
  const std::uint64_t next = parts_.records.oldest().sequence + 1;
  // The deletion is recorded first, so that a segment that is missing for any other reason is detected. If
  // there is no space for the record, it is written after the deletion, which frees some.
  const auto recordDeletion = [&] {
    if (history_.firstSegment < next && append(SegmentsDeletedRecord{next})) history_.firstSegment = next;
  };
  recordDeletion();
  if (const auto error = dropOldest()) {
    parts_.faults.report(*error);
    return false;
  }
  recordDeletion();
  return true;
}

std::optional<FileError> SegmentWriter::dropOldest() {
  const LiveRecords::Segment& oldest = parts_.records.oldest();
  const std::string name = segmentName(oldest.sequence);
  const auto error = parts_.files.remove(parts_.options.path(name));
  if (error && error->number != ENOENT) return FileError{"remove", name, error->number};
  if (!begun_) history_.firstSegment = oldest.sequence + 1;  // recorded by the next header
  used_ -= roundUpToBlocks(oldest.fileBytes);
  parts_.records.dropOldest();
  ++parts_.statistics.deletedSegments;
  return std::nullopt;
}

DiskUsage SegmentWriter::usage() const {
  const LiveRecords& records = parts_.records;
  DiskUsage usage;
  usage.disk = parts_.options.diskBytes;
  usage.used = used_;
  usage.live = records.live();
  usage.reserved = records.reserved();
  usage.largestLive = records.largestLive();
  usage.segmentBytes = parts_.options.segmentBytes;
  usage.segments = records.size();
  usage.headBytes = startBytes_;
  if (!records.empty()) usage.oldestLive = records.oldest().live;
  usage.appendedSinceStep = appendedSinceStep_;
  return usage;
}

}  // namespace myrtleloft
