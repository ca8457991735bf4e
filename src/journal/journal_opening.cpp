#include "journal/journal_opening.h"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <string>
#include <utility>

#include "journal/folder_lock.h"
#include "journal/segment.h"

namespace myrtleloft {
namespace {

constexpr const char* kTakeoverName = "journal.takeover";
// Left by a version 1 process that ended during compaction.
constexpr const char* kVersionOneLeftover = "journal.new";

}  // namespace

JournalOpening::JournalOpening(const Parts& parts)
    : parts_(parts),
      quarantine_({parts.files, parts.options, parts.planner, parts.writer, parts.faults, parts.log}) {}

std::size_t JournalOpening::recordBytes(const PendingRequest& request) {
  return kFrameBytes + encodedSize(request);
}

Result<Recovered, JournalError> JournalOpening::run() {
  const JournalOptions& options = parts_.options;
  LockResult lock = lockFolder(parts_.files, options.folder, options.owner);
  if (!lock) return lock.error();
  parts_.lock = std::move(*lock);
  RecoveryOptions recoveryOptions;
  recoveryOptions.names = options.names.empty() ? nullptr : &options.names;
  recoveryOptions.clock = &parts_.clock.anchor();
  Result<Recovered, JournalError> recovered = recover(parts_.files, options.folder, recoveryOptions);
  if (!recovered)
    return JournalError{recovered.error().cause, "the journal cannot be read: " + recovered.error().message};
  Recovered& found = *recovered;
  logCorruptions(found);
  quarantine_.read(found);
  adopt(found);
  if (found.versionOne)
    if (Failure failure = convertVersionOne(found)) return *failure;
  removeVersionOne(found);
  // Requests of which only the id was recovered have no complete record. One must be written before the
  // damaged segments can be deleted.
  if (!parts_.writer.begin() && found.bodiesLost > 0)
    return JournalError{{"write the journal in", options.folder, parts_.writer.beginError()->number}};
  if (parts_.writer.begun()) {
    writeRequestsWithoutBody(found);
    quarantine_.store(found);
  }
  parts_.records.measureLargestLive();
  return recovered;
}

void JournalOpening::logCorruptions(const Recovered& found) const {
  for (const Corruption& corruption : found.corruptions)
    parts_.log.write(LogLevel::kError, "journal.corrupt",
                     "journal: " + corruption.file + " is " + corruption.what + " at byte " +
                         std::to_string(corruption.offset) + ", " + std::to_string(corruption.bytes) +
                         " bytes",
                     {{"file", corruption.file},
                      {"offset", corruption.offset},
                      {"bytes", corruption.bytes},
                      {"what", corruption.what}});
  if (found.corruptions.empty()) return;
  parts_.log.write(LogLevel::kError, "journal.ambiguous",
                   "journal: damage made " + std::to_string(found.madeAmbiguous) +
                       " requests ambiguous, and left only the id of " + std::to_string(found.bodiesLost),
                   {{"ambiguous", found.madeAmbiguous}, {"bodies_lost", found.bodiesLost}});
}

void JournalOpening::adopt(Recovered& found) {
  parts_.writer.resume({found.salt != 0 ? found.salt : std::max<std::uint64_t>(1, parts_.options.salt),
                        found.convertedFingerprint, found.firstSegment});
  adoptOtherFiles(found);
  adoptSegments(found);
  adoptRequests(found);
}

void JournalOpening::adoptOtherFiles(const Recovered& found) {
  for (const FileInfo& other : found.others) {
    // Left by an unfinished conversion of a version 1 file.
    if (other.name == kTakeoverName && !parts_.files.remove(parts_.options.path(other.name))) continue;
    parts_.writer.addUsed(roundUpToBlocks(other.bytes));
  }
}

void JournalOpening::adoptSegments(const Recovered& found) {
  for (const SegmentInfo& seen : found.segments) {
    const bool last = seen.sequence == found.segments.back().sequence;
    // The last segment is deleted if it has no records, and its sequence number is reused. Otherwise each
    // restart would leave an empty segment behind.
    const bool empty =
        seen.stale || (seen.headerGood && seen.fileBytes == seen.headBytes && seen.records == 0);
    const std::string path = parts_.options.path(segmentName(seen.sequence));
    if (last && empty && !parts_.files.remove(path)) break;
    parts_.records.addSegment(seen.sequence, seen.validBytes, seen.fileBytes);
    parts_.writer.addUsed(roundUpToBlocks(seen.fileBytes));
  }
}

void JournalOpening::adoptRequests(Recovered& found) {
  for (RecoveredRequest& recovered : found.pending) {
    PendingRequest& request = recovered.pending;
    // It is unknown how much of its reserve the request has used. Only the space for its final status and its
    // completion is reserved.
    request.journalEntry = parts_.records.add(&request, parts_.planner.tuning().completionReserve);
    if (LiveRecords::Segment* segment = parts_.records.find(recovered.segment))
      parts_.records.place(request.journalEntry, *segment, recordBytes(request));
  }
}

JournalOpening::Failure JournalOpening::convertVersionOne(Recovered& found) {
  // The segment is renamed to its final name only when it is complete. Its header has the fingerprint of the
  // old file, so that the file is not converted again if the process ends before it is deleted.
  parts_.writer.setConvertedFingerprint(found.versionOneFingerprint);
  const SegmentHeader header = parts_.writer.nextHeader();
  std::string bytes = parts_.writer.encodeStart(header);
  for (const RecoveredRequest& request : found.pending) {
    if (request.segment != 0) continue;
    const std::size_t at = openFrame(bytes);
    encode(request.pending, bytes);
    closeFrame(bytes, at, header.salt, header.sequence);
  }
  const JournalOptions& options = parts_.options;
  const std::string path = options.path(kTakeoverName);
  const FileError failure{"convert the journal of version 1 in", options.folder, ENOSPC};
  if (parts_.writer.used() + roundUpToBlocks(bytes.size()) > options.diskBytes) return failure;
  auto file = parts_.files.create(path);
  std::optional<FileError> error;
  if (!file) error = file.error();
  if (!error) error = (*file)->append(bytes).error;
  if (!error) error = (*file)->sync();
  if (!error) error = parts_.files.rename(path, options.path(segmentName(header.sequence)));
  if (error) {
    parts_.files.remove(path);
    return FileError{failure.operation, failure.file, error->number};
  }
  LiveRecords::Segment& segment = parts_.writer.install(header.sequence, bytes.size(), std::move(*file));
  for (RecoveredRequest& request : found.pending) {
    if (request.segment != 0) continue;
    request.segment = header.sequence;
    parts_.records.place(request.pending.journalEntry, segment, recordBytes(request.pending));
  }
  parts_.log.write(
      LogLevel::kInfo, "journal.converted",
      "journal: converted from version 1, " + std::to_string(found.pending.size()) + " requests pending",
      {{"pending", found.pending.size()}});
  return std::nullopt;
}

void JournalOpening::removeVersionOne(const Recovered& found) {
  for (const FileInfo& other : found.others) {
    const bool versionOne = other.name == kVersionOneName;
    if (!versionOne && other.name != kVersionOneLeftover) continue;
    if (const auto error = parts_.files.remove(parts_.options.path(other.name))) {
      parts_.faults.report({"remove", other.name, error->number});
      continue;
    }
    if (versionOne) parts_.writer.setConvertedFingerprint(0);
    parts_.writer.removeUsed(roundUpToBlocks(other.bytes));
  }
}

void JournalOpening::writeRequestsWithoutBody(Recovered& found) {
  if (found.bodiesLost == 0) return;
  for (RecoveredRequest& request : found.pending) {
    if (request.segment != 0) continue;
    if (!parts_.writer.append(request.pending)) return;
    LiveRecords::Segment& newest = parts_.records.newest();
    request.segment = newest.sequence;
    parts_.records.place(request.pending.journalEntry, newest, recordBytes(request.pending));
  }
}

}  // namespace myrtleloft
