// The journal's records and their encoding. Records are serialized with cereal: numbers have a fixed size and
// the byte order of this machine, strings are preceded by their length.
//
//   std::string bytes;
//   encode(AttemptRecord{"9b1f", attempt}, bytes);                    // appends
//   if (const std::optional<Record> record = decode(bytes)) ...       // empty if invalid
//
// Thread-safe; encoding and decoding cost O(size).
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

// An attempt that is not known not executed, and so may have had an effect.
struct RecordedAttempt {
  // Stand-ins for the numbers of an attempt and its zone if the attempt's record may have been in a damaged
  // part of the journal, or if another relay may have made it. Neither its number nor its zone is known, and
  // its time is the earliest possible one.
  static constexpr int kLostAttempt = -1;
  static constexpr int kLostZone = AmbiguousAttempt::kUnknownZone;

  std::string endpoint;
  int zone = 0;
  double sentWallMs = 0;
  int attempt = 0;  // index among the request's attempts, from 0
};

// The state of a request that must survive the process. Its times are on the journal's clock
// (journal/journal_clock.h), which is the wall clock without its later changes.
struct PendingRequest {
  static constexpr std::uint32_t kNoEntry = 0xffffffff;

  std::string id;
  std::string key;  // the idempotency key
  std::string body;
  int classIndex = 0;
  int tenant = 0;
  std::int64_t destination = 0;
  double deadlineWallMs = 0;
  double acceptedWallMs = 0;  // this relay made no attempt before this time; 0 if unknown
  bool isRetry = false;
  // Must not be executed twice, whatever its class permits: it was accepted under stricter settings.
  bool nonIdempotent = false;
  int attempts = 0;  // number made so far
  std::vector<RecordedAttempt> ambiguousAttempts;
  // Other than kUndecided once the request has ended and until the platform has confirmed the notification.
  FinalStatus status = FinalStatus::kUndecided;
  double retryAfterMs = 0;
  // The following members are not recorded.
  std::uint32_t journalEntry = kNoEntry;  // index used by the journal
  // An attempt is known not executed, but that could not be recorded, so it is still ambiguous on the disk.
  bool recordedAsAmbiguous = false;
};

// The complete state of a request. Written when it is accepted and each time that compaction rewrites it.
struct AcceptedRecord {
  PendingRequest pending;
};
// An attempt. Written before the first byte of its call is sent.
struct AttemptRecord {
  std::string id;
  RecordedAttempt attempt;
};
// The attempt of this number is known not executed.
struct NotExecutedRecord {
  std::string id;
  int attempt = 0;
};
// The request ended with this status; the platform has yet to confirm the notification.
struct FinalStatusRecord {
  std::string id;
  FinalStatus status = FinalStatus::kUndecided;
  double retryAfterMs = 0;
};
// Nothing is left to do for the request.
struct CompletedRecord {
  std::string id;
};
// The live records of all segments before `firstSegment` have been rewritten, so these segments may be
// deleted.
struct SegmentsDeletedRecord {
  std::uint64_t firstSegment = 0;
};

// A class as the settings define it.
struct ClassEntry {
  std::string name;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::kDestination;
  double idempotencyWindowMs = 0;
  bool operator==(const ClassEntry&) const = default;
};
// The names of the classes, tenants and zones to which the records of a segment refer by index, and what the
// classes permitted, from the settings of the process that wrote the segment. journal/name_table.h translates
// the indexes.
struct NameTable {
  std::vector<ClassEntry> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;

  bool empty() const { return classes.empty(); }  // if empty, the names are not known
  bool operator==(const NameTable&) const = default;
};
// The first record of a segment. Written twice, like the header, because without it the requests of the
// segment could not be sent.
struct NameTableRecord {
  NameTable names;
};
// The anchor of the clock used for the times in the segment. Written after each copy of the names.
struct ClockRecord {
  ClockAnchor anchor;
};
using Record = std::variant<AcceptedRecord, AttemptRecord, NotExecutedRecord, FinalStatusRecord,
                            CompletedRecord, SegmentsDeletedRecord, NameTableRecord, ClockRecord>;

// Each function appends the encoded record to `out`. A request is encoded as an AcceptedRecord.
void encode(const PendingRequest& request, std::string& out);
void encode(const AttemptRecord& record, std::string& out);
void encode(const NotExecutedRecord& record, std::string& out);
void encode(const FinalStatusRecord& record, std::string& out);
void encode(const CompletedRecord& record, std::string& out);
void encode(const SegmentsDeletedRecord& record, std::string& out);
void encode(const NameTableRecord& record, std::string& out);
void encode(const ClockRecord& record, std::string& out);
// Returns std::nullopt unless the payload is exactly one valid record.
std::optional<Record> decode(std::string_view payload);
// Returns whether the payload of a valid record is a SegmentsDeletedRecord. O(1).
bool isSegmentsDeletedRecord(std::string_view payload);

// The number of bytes that `encode` appends for the argument, or for it as part of a record.
std::size_t encodedSize(const PendingRequest& request);
std::size_t encodedSize(const RecordedAttempt& attempt);
std::size_t encodedSize(const NameTable& names);
std::size_t encodedSize(const ClockAnchor& anchor);

}  // namespace myrtleloft
