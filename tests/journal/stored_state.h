// State folders written by earlier versions of the program, and formatting of the recovered state as lines
// with tab-separated fields. See tests/data/state-d274781/README.md for the origin of the folders and the
// fields.
#pragma once

#include <doctest/doctest.h>
#include <zlib.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "discovery/endpoint_cache.h"
#include "journal/files.h"
#include "journal/journal.h"
#include "lab/hand_clock.h"

namespace myrtleloft::testing {

using Lines = std::vector<std::string>;

inline const std::filesystem::path kStoredStates =
    std::filesystem::path(MYRTLELOFT_TEST_DATA) / "state-d274781";

inline std::string contentOf(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  REQUIRE(file);
  std::ostringstream out;
  out << file.rdbuf();
  return out.str();
}

// Returns the lines of a file in the stored test data.
inline Lines expectedLines(const std::string& name) {
  std::ifstream file(kStoredStates / name);
  REQUIRE(file);
  Lines lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

inline Lines splitFields(const std::string& line) {
  std::istringstream rest(line);
  Lines fields;
  for (std::string field; std::getline(rest, field, '\t');) fields.push_back(field);
  return fields;
}
inline std::string joinFields(const Lines& fields) {
  std::string line;
  for (const std::string& field : fields) line += (&field == &fields.front() ? "" : "\t") + field;
  return line;
}

// Returns the lines of requests only, without their last field, the segment.
inline Lines withoutSegment(const Lines& lines) {
  Lines requests;
  for (const std::string& line : lines)
    if (line.starts_with("request\t")) requests.push_back(line.substr(0, line.rfind('\t')));
  return requests;
}

inline void checkSame(const Lines& found, const Lines& expected) {
  CHECK_EQ(found.size(), expected.size());
  for (std::size_t i = 0; i < std::min(found.size(), expected.size()); ++i)
    REQUIRE_EQ(found[i], expected[i]);  // stops at the first difference, after which all lines may be shifted
}

// A temporary copy of one of the folders, for tests that write to it.
struct StoredCopy {
  explicit StoredCopy(const char* name) {
    std::string pattern = (std::filesystem::temp_directory_path() / "stored-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()));
    path = pattern;
    std::filesystem::copy(kStoredStates / name, path, std::filesystem::copy_options::recursive);
  }
  ~StoredCopy() { std::filesystem::remove_all(path); }
  StoredCopy(const StoredCopy&) = delete;
  StoredCopy& operator=(const StoredCopy&) = delete;
  std::string path;
};

// Returns the clocks of the process that last wrote to a folder, some minutes later. For `program` they are
// unknown.
inline lab::HandClock clockOfLast(const std::string& name) {
  lab::HandClock clock;
  clock.run = name == "program" ? "another run" : "4d9c1f3e-7a52-4d51-9f0e-2b8a6c1e7d10";
  clock.wall = name == "program" ? 1796225700000.0 : name == "current" ? 1764623607000.0 : 1764610000000.0;
  clock.machine = name == "current" ? 91000000.0 : 81000000.0;
  clock.nowMs = 400000;
  return clock;
}

inline std::string exactDecimal(double value) {
  std::array<char, 32> text;
  std::snprintf(text.data(), text.size(), "%.17g", value);
  return text.data();
}
inline std::string orDash(const std::string& value) { return value.empty() ? "-" : value; }
inline std::string digestOf(const std::string& body) {
  std::array<char, 40> text;
  const auto* bytes = reinterpret_cast<const Bytef*>(body.data());
  std::snprintf(text.data(), text.size(), "%zu:%08lx", body.size(),
                ::crc32(0, bytes, static_cast<uInt>(body.size())));
  return text.data();
}

inline std::string lineOf(const RecoveredRequest& recovered) {
  const PendingRequest& pending = recovered.pending;
  std::string attempts;
  for (const RecordedAttempt& attempt : pending.ambiguousAttempts)
    attempts += (attempts.empty() ? "" : ",") + attempt.endpoint + "@" + std::to_string(attempt.zone) + "@" +
                exactDecimal(attempt.sentWallMs) + "#" + std::to_string(attempt.attempt);
  const char* status = pending.status == FinalStatus::kFailed     ? "dead"
                       : pending.status == FinalStatus::kReturned ? "bounced"
                                                                  : "none";
  return joinFields({"request", pending.id, orDash(pending.key), std::to_string(pending.classIndex),
                     std::to_string(pending.tenant), std::to_string(pending.destination),
                     exactDecimal(pending.deadlineWallMs), exactDecimal(pending.acceptedWallMs),
                     pending.isRetry ? "retry" : "first", std::to_string(pending.attempts), status,
                     exactDecimal(pending.retryAfterMs), digestOf(pending.body), orDash(attempts),
                     std::to_string(recovered.segment)});
}

inline Lines requestLines(const Recovered& found) {
  Lines lines;
  for (const RecoveredRequest& request : found.pending) lines.push_back(lineOf(request));
  std::sort(lines.begin(), lines.end());
  return lines;
}

// Formats everything that was recovered from a folder.
inline Lines linesOf(const std::string& folder, const Recovered& found) {
  const auto text = [](std::uint64_t number) { return std::to_string(number); };
  Lines lines = {joinFields({"folder", text(found.firstSegment), text(found.salt),
                             text(found.convertedFingerprint), found.versionOne ? "version-1" : "segments",
                             text(found.versionOneFingerprint), text(found.torn), text(found.madeAmbiguous),
                             text(found.bodiesLost), text(found.records), text(found.pending.size())})};
  for (const SegmentInfo& segment : found.segments) {
    const HeaderState header = readHeader(contentOf(folder + "/" + segmentName(segment.sequence)));
    lines.push_back(
        joinFields({"segment", text(segment.sequence), text(header.version), text(segment.fileBytes),
                    text(segment.validBytes), text(segment.headBytes), text(segment.records),
                    exactDecimal(segment.createdWallMs), segment.headerGood ? "good" : "damaged",
                    segment.named ? "named" : "unnamed", segment.stale ? "stale" : "needed"}));
  }
  Lines others;
  for (const FileInfo& file : found.others)
    others.push_back(joinFields({"file", file.name, text(file.bytes)}));
  std::sort(others.begin(), others.end());
  lines.insert(lines.end(), others.begin(), others.end());
  for (const NameTable& names : found.nameTables) {
    for (const ClassEntry& cls : names.classes)
      lines.push_back(joinFields({"class", cls.name, std::to_string(static_cast<int>(cls.idempotency)),
                                  std::to_string(static_cast<int>(cls.deduplicationScope)),
                                  exactDecimal(cls.idempotencyWindowMs)}));
    for (const std::string& name : names.tenants) lines.push_back(joinFields({"tenant", name}));
    for (const std::string& name : names.zones) lines.push_back(joinFields({"zone", name}));
  }
  const Lines requests = requestLines(found);
  lines.insert(lines.end(), requests.begin(), requests.end());
  return lines;
}

inline std::string lineOf(const EndpointRecord& record) {
  return joinFields({"endpoint", record.info.endpoint, record.address.text, std::to_string(record.info.zone),
                     std::to_string(record.info.kind), std::to_string(record.info.destination),
                     exactDecimal(record.info.rating),
                     record.info.state == EndpointState::kDraining ? "draining" : "running",
                     exactDecimal(record.announcedWallMs), exactDecimal(record.drainingSinceWallMs),
                     record.announcedByDelta ? "change" : "complete", record.missing ? "missing" : "listed"});
}

// Formats everything that was read from the stored endpoint list.
inline Lines linesOf(const CachedList& found) {
  Lines lines = {
      joinFields({"list", std::to_string(found.list.revision), exactDecimal(found.confirmedAt.wallMs),
                  exactDecimal(found.confirmedAt.machineMs), found.confirmedAt.machineRun,
                  std::to_string(found.fileBytes), std::to_string(found.list.endpoints.size())})};
  for (const std::string& name : found.names.zones) lines.push_back(joinFields({"zone", name}));
  for (const std::string& name : found.names.kinds) lines.push_back(joinFields({"kind", name}));
  for (const EndpointRecord& endpoint : found.list.endpoints) lines.push_back(lineOf(endpoint));
  return lines;
}

// The names in the settings of the programs that wrote the folders, except `program`.
inline const NameTable kWriterNames{
    {{"status-update", Idempotency::kIdempotent, DeduplicationScope::kDestination, 0},
     {"caption-order", Idempotency::kIdempotentWithKey, DeduplicationScope::kZone, 5000},
     {"seat-hold", Idempotency::kIdempotentWithKey, DeduplicationScope::kDestination, 90000},
     {"door-open", Idempotency::kIdempotentWithKey, DeduplicationScope::kCell, 12500.5},
     {"billing-charge", Idempotency::kNonIdempotent, DeduplicationScope::kDestination, 0}},
    {"costa", "puerto", "sierra"},
    {"norte", "sur", "este"}};

// Opens the journal of such a folder as a process would, and attaches all recovered requests.
struct OpenedFolder {
  OpenedFolder(const std::string& folder, const lab::HandClock& clocks, const NameTable& names,
               std::size_t maxSegments = 96)
      : clock(clocks) {
    JournalOptions options{folder, 1200000, 16384, {}, "the test", 7};
    options.tuning.maxSegments = maxSegments;
    options.names = names;
    journal = std::make_unique<Journal>(Journal::Parts{files, clock, log}, options);
    auto opened = journal->open();
    open = static_cast<bool>(opened);
    if (!open) error = opened.error().message;
    if (open) found = std::move(*opened);
    for (RecoveredRequest& request : found.pending) journal->attach(request.pending);
  }
  lab::HandClock clock;
  PosixFiles files;
  std::ostringstream log;
  Recovered found;
  std::string error;
  std::unique_ptr<Journal> journal;
  bool open = false;
};

// Recovers a folder as the tools do, with numbers and times as they were recorded.
inline Recovered read(const std::string& folder) {
  PosixFiles files;
  auto found = recover(files, folder);
  REQUIRE_EQ(found ? "" : found.error().message, "");
  CHECK(found->corruptions.empty());
  return std::move(*found);
}

}  // namespace myrtleloft::testing
