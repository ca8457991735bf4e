// What a journal's record says, and its bytes. The bytes are cereal's: fixed-size numbers in this machine's
// order, texts behind their length.
//
//   std::string bytes;
//   encode(AttemptRecord{"9b1f", attempt}, bytes);                    // appends
//   if (const std::optional<Record> record = decode(bytes)) ...       // nothing: not a record of ours
//
// Safe for several threads; both cost O(size).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "journal/journal_clock.h"
#include "myrtleloft/dispatcher.h"

namespace myrtleloft {

enum class FinalStatus : std::uint8_t { kUndecided, kFailed, kReturned };

// A call with the request that is not known not executed: it may have had an effect.
struct RecordedAttempt {
  // Numbers of an attempt, and of its zone, that may have stood in a damaged part of the journal: which one,
  // where and when is not known.
  static constexpr int kLostAttempt = -1;
  static constexpr int kLostZone = -2;

  std::string endpoint;
  int zone = 0;
  double sentWallMs = 0;
  int attempt = 0;  // its number among the request's attempts, from 0
};

// All of a request that must outlast the process. Its times are by the journal's clock
// (journal/journal_clock.h): the wall's, but for its being set.
struct PendingRequest {
  static constexpr std::uint32_t kNoEntry = 0xffffffff;

  std::string id;
  std::string key;  // the idempotency key
  std::string body;
  int classIndex = 0;
  int tenant = 0;
  std::int64_t destination = 0;
  double deadlineWallMs = 0;
  double acceptedWallMs = 0;  // 0: not known; no attempt was made before it
  bool isRetry = false;
  int attempts = 0;  // made so far
  std::vector<RecordedAttempt> ambiguousAttempts;
  FinalStatus status =
      FinalStatus::kUndecided;  // decided, but the platform has not confirmed the notification
  double retryAfterMs = 0;
  // These are in no record.
  std::uint32_t journalEntry = kNoEntry;  // the journal's own
  // The disk has an attempt as ambiguous that is known not executed: that could not be recorded.
  bool recordedAsAmbiguous = false;
};

// The request as it stands: when it is accepted, and again each time that compaction rewrites it.
struct AcceptedRecord {
  PendingRequest pending;
};
// Before a call's first byte.
struct AttemptRecord {
  std::string id;
  RecordedAttempt attempt;
};
// That attempt is known not executed.
struct NotExecutedRecord {
  std::string id;
  int attempt = 0;
};
// Given up; its notification is still to be confirmed.
struct FinalStatusRecord {
  std::string id;
  FinalStatus status = FinalStatus::kUndecided;
  double retryAfterMs = 0;
};
// Nothing is left to do.
struct CompletedRecord {
  std::string id;
};
// All segments before this one have been rewritten, and may be gone.
struct SegmentsDeletedRecord {
  std::uint64_t firstSegment = 0;
};

struct ClassEntry {
  std::string name;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::kDestination;
  double idempotencyWindowMs = 0;
  bool operator==(const ClassEntry&) const = default;
};
// What the settings of the process that wrote a segment called the numbers in it, and what its classes
// permitted. journal/name_table.h translates.
struct NameTable {
  std::vector<ClassEntry> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;

  bool empty() const { return classes.empty(); }  // the numbers are not named
  bool operator==(const NameTable&) const = default;
};
// The first of a segment, twice, like its header: without it, the requests of the segment could not be sent.
struct NameTableRecord {
  NameTable names;
};
// The clock of the times in the segment's records. Behind the names, twice as they are.
struct ClockRecord {
  ClockAnchor anchor;
};
using Record = std::variant<AcceptedRecord, AttemptRecord, NotExecutedRecord, FinalStatusRecord,
                            CompletedRecord, SegmentsDeletedRecord, NameTableRecord, ClockRecord>;

// Each appends the record's bytes. Of a request, those of an AcceptedRecord.
void encode(const PendingRequest& request, std::string& out);
void encode(const AttemptRecord& record, std::string& out);
void encode(const NotExecutedRecord& record, std::string& out);
void encode(const FinalStatusRecord& record, std::string& out);
void encode(const CompletedRecord& record, std::string& out);
void encode(const SegmentsDeletedRecord& record, std::string& out);
void encode(const NameTableRecord& record, std::string& out);
void encode(const ClockRecord& record, std::string& out);
// Nothing: not a record of ours, or not exactly one.
std::optional<Record> decode(std::string_view payload);
// Whether the bytes, if they are a record of ours, are a SegmentsDeletedRecord. O(1).
bool isSegmentsDeletedRecord(std::string_view payload);

// How many bytes `encode` appends for it.
std::size_t encodedSize(const PendingRequest& request);
std::size_t encodedSize(const RecordedAttempt& attempt);
std::size_t encodedSize(const NameTable& names);
std::size_t encodedSize(const ClockAnchor& anchor);

}  // namespace myrtleloft
