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

const char* nameOf(FinalStatus verdict) {
  return verdict == FinalStatus::kFailed ? "dead" : verdict == FinalStatus::kReturned ? "bounced" : "none";
}

// Reads a folder that nobody else uses.
struct Reading {
  PosixFiles files;
  std::unique_ptr<FolderLock> lock;
  Recovered found;
  std::string fault;

  explicit Reading(const JournalTool& tool, const RecordVisitor& visit = nullptr) {
    LockResult locked = lockFolderIfLockFileExists(files, tool.folder);
    if (!locked) {
      fault = locked.error().message;
      return;
    }
    lock = std::move(*locked);
    RecoveryOptions options;
    options.visit = visit;
    if (auto recovered = recover(files, tool.folder, options))
      found = std::move(*recovered);
    else
      fault = recovered.error().message;
  }
};

int refuse(const std::string& fault, std::ostream& err) {
  err << "myrtleloft: " << fault << '\n';
  return kExitUnavailable;
}

struct Totals {
  std::size_t owed = 0, given = 0, doubted = 0, bodies = 0, used = 0;
};

Totals totalsOf(const Recovered& found) {
  Totals t;
  for (const RecoveredRequest& request : found.pending) {
    ++t.owed;
    t.given += request.pending.status != FinalStatus::kUndecided;
    t.doubted += !request.pending.ambiguousAttempts.empty();
    t.bodies += request.pending.body.size();
  }
  for (const SegmentInfo& segment : found.segments) t.used += roundUpToBlocks(segment.fileBytes);
  for (const FileInfo& other : found.others) t.used += roundUpToBlocks(other.bytes);
  return t;
}

void tellDamage(const JournalTool& tool, const Recovered& found, std::ostream& out) {
  for (const Corruption& d : found.corruptions) {
    if (tool.json)
      out << jsonLine({{"damage", d.what}, {"file", d.file}, {"offset", d.offset}, {"bytes", d.bytes}})
          << '\n';
    else
      out << d.file << " is " << d.what << " at byte " << d.offset << ", " << d.bytes << " bytes\n";
  }
}

// One record as a line.
class Describe {
 public:
  explicit Describe(Json& json) : json_(json) {}
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
    named("attempt", r.id);
    json_["attempt"] = r.attempt.attempt;
    json_["endpoint"] = r.attempt.endpoint;
    json_["zone"] = r.attempt.zone;
    json_["sent_ms"] = r.attempt.sentWallMs;
  }
  void operator()(const NotExecutedRecord& r) const {
    named("harmless", r.id);
    json_["attempt"] = r.attempt;
  }
  void operator()(const FinalStatusRecord& r) const {
    named("verdict", r.id);
    json_["verdict"] = nameOf(r.status);
    json_["wait_ms"] = r.retryAfterMs;
  }
  void operator()(const CompletedRecord& r) const { named("ended", r.id); }
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
  void named(const char* type, const std::string& id) const {
    json_["type"] = type;
    json_["id"] = id;
  }
  Json& json_;
};

}  // namespace

int inspectJournal(const JournalTool& tool, std::ostream& out, std::ostream& err) {
  const Reading reading(tool);
  if (!reading.fault.empty()) return refuse(reading.fault, err);
  const Recovered& found = reading.found;
  for (const SegmentInfo& s : found.segments) {
    const Json json = {{"segment", segmentName(s.sequence)},
                       {"created_ms", s.createdWallMs},
                       {"bytes", s.fileBytes},
                       {"valid", s.validBytes},
                       {"records", s.records},
                       {"state", s.stale        ? "released"
                                 : s.headerGood ? "good"
                                                : "header damaged"}};
    out << lineOf(json, tool.json) << '\n';
  }
  tellDamage(tool, found, out);
  const Totals t = totalsOf(found);
  const Json json = {{"owed", t.owed},
                     {"given_up", t.given},
                     {"in_doubt", t.doubted},
                     {"body_bytes", t.bodies},
                     {"disk_bytes", t.used},
                     {"records", found.records},
                     {"torn_bytes", found.torn},
                     {"damaged_parts", found.corruptions.size()},
                     {"version_one", found.versionOne}};
  out << lineOf(json, tool.json) << '\n';
  return kExitSuccess;
}

