#include "journal/journal.h"

#include <algorithm>
#include <utility>

#include "journal/journal_opening.h"
#include "journal/segment.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kMaxCompletionsPerCall = 64;
constexpr std::size_t kStartsPerSegment = 4;  // minimum ratio of a segment's size to that of its start

std::size_t recordBytes(const PendingRequest& request) { return kFrameBytes + encodedSize(request); }

JournalOptions withSegmentSize(JournalOptions options, const JournalPlanner& planner) {
  if (options.segmentBytes == 0) options.segmentBytes = planner.segmentBytes(options.diskBytes);
  const std::size_t start = SegmentWriter::startBytes(options.names);
  if (start > kSegmentHeaderBytes)
    options.segmentBytes = std::max(options.segmentBytes, kStartsPerSegment * start);
  return options;
}

}  // namespace

Journal::Journal(const Parts& parts, JournalOptions options)
    : parts_(parts),
      planner_(options.tuning),
      options_(withSegmentSize(std::move(options), planner_)),
      clock_(parts.clock),
      faults_(parts.clock, parts.log, planner_.tuning().faultPauseMs, statistics_.faults),
      commit_(parts.syncer),
      writer_(
          {parts.files, parts.clock, clock_, options_, planner_, faults_, commit_, records_, statistics_}),
      compaction_({parts.clock, planner_, commit_, records_, writer_, statistics_}) {}

Journal::~Journal() = default;

Result<Recovered, JournalError> Journal::open() {
  JournalOpening opening(
      {parts_.files, parts_.log, options_, planner_, clock_, faults_, records_, writer_, lock_});
  Result<Recovered, JournalError> found = opening.run();
  if (found) unattached_ = found->pending.size();
  return found;
}

JournalError Journal::beginError() const {
  const int number = writer_.beginError() ? writer_.beginError()->number : 0;
  return FileError{"write the journal in", options_.folder, number};
}

void Journal::attach(PendingRequest& request) {
  records_.attach(request.journalEntry, &request);
  --unattached_;
}

bool Journal::recordAccepted(PendingRequest& request) {
  const std::size_t bytes = recordBytes(request);
  if (faults_.pausing() || compaction_.hasUncertain() || bytes > kMaxRecordBytes) return false;
  writeCompletions();
  // If the new request has the same id as a completed one, the completion of the old request must not be
  // recorded after the new request: recovery would then drop the new one.
  if (!unrecordedCompletions_.empty()) return false;
  if (!planner_.admits(usage(), bytes)) {
    // The upper bound `largestLive` may be out of date.
    records_.measureLargestLive();
    if (!planner_.admits(usage(), bytes)) return false;
  }
  if (!writer_.append(request)) return false;
  statistics_.acceptedBytes += bytes;
  request.journalEntry = records_.add(&request, planner_.tuning().perRequestReserve);
  records_.place(request.journalEntry, records_.newest(), bytes);
  return true;
}

template <typename RecordType>
bool Journal::record(const RecordType& record, std::uint32_t entry, std::size_t growth,
                     std::size_t remainder) {
  frame_.clear();
  openFrame(frame_);
  encode(record, frame_);
  const std::size_t bytes = frame_.size();
  if (!writer_.ready(bytes)) return false;
  const std::size_t reserve = records_[entry].reserve;
  const bool reserved = reserve >= bytes + growth + remainder;
  // A record with no remainder, the last of its request, is limited only by the disk budget itself.
  if (remainder > 0 && !reserved && !planner_.permits(usage(), bytes, growth)) return false;
  if (!writer_.appendFrame(frame_)) return false;
  if (reserved) records_.setReserve(entry, reserve - (bytes + growth));
  return true;
}

