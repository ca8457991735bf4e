#include "journal/segment_writer.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace myrtleloft {
namespace {

constexpr int kStartCopies = 2;  // of the names and the clock, as of the header

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
  // A folder that was allowed more before: once nothing in it is pending, what is left is only in the way.
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
  // Left by an earlier try; nothing stands in it.
  if (!file && file.error().number == EEXIST && !parts_.files.remove(path)) file = parts_.files.create(path);
  const auto error = file ? (*file)->append(start).error : file.error();
  if (error) {
    FileError failure{"begin", name, error->number};
    // Before the first one, whoever started the journal says that it waits, once.
    if (begun_) parts_.faults.report(failure);
    if (file) parts_.files.remove(path);
    return failure;
  }
  install(header.sequence, start.size(), std::move(*file));
  parts_.statistics.writtenBytes += start.size();
  begun_ = true;
  broken_ = false;
  parts_.commit.wrote(start.size(), active_);
  return std::nullopt;
}

LiveRecords::Segment& SegmentWriter::install(std::uint64_t sequence, std::size_t bytes,
                                             std::shared_ptr<OutFile> file) {
  used_ += roundUpToBlocks(bytes);
  active_ = std::move(file);
  parts_.commit.namedFile();
  LiveRecords::Segment& segment = parts_.records.addSegment(sequence, bytes, bytes);
  segment.beganAt = parts_.commit.position();
  return segment;
}

bool SegmentWriter::ready(std::size_t bytes) {
  if (!begun_) return begin();
  const LiveRecords::Segment& newest = parts_.records.newest();
  const bool full = newest.bytes + bytes > parts_.options.segmentBytes && newest.bytes > startBytes_;
  if (active_ && !broken_ && !full) return true;
  // A disk that has no space for another segment may have some in this one.
  return !beginSegment() || (active_ && !broken_);
}

bool SegmentWriter::appendFrame(std::string& frame) {
  closeFrame(frame, 0, history_.salt, parts_.records.newest().sequence);
  return appendFrames(frame);
}

bool SegmentWriter::appendFrames(std::string_view frames) {
  LiveRecords::Segment& segment = parts_.records.newest();
  const std::size_t grows = roundUpToBlocks(segment.bytes + frames.size()) - roundUpToBlocks(segment.bytes);
  if (!parts_.planner.fits(usage(), grows)) return false;
  const auto [put, error] = active_->append(frames);
  if (!error && put == frames.size()) {
    segment.bytes += put;
    segment.fileBytes = segment.bytes;
    used_ += grows;
    sinceStep_ += put;
    parts_.statistics.writtenBytes += put;
    parts_.commit.wrote(put, active_);
    return true;
  }
  parts_.faults.report({"write", segmentName(segment.sequence), error ? error->number : 0});
  // Half a record in the middle would look like damage: cut it off, or write no more to this segment. The
  // header of the next one then states where this one ends.
  if (put > 0 && active_->truncate(segment.bytes)) {
    broken_ = true;
    segment.fileBytes = segment.bytes + put;
    used_ += roundUpToBlocks(segment.fileBytes) - roundUpToBlocks(segment.bytes);
  }
  return false;
}

bool SegmentWriter::deleteOldest() {
  const std::uint64_t next = parts_.records.oldest().sequence + 1;
  // Recorded first, so that a segment missing for any other reason is known to be missing. Where even that
  // finds no space on the disk, removing is what makes some: then it is recorded afterwards.
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
  if (!begun_) history_.firstSegment = oldest.sequence + 1;  // the next header states it
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
  usage.appendedSinceStep = sinceStep_;
  return usage;
}

}  // namespace myrtleloft
