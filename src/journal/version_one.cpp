#include "journal/version_one.h"

#include <zlib.h>

#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "journal/segment.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kVersionOneFrameBytes = 8;

// Reads fields in sequence. After a truncated or invalid field, `good` returns false, and further fields must
// not be used.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : remaining_(bytes) {}

  template <typename Number>
  Number number() {
    Number value{};
    if (remaining_.size() < sizeof value) {
      good_ = false;
      return value;
    }
    std::memcpy(&value, remaining_.data(), sizeof value);
    remaining_.remove_prefix(sizeof value);
    return value;
  }
  bool flag() { return number<unsigned char>() != 0; }
  std::string text() {
    const std::size_t size = number<std::uint32_t>();
    good_ = good_ && size <= remaining_.size();
    if (!good_) return {};
    std::string value(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return value;
  }
  FinalStatus finalStatus() {
    const int value = number<int>();
    good_ = good_ && value >= 0 && value <= static_cast<int>(FinalStatus::kReturned);
    return good_ ? static_cast<FinalStatus>(value) : FinalStatus::kUndecided;
  }
  bool good() const { return good_; }

 private:
  std::string_view remaining_;
  bool good_ = true;
};

RecordedAttempt readAttempt(FieldReader& fields) {
  RecordedAttempt attempt;
  attempt.endpoint = fields.text();
  attempt.zone = fields.number<int>();
  attempt.sentWallMs = fields.number<double>();
  return attempt;
}

PendingRequest readRequest(FieldReader& fields) {
  PendingRequest request;
  request.id = fields.text();
  request.key = fields.text();
  request.classIndex = fields.number<int>();
  request.tenant = fields.number<int>();
  request.destination = fields.number<std::int64_t>();
  request.deadlineWallMs = fields.number<double>();
  request.isRetry = fields.flag();
  request.attempts = fields.number<int>();
  request.status = fields.finalStatus();
  request.retryAfterMs = fields.number<double>();
  std::vector<RecordedAttempt>& attempts = request.ambiguousAttempts;
  for (auto left = fields.number<std::uint32_t>(); left > 0 && fields.good(); --left)
    attempts.push_back(readAttempt(fields));
  // Version 1 did not record attempt numbers. The ambiguous attempts get the highest numbers; the choice does
  // not matter.
  for (std::size_t i = 0; i < attempts.size(); ++i)
    attempts[i].attempt = request.attempts - static_cast<int>(attempts.size() - i);
  request.body = fields.text();
  return request;
}

// Number of attempts by request id. Version 1 records of attempts have no number, and a "not executed" record
// always means the newest attempt, so the attempts are counted here.
using AttemptCounts = std::map<std::string, int, std::less<>>;

std::optional<Record> readRecord(std::string_view payload, AttemptCounts& counts) {
  FieldReader fields(payload);
  const char type = fields.number<char>();
  std::optional<Record> record;
  if (type == 'T') {
    AcceptedRecord accepted{readRequest(fields)};
    counts[accepted.pending.id] = accepted.pending.attempts;
    if (fields.good()) record = std::move(accepted);
    return record;
  }
  std::string id = fields.text();
  if (!fields.good()) return std::nullopt;
  int& made = counts[id];
  if (type == 'A') {
    AttemptRecord attempt{std::move(id), readAttempt(fields)};
    attempt.attempt.attempt = made++;
    if (fields.good()) record = std::move(attempt);
  } else if (type == 'H') {
    record = NotExecutedRecord{std::move(id), made - 1};
  } else if (type == 'V') {
    FinalStatusRecord status{std::move(id), fields.finalStatus(), 0};
    status.retryAfterMs = fields.number<double>();
    if (fields.good()) record = std::move(status);
  } else if (type == 'E') {
    counts.erase(id);
    record = CompletedRecord{std::move(id)};
  }
  return record;
}

struct Frame {
  enum class Kind { kGood, kTorn, kDamaged };
  Kind kind = Kind::kDamaged;
  std::string_view payload;
};

// Reads the frame at the start of `bytes`.
Frame readFrame(std::string_view bytes) {
  if (bytes.size() < kVersionOneFrameBytes) return {Frame::Kind::kTorn, {}};
  std::uint32_t size = 0;
  std::uint32_t check = 0;
  std::memcpy(&size, bytes.data(), sizeof size);
  std::memcpy(&check, bytes.data() + sizeof size, sizeof check);
  if (size > kMaxRecordBytes) return {Frame::Kind::kDamaged, {}};
  if (bytes.size() - kVersionOneFrameBytes < size) return {Frame::Kind::kTorn, {}};
  const std::string_view payload = bytes.substr(kVersionOneFrameBytes, size);
  const auto sum = ::crc32(0, reinterpret_cast<const Bytef*>(payload.data()), static_cast<uInt>(size));
  return {sum == check ? Frame::Kind::kGood : Frame::Kind::kDamaged, payload};
}

}  // namespace

void replayVersionOne(std::string_view bytes, Replay& replay, Recovered& found) {
  AttemptCounts counts;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::string_view rest = bytes.substr(at);
    const Frame frame = readFrame(rest);
    // An incomplete frame at the end. This format cannot tell a torn write from other damage.
    if (frame.kind == Frame::Kind::kTorn) {
      found.torn += rest.size();
      return;
    }
    std::optional<Record> record;
    if (frame.kind == Frame::Kind::kGood) record = readRecord(frame.payload, counts);
    if (!record) {
      // Frames have no mark, so no later record can be found, and the number of lost records is unknown.
      found.corruptions.push_back({kVersionOneName, at, rest.size(), "damaged"});
      replay.noteCorruption();
      return;
    }
    ++found.records;
    replay.apply(0, *record);
    at += kVersionOneFrameBytes + frame.payload.size();
  }
}

}  // namespace myrtleloft