bool Journal::recordAttempt(PendingRequest& request, RecordedAttempt attempt) {
  const std::uint32_t entry = request.journalEntry;
  if (entry == kNone) return false;  // completed or never accepted
  attempt.attempt = request.attempts;
  writeCompletions();
  const std::size_t growth = encodedSize(attempt);
  AttemptRecord made{request.id, std::move(attempt)};
  if (!record(made, entry, growth, planner_.tuning().completionReserve)) return false;
  ++request.attempts;
  request.ambiguousAttempts.push_back(std::move(made.attempt));
  records_.setLive(entry, records_[entry].live + growth);
  return true;
}

bool Journal::recordNotExecuted(PendingRequest& request) {
  const std::uint32_t entry = request.journalEntry;
  const bool isDecided = request.status != FinalStatus::kUndecided;
  if (request.ambiguousAttempts.empty() || entry == kNone || isDecided)
    return request.ambiguousAttempts.empty();
  const RecordedAttempt attempt = std::move(request.ambiguousAttempts.back());
  request.ambiguousAttempts.pop_back();
  const std::size_t live = records_[entry].live;
  records_.setLive(entry, live - std::min(live, encodedSize(attempt)));
  const NotExecutedRecord proof{request.id, attempt.attempt};
  if (record(proof, entry, 0, planner_.tuning().completionReserve)) return true;
  request.recordedAsAmbiguous = true;
  return false;
}

bool Journal::recordFinalStatus(PendingRequest& request, FinalStatus status, double retryAfterMs) {
  request.status = status;
  request.retryAfterMs = retryAfterMs;
  request.body = std::string();
  const std::uint32_t entry = request.journalEntry;
  if (entry == kNone) return false;
  if (records_[entry].live > 0) records_.setLive(entry, recordBytes(request));
  return record(FinalStatusRecord{request.id, status, retryAfterMs}, entry, 0, 0);
}

bool Journal::recordCompleted(PendingRequest& request) {
  const std::uint32_t entry = std::exchange(request.journalEntry, kNone);
  if (entry == kNone) return true;
  records_.remove(entry);
  unrecordedCompletions_.push_back(request.id);
  writeCompletions();
  return unrecordedCompletions_.empty();
}

// Bounded per call so that the event loop is not blocked: after a disk failure thousands may be waiting.
void Journal::writeCompletions() {
  for (std::size_t i = 0; i < kMaxCompletionsPerCall && !unrecordedCompletions_.empty(); ++i) {
    if (!writer_.append(CompletedRecord{unrecordedCompletions_.front()})) return;
    unrecordedCompletions_.pop_front();
  }
}

bool Journal::reserve(std::size_t bytes) {
  if (bytes > 0 && !planner_.permits(usage(), bytes, 0)) return false;
  writer_.addUsed(bytes);
  return true;
}

void Journal::release(std::size_t bytes) { writer_.removeUsed(std::min(writer_.used(), bytes)); }

bool Journal::wantsCompaction() const {
  if (!writer_.begun()) return false;  // no segment to rewrite records to
  if (!unrecordedCompletions_.empty()) return true;
  return unattached_ == 0 && compaction_.wanted();
}

bool Journal::compactStep() {
  if (unattached_ > 0) return true;
  if (faults_.pausing() || !writer_.begun()) return false;
  writeCompletions();
  const bool hasUncertain = compaction_.refreshUncertain();
  const bool good = compaction_.step();
  // Segments can be deleted only after a sync of the rewritten records, and further rewrites need their
  // space. This sync does not make `durable()` advance: that waits until all uncertain records are rewritten.
  if (hasUncertain && !faults_.pausing()) commit_.submit();
  return good;
}

void Journal::sync() {
  // Records that a failed sync left uncertain become durable only by being rewritten.
  if (!commit_.canSubmit() || compaction_.refreshUncertain()) return;
  commit_.submit();
}

bool Journal::collect() {
  if (!parts_.syncer) return true;
  bool good = true;
  while (const auto done = commit_.collect()) {
    if (!done->error) continue;
    good = false;
    faults_.report({"sync", options_.folder, done->error->number});
    durableBeforeFault_ = durable();
    compaction_.markAllUncertain();
  }
  sync();
  return good;
}

}  // namespace myrtleloft
