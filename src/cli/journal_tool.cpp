#include "cli/journal_tool.h"

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <random>
#include <type_traits>

#include "cli/output.h"
#include "journal/folder_lock.h"
#include "journal/journal.h"
#include "myrtleloft/command_line.h"

namespace myrtleloft {
namespace {

// The name of a final status in the output; "none" if it is not decided yet.
const char* nameOf(FinalStatus status) {
  return status == FinalStatus::kFailed ? "dead" : status == FinalStatus::kReturned ? "bounced" : "none";
}

// Locks the folder while it exists, and recovers its journal, calling `visit` for each record.
struct JournalReading {
  PosixFiles files;
  std::unique_ptr<FolderLock> lock;
  Recovered recovered;
  std::string error;  // why the folder cannot be locked or read; empty if there was no error

  explicit JournalReading(const JournalToolOptions& tool, const RecordVisitor& visit = nullptr) {
    LockResult locked = lockFolderIfLockFileExists(files, tool.folder);
    if (!locked) {
      error = locked.error().message;
      return;
    }
    lock = std::move(*locked);
    RecoveryOptions options;
    options.visit = visit;
    if (auto result = recover(files, tool.folder, options))
      recovered = std::move(*result);
    else
      error = result.error().message;
  }
};

int reportUnavailable(const std::string& error, std::ostream& err) {
  err << "myrtleloft: " << error << '\n';
  return kExitUnavailable;
}

// Of the pending requests, `decided` have a final status, and `ambiguous` have an ambiguous attempt.
struct Totals {
  std::size_t pending = 0, decided = 0, ambiguous = 0, bodyBytes = 0, diskBytes = 0;
};

Totals totalsOf(const Recovered& recovered) {
  Totals totals;
  for (const RecoveredRequest& request : recovered.pending) {
    ++totals.pending;
    totals.decided += request.pending.status != FinalStatus::kUndecided;
    totals.ambiguous += !request.pending.ambiguousAttempts.empty();
    totals.bodyBytes += request.pending.body.size();
  }
  for (const SegmentInfo& segment : recovered.segments)
    totals.diskBytes += roundUpToBlocks(segment.fileBytes);
  for (const FileInfo& other : recovered.others) totals.diskBytes += roundUpToBlocks(other.bytes);
  return totals;
}

void printCorruptions(const JournalToolOptions& options, const Recovered& recovered, std::ostream& out) {
  for (const Corruption& part : recovered.corruptions) {
    if (options.json)
      out << jsonLine(
                 {{"damage", part.what}, {"file", part.file}, {"offset", part.offset}, {"bytes", part.bytes}})
          << '\n';
    else
      out << part.file << " is " << part.what << " at byte " << part.offset << ", " << part.bytes
          << " bytes\n";
  }
}

// A visitor that sets the members of a JSON object from a record, without bodies and idempotency keys.
class RecordDescriber {
 public:
  explicit RecordDescriber(Json& json) : json_(json) {}
  void operator()(const AcceptedRecord& r) const {
    json_["type"] = "taken";
    json_["id"] = r.pending.id;
    json_["class"] = r.pending.classIndex;
    json_["tenant"] = r.pending.tenant;
    json_["destination"] = r.pending.destination;
    json_["taken_ms"] = r.pending.acceptedWallMs;
    json_["not_after_ms"] = r.pending.deadlineWallMs;
    json_["retry"] = r.pending.isRetry;
    json_["attempts"] = r.pending.attempts;
    json_["doubts"] = r.pending.ambiguousAttempts.size();
    json_["verdict"] = nameOf(r.pending.status);
    json_["keyed"] = !r.pending.key.empty();
    json_["body_bytes"] = r.pending.body.size();
  }
  void operator()(const AttemptRecord& r) const {
    setTypeAndId("attempt", r.id);
    json_["attempt"] = r.attempt.attempt;
    json_["endpoint"] = r.attempt.endpoint;
    json_["zone"] = r.attempt.zone;
    json_["sent_ms"] = r.attempt.sentWallMs;
  }
  void operator()(const NotExecutedRecord& r) const {
    setTypeAndId("harmless", r.id);
    json_["attempt"] = r.attempt;
  }
  void operator()(const FinalStatusRecord& r) const {
    setTypeAndId("verdict", r.id);
    json_["verdict"] = nameOf(r.status);
    json_["wait_ms"] = r.retryAfterMs;
  }
  void operator()(const CompletedRecord& r) const { setTypeAndId("ended", r.id); }
  void operator()(const SegmentsDeletedRecord& r) const {
    json_["type"] = "released";
    json_["first_segment"] = r.firstSegment;
  }

  void operator()(const NameTableRecord& r) const {
    json_["type"] = "names";
    std::vector<std::string> classes;
    for (const ClassEntry& cls : r.names.classes) classes.push_back(cls.name);
    json_["classes"] = classes;
    json_["tenants"] = r.names.tenants;
    json_["zones"] = r.names.zones;
  }
  void operator()(const ClockRecord& r) const {
    json_["type"] = "clock";
    json_["machine_run"] = hexDigits(r.anchor.machineRun, 16);
    json_["machine_ms"] = r.anchor.machineMs;
    json_["recorded_ms"] = r.anchor.recordedMs;
  }

