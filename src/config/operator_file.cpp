#include "config/operator_file.h"

#include <fstream>
#include <iterator>

#include "config/operator_sections.h"
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

}  // namespace

const char* nameOf(Durability durability) { return durability == Durability::kGroup ? "group" : "process"; }

OperatorFile parseOperatorFile(std::string_view text, const std::string& fileName, const std::string& relay) {
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    rejectAt(fileName, error.source().begin, "", std::string(error.description()));
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
  const ConfigError unreadable("operator file: cannot read '" + path + "'", {path, "", 0, 0});
  std::ifstream file(path, std::ios::binary);
  if (!file) throw unreadable;
  std::string text;
  try {
    // Inserting the file's buffer into a stream would fail for an empty file.
    text.assign(std::istreambuf_iterator<char>(file), {});
  } catch (const std::ios_base::failure&) {  // thrown if `path` is a directory
    throw unreadable;
  }
  return parseOperatorFile(text, path, relay);
}

}  // namespace myrtleloft