int verifyJournal(const JournalTool& tool, std::ostream& out, std::ostream& err) {
  const Reading reading(tool);
  if (!reading.fault.empty()) return refuse(reading.fault, err);
  const Recovered& found = reading.found;
  tellDamage(tool, found, out);
  const Json json = {{"result", found.corruptions.empty() ? "whole" : "damaged"},
                     {"records", found.records},
                     {"owed", found.pending.size()},
                     {"damaged_parts", found.corruptions.size()},
                     {"put_in_doubt", found.madeAmbiguous},
                     {"only_names_left", found.bodiesLost},
                     {"torn_bytes", found.torn}};
  out << lineOf(json, tool.json) << '\n';
  return found.corruptions.empty() ? kExitSuccess : kExitCorrupt;
}

int dumpJournal(const JournalTool& tool, std::ostream& out, std::ostream& err) {
  const Reading reading(
      tool, [&](std::uint64_t segment, std::size_t offset, std::size_t bytes, const Record& record) {
        Json json = {{"segment", segment}, {"offset", offset}, {"bytes", bytes}};
        std::visit(Describe(json), record);
        out << lineOf(json, tool.json) << '\n';
      });
  if (!reading.fault.empty()) return refuse(reading.fault, err);
  tellDamage(tool, reading.found, out);
  return kExitSuccess;
}

int compactJournal(const JournalTool& tool, std::ostream& out, std::ostream& err) {
  std::size_t used = 0;
  NameTable meanings;
  {
    const Reading before(tool);
    if (!before.fault.empty()) return refuse(before.fault, err);
    used = totalsOf(before.found).used;
    // Written anew under one set of names, what was recorded under another would change its meaning.
    const bool unnamed = std::any_of(before.found.segments.begin(), before.found.segments.end(),
                                     [](const SegmentInfo& s) { return !s.named && s.records > 0; });
    if (before.found.nameTables.size() + unnamed > 1)
      return refuse(
          "records of more than one configuration: only a start of the relay can bring them together", err);
    if (!before.found.nameTables.empty()) meanings = before.found.nameTables.front();
  }
  PosixFiles files;
  const Clock clock;
  JournalOptions options;
  options.folder = tool.folder;
  options.diskBytes = tool.diskMb > 0 ? static_cast<std::size_t>(tool.diskMb * 1e6)
                                      : std::max<std::size_t>(1000000, 2 * used);
  // Everything but the newest segment goes, however little there is to win.
  options.tuning.freeShare = 1;
  options.tuning.maxSegments = 1;
  options.owner = "pid " + std::to_string(::getpid()) + ", myrtleloft journal compact";
  std::random_device random;
  options.salt = std::uint64_t{random()} << 32 | random();
  options.names = meanings;
  Journal journal({files, clock, err}, options);
  Result<Recovered, JournalError> opened = journal.open();
  if (!opened) return refuse(opened.error().message, err);
  Recovered& found = *opened;
  for (RecoveredRequest& request : found.pending) journal.attach(request.pending);
  const std::uint64_t last = journal.newestSegment();
  while (journal.oldestSegment() < last) {
    if (!journal.compactStep()) return refuse("the disk refused; what was done so far is kept", err);
    if (!journal.wantsCompaction()) break;
  }
  const Json json = {{"owed", found.pending.size()},
                     {"bytes_before", used},
                     {"bytes_after", journal.usage().used},
                     {"segments_removed", journal.statistics().deletedSegments}};
  out << lineOf(json, tool.json) << '\n';
  return kExitSuccess;
}

}  // namespace myrtleloft