 private:
  void setTypeAndId(const char* type, const std::string& id) const {
    json_["type"] = type;
    json_["id"] = id;
  }
  Json& json_;
};

}  // namespace

int inspectJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err) {
  const JournalReading reading(options);
  if (!reading.error.empty()) return reportUnavailable(reading.error, err);
  const Recovered& recovered = reading.recovered;
  for (const SegmentInfo& segment : recovered.segments) {
    const Json json = {{"segment", segmentName(segment.sequence)},
                       {"created_ms", segment.createdWallMs},
                       {"bytes", segment.fileBytes},
                       {"valid", segment.validBytes},
                       {"records", segment.records},
                       {"state", segment.stale        ? "released"
                                 : segment.headerGood ? "good"
                                                      : "header damaged"}};
    out << lineOf(json, options.json) << '\n';
  }
  printCorruptions(options, recovered, out);
  const Totals totals = totalsOf(recovered);
  const Json json = {{"owed", totals.pending},
                     {"given_up", totals.decided},
                     {"in_doubt", totals.ambiguous},
                     {"body_bytes", totals.bodyBytes},
                     {"disk_bytes", totals.diskBytes},
                     {"records", recovered.records},
                     {"torn_bytes", recovered.torn},
                     {"damaged_parts", recovered.corruptions.size()},
                     {"version_one", recovered.versionOne}};
  out << lineOf(json, options.json) << '\n';
  return kExitSuccess;
}

int verifyJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err) {
  const JournalReading reading(options);
  if (!reading.error.empty()) return reportUnavailable(reading.error, err);
  const Recovered& recovered = reading.recovered;
  printCorruptions(options, recovered, out);
  const Json json = {{"result", recovered.corruptions.empty() ? "whole" : "damaged"},
                     {"records", recovered.records},
                     {"owed", recovered.pending.size()},
                     {"damaged_parts", recovered.corruptions.size()},
                     {"put_in_doubt", recovered.madeAmbiguous},
                     {"only_names_left", recovered.bodiesLost},
                     {"torn_bytes", recovered.torn}};
  out << lineOf(json, options.json) << '\n';
  return recovered.corruptions.empty() ? kExitSuccess : kExitCorrupt;
}

int dumpJournal(const JournalToolOptions& options, std::ostream& out, std::ostream& err) {
  const JournalReading reading(
      options, [&](std::uint64_t segment, std::size_t offset, std::size_t bytes, const Record& record) {
        Json json = {{"segment", segment}, {"offset", offset}, {"bytes", bytes}};
        std::visit(RecordDescriber(json), record);
        out << lineOf(json, options.json) << '\n';
      });
  if (!reading.error.empty()) return reportUnavailable(reading.error, err);
  printCorruptions(options, reading.recovered, out);
  return kExitSuccess;
}

int compactJournal(const JournalToolOptions& tool, std::ostream& out, std::ostream& err) {
  std::size_t bytesBefore = 0;
  NameTable names;
  {
    const JournalReading before(tool);
    if (!before.error.empty()) return reportUnavailable(before.error, err);
    bytesBefore = totalsOf(before.recovered).diskBytes;
    // All records are rewritten under one name table. Indexes recorded under another would change meaning.
    const bool unnamed = std::any_of(before.recovered.segments.begin(), before.recovered.segments.end(),
                                     [](const SegmentInfo& s) { return !s.named && s.records > 0; });
    if (before.recovered.nameTables.size() + unnamed > 1)
      return reportUnavailable("records of more than one configuration; only a relay can convert them", err);
    if (!before.recovered.nameTables.empty()) names = before.recovered.nameTables.front();
  }
  PosixFiles files;
  const Clock clock;
  JournalOptions options;
  options.folder = tool.folder;
  options.diskBytes = tool.diskMb > 0 ? static_cast<std::size_t>(tool.diskMb * 1e6)
                                      : std::max<std::size_t>(1000000, 2 * bytesBefore);
  options.tuning.freeShare = 1;    // compact even if this frees little space
  options.tuning.maxSegments = 1;  // until only the newest segment is left
  options.owner = "pid " + std::to_string(::getpid()) + ", myrtleloft journal compact";
  std::random_device random;
  options.salt = std::uint64_t{random()} << 32 | random();
  options.names = names;
  Journal journal({files, clock, err}, options);
  Result<Recovered, JournalError> opened = journal.open();
  if (!opened) return reportUnavailable(opened.error().message, err);
  Recovered& recovered = *opened;
  for (RecoveredRequest& request : recovered.pending) journal.attach(request.pending);
  const std::uint64_t newest = journal.newestSegment();
  while (journal.oldestSegment() < newest) {
    if (!journal.compactStep()) return reportUnavailable("cannot write; completed steps are kept", err);
    if (!journal.wantsCompaction()) break;
  }
  const Json json = {{"owed", recovered.pending.size()},
                     {"bytes_before", bytesBefore},
                     {"bytes_after", journal.usage().used},
                     {"segments_removed", journal.statistics().deletedSegments}};
  out << lineOf(json, tool.json) << '\n';
  return kExitSuccess;
}

}  // namespace myrtleloft
