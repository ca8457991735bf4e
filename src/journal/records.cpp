#include "journal/records.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "journal/archive.h"

namespace myrtleloft {

// cereal serialization functions. They define the order of the fields on disk.
template <typename Archive>
void serialize(Archive& archive, RecordedAttempt& attempt) {
  archive(attempt.endpoint, attempt.zone, attempt.sentWallMs, attempt.attempt);
}
// The flags of a request, one bit each. Programs that knew only the first wrote 0 or 1.
enum RequestFlag : std::uint8_t { kIsRetry = 1, kNonIdempotent = 2 };
template <typename Archive>
void serialize(Archive& archive, PendingRequest& request) {
  std::uint8_t flags = (request.isRetry ? kIsRetry : 0) | (request.nonIdempotent ? kNonIdempotent : 0);
  archive(request.id, request.key, request.classIndex, request.tenant, request.destination,
          request.deadlineWallMs, request.acceptedWallMs, flags, request.attempts, request.status,
          request.retryAfterMs, request.ambiguousAttempts, request.body);
  if constexpr (Archive::is_loading::value) {
    request.isRetry = (flags & kIsRetry) != 0;
    request.nonIdempotent = (flags & kNonIdempotent) != 0;
  }
}
template <typename Archive>
void serialize(Archive& archive, AcceptedRecord& record) {
  archive(record.pending);
}
template <typename Archive>
void serialize(Archive& archive, AttemptRecord& record) {
  archive(record.id, record.attempt);
}
template <typename Archive>
void serialize(Archive& archive, NotExecutedRecord& record) {
  archive(record.id, record.attempt);
}
template <typename Archive>
void serialize(Archive& archive, FinalStatusRecord& record) {
  archive(record.id, record.status, record.retryAfterMs);
}
template <typename Archive>
void serialize(Archive& archive, CompletedRecord& record) {
  archive(record.id);
}
template <typename Archive>
void serialize(Archive& archive, SegmentsDeletedRecord& record) {
  archive(record.firstSegment);
}
template <typename Archive>
void serialize(Archive& archive, ClassEntry& entry) {
  archive(entry.name, entry.idempotency, entry.deduplicationScope, entry.idempotencyWindowMs);
}
template <typename Archive>
void serialize(Archive& archive, NameTable& names) {
  archive(names.classes, names.tenants, names.zones);
}
template <typename Archive>
void serialize(Archive& archive, NameTableRecord& record) {
  archive(record.names);
}
template <typename Archive>
void serialize(Archive& archive, ClockRecord& record) {
  archive(record.anchor.machineRun, record.anchor.machineMs, record.anchor.recordedMs);
}

namespace {

// The first byte of an encoded record.
enum class Type : char {
  kAccepted = 'T',
  kAttempt = 'A',
  kNotExecuted = 'H',
  kFinalStatus = 'V',
  kCompleted = 'E',
  kSegmentsDeleted = 'R',
  kNameTable = 'N',
  kClock = 'C'
};

template <typename RecordType>
void put(Type type, const RecordType& record, std::string& out) {
  out += static_cast<char>(type);
  BufferOutputArchive archive(out);
  archive(record);
}

bool isKnown(FinalStatus status) { return status <= FinalStatus::kReturned; }

bool isKnown(const ClassEntry& entry) {
  return entry.idempotency >= Idempotency::kIdempotent && entry.idempotency <= Idempotency::kNonIdempotent &&
         entry.deduplicationScope >= DeduplicationScope::kDestination &&
         entry.deduplicationScope <= DeduplicationScope::kCell;
}

// Returns whether all enumerators in the record have known values.
template <typename RecordType>
bool isValid(const RecordType&) {
  return true;
}
bool isValid(const AcceptedRecord& record) { return isKnown(record.pending.status); }
bool isValid(const FinalStatusRecord& record) { return isKnown(record.status); }
bool isValid(const NameTableRecord& record) {
  return std::all_of(record.names.classes.begin(), record.names.classes.end(),
                     [](const ClassEntry& entry) { return isKnown(entry); });
}

// Decodes directly into `record`, which avoids moving a large request.
template <typename RecordType>
bool get(BufferInputArchive& archive, std::optional<Record>& record) {
  auto& read = std::get<RecordType>(record.emplace(std::in_place_type<RecordType>));
  archive(read);
  return archive.left() == 0 && isValid(read);
}

bool get(Type type, BufferInputArchive& archive, std::optional<Record>& record) {
  switch (type) {
    case Type::kAccepted:
      return get<AcceptedRecord>(archive, record);
    case Type::kAttempt:
      return get<AttemptRecord>(archive, record);
    case Type::kNotExecuted:
      return get<NotExecutedRecord>(archive, record);
    case Type::kFinalStatus:
      return get<FinalStatusRecord>(archive, record);
    case Type::kCompleted:
      return get<CompletedRecord>(archive, record);
    case Type::kSegmentsDeleted:
      return get<SegmentsDeletedRecord>(archive, record);
    case Type::kNameTable:
      return get<NameTableRecord>(archive, record);
    case Type::kClock:
      return get<ClockRecord>(archive, record);
  }
  return false;
}

}  // namespace

void encode(const PendingRequest& request, std::string& out) { put(Type::kAccepted, request, out); }
void encode(const AttemptRecord& record, std::string& out) { put(Type::kAttempt, record, out); }
void encode(const NotExecutedRecord& record, std::string& out) { put(Type::kNotExecuted, record, out); }
void encode(const FinalStatusRecord& record, std::string& out) { put(Type::kFinalStatus, record, out); }
void encode(const CompletedRecord& record, std::string& out) { put(Type::kCompleted, record, out); }
void encode(const SegmentsDeletedRecord& record, std::string& out) {
  put(Type::kSegmentsDeleted, record, out);
}
void encode(const NameTableRecord& record, std::string& out) { put(Type::kNameTable, record, out); }
void encode(const ClockRecord& record, std::string& out) { put(Type::kClock, record, out); }

std::optional<Record> decode(std::string_view payload) {
  std::optional<Record> record;
  if (payload.empty()) return record;
  try {
    BufferInputArchive archive(payload.substr(1));
    if (!get(static_cast<Type>(payload.front()), archive, record)) record.reset();
  } catch (const std::exception&) {
    record.reset();
  }
  return record;
}

bool isSegmentsDeletedRecord(std::string_view payload) {
  return !payload.empty() && static_cast<Type>(payload.front()) == Type::kSegmentsDeleted;
}

std::size_t encodedSize(const RecordedAttempt& attempt) {
  return sizeof(std::uint32_t) + attempt.endpoint.size() + sizeof attempt.zone + sizeof attempt.sentWallMs +
         sizeof attempt.attempt;
}

std::size_t encodedSize(const NameTable& names) {
  std::string bytes;
  encode(NameTableRecord{names}, bytes);
  return bytes.size();
}

std::size_t encodedSize(const ClockAnchor& anchor) {
  return sizeof(char) + sizeof anchor.machineRun + sizeof anchor.machineMs + sizeof anchor.recordedMs;
}

std::size_t encodedSize(const PendingRequest& request) {
  // The record type, four length fields, and the fields of a fixed size. A test compares the result with
  // `encode`.
  constexpr std::size_t kFixed =
      1 + 4 * sizeof(std::uint32_t) + sizeof request.classIndex + sizeof request.tenant +
      sizeof request.destination + sizeof request.deadlineWallMs + sizeof request.acceptedWallMs + 1 +
      sizeof request.attempts + sizeof request.status + sizeof request.retryAfterMs;
  std::size_t size = kFixed + request.id.size() + request.key.size() + request.body.size();
  for (const RecordedAttempt& attempt : request.ambiguousAttempts) size += encodedSize(attempt);
  return size;
}

}  // namespace myrtleloft
