// Encodes a journal of format version 1: a single file of records, as programs before the introduction of
// segments wrote it.
#pragma once

#include <zlib.h>

#include <cstdint>
#include <string>

#include "journal/records.h"

namespace myrtleloft::testing {

// Frames consist of a length, a CRC-32 and the payload. Strings are preceded by their 32-bit length.
class VersionOne {
 public:
  void accepted(const PendingRequest& request) {
    std::string payload = "T";
    text(payload, request.id);
    text(payload, request.key);
    raw(payload, request.classIndex);
    raw(payload, request.tenant);
    raw(payload, request.destination);
    raw(payload, request.deadlineWallMs);
    raw(payload, request.isRetry);
    raw(payload, request.attempts);
    raw(payload, static_cast<int>(request.status));
    raw(payload, request.retryAfterMs);
    raw(payload, static_cast<std::uint32_t>(request.ambiguousAttempts.size()));
    for (const RecordedAttempt& recorded : request.ambiguousAttempts) attempt(payload, recorded);
    text(payload, request.body);
    frame(payload);
  }
  void attempt(const std::string& id, const RecordedAttempt& recorded) {
    std::string payload = "A";
    text(payload, id);
    attempt(payload, recorded);
    frame(payload);
  }
  void notExecuted(const std::string& id) { named('H', id); }
  void completed(const std::string& id) { named('E', id); }
  void status(const std::string& id, FinalStatus status, double waitMs) {
    std::string payload = "V";
    text(payload, id);
    raw(payload, static_cast<int>(status));
    raw(payload, waitMs);
    frame(payload);
  }
  std::string bytes;

 private:
  template <typename Number>
  static void raw(std::string& out, Number value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
  }
  static void text(std::string& out, const std::string& value) {
    raw(out, static_cast<std::uint32_t>(value.size()));
    out += value;
  }
  static void attempt(std::string& out, const RecordedAttempt& recorded) {
    text(out, recorded.endpoint);
    raw(out, recorded.zone);
    raw(out, recorded.sentWallMs);
  }
  void named(char type, const std::string& id) {
    std::string payload(1, type);
    text(payload, id);
    frame(payload);
  }
  void frame(const std::string& payload) {
    raw(bytes, static_cast<std::uint32_t>(payload.size()));
    raw(bytes, static_cast<std::uint32_t>(::crc32(0, reinterpret_cast<const Bytef*>(payload.data()),
                                                  static_cast<uInt>(payload.size()))));
    bytes += payload;
  }
};

}  // namespace myrtleloft::testing
