#include "config/operator_file.h"

#include <algorithm>

#include "config/operator_sections.h"
#include "config/text_file.h"
#include "myrtleloft/relay.h"

namespace myrtleloft {
namespace {

constexpr std::size_t kBytesPerKb = 1024;
constexpr std::int64_t kMaxSegmentKb = std::int64_t{1024} * 1024;

void readJournal(SectionReader& reader, OperatorFile::JournalSection& section) {
  if (const auto kilobytes = reader.integer("segment_kb", 4, kMaxSegmentKb))
    section.segmentBytes = static_cast<std::size_t>(*kilobytes) * kBytesPerKb;
  if (const auto kilobytes = reader.integer("slice_kb", 16, 4096))
    section.compactionStepBytes = static_cast<std::size_t>(*kilobytes) * kBytesPerKb;
  if (const auto percent = reader.integer("free_percent", 5, 100))
    section.freePercent = static_cast<int>(*percent);
  if (const auto choice = reader.choice("durability", {"process", "group"}))
    section.durability = *choice == 1 ? Durability::kGroup : Durability::kProcess;
}

void readLog(SectionReader& reader, OperatorFile::LogSection& section) {
  constexpr std::int64_t kHourMs = 3600000;
  if (const auto choice = reader.choice("format", {"plain", "logfmt", "json"}))
    section.format = static_cast<int>(*choice);
  if (const auto choice = reader.choice("level", {"debug", "info", "warning", "error"}))
    section.level = static_cast<int>(*choice);
  section.repeatIntervalMs = reader.integer("again_ms", 0, kHourMs).value_or(section.repeatIntervalMs);
}

// An error in the last line of the text may come from its being truncated there.
[[noreturn]] void rejectSyntax(std::string_view text, const std::string& fileName,
                               const toml::parse_error& error) {
  while (text.ends_with('\n')) text.remove_suffix(1);
  const auto lastLine = static_cast<toml::source_index>(1 + std::count(text.begin(), text.end(), '\n'));
  const bool isInLastLine = error.source().begin.line >= lastLine;
  rejectAt(fileName, error.source().begin, "", std::string(error.description()),
           isInLastLine ? ConfigErrorKind::kUnavailable : ConfigErrorKind::kInvalid);
}

}  // namespace

const char* nameOf(Durability durability) { return durability == Durability::kGroup ? "group" : "process"; }

OperatorFile parseOperatorFile(std::string_view text, const std::string& fileName, const std::string& relay) {
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    rejectSyntax(text, fileName, error);
  }
  OperatorFile file;
  SectionReader reader(root, "", fileName);
  reader.section("journal", [&](SectionReader& journal) { readJournal(journal, file.journal); });
  reader.section("log", [&](SectionReader& log) { readLog(log, file.log); });
  reader.section("quota", [&](SectionReader& quota) { readQuota(quota, file.quota); });
  reader.section("membership", [&](SectionReader& list) { readEndpointList(list, file.endpointList); });
  reader.section("fleet", [&](SectionReader& fleet) { readFleet(fleet, relay, file.fleet); });
  reader.rejectUnknownKeys();
  return file;
}

OperatorFile readOperatorFile(const std::string& path, const std::string& relay) {
  const Result<TextFile, TextFileError> file = readTextFile(path);
  if (!file) {
    const bool isPermanent = file.error().cause == UnavailableCause::kPermanent;
    throw ConfigError("operator file: cannot read '" + path + "': " + file.error().reason, {path, "", 0, 0},
                      isPermanent ? ConfigErrorKind::kInvalid : ConfigErrorKind::kUnavailable);
  }
  return parseOperatorFile(file->text, path, relay);
}

}  // namespace myrtleloft
