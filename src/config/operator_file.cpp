#include "config/operator_file.h"

#include <fstream>
#include <iterator>

#include "config/sections.h"
#include "myrtleloft/relay.h"

namespace myrtleloft {

const char* nameOf(Durability durability) { return durability == Durability::kGroup ? "group" : "process"; }

OperatorFile parseOperatorFile(std::string_view text, const std::string& name, const std::string& relay) {
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    const toml::source_position at = error.source().begin;
    throw ConfigError(name + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      std::string(error.description()));
  }
  OperatorFile file;
  Section all(root, "", name);
  all.below("journal", [&](Section& s) {
    if (const auto kb = s.whole("segment_kb", 4, 1024 * 1024))
      file.journal.segmentBytes = static_cast<std::size_t>(*kb) * 1024;
    if (const auto kb = s.whole("slice_kb", 16, 4096))
      file.journal.sliceBytes = static_cast<std::size_t>(*kb) * 1024;
    if (const auto percent = s.whole("free_percent", 5, 100))
      file.journal.freePercent = static_cast<int>(*percent);
    if (const auto at = s.choice("durability", {"process", "group"}))
      file.journal.durability = *at == 1 ? Durability::kGroup : Durability::kProcess;
  });
  all.below("log", [&](Section& s) {
    if (const auto at = s.choice("format", {"plain", "logfmt", "json"}))
      file.log.format = static_cast<int>(*at);
    if (const auto at = s.choice("level", {"debug", "info", "warning", "error"}))
      file.log.level = static_cast<int>(*at);
    file.log.againMs = s.whole("again_ms", 0, 3600000).value_or(file.log.againMs);
  });
  all.below("quota", [&](Section& s) { readQuota(s, file.quota); });
  all.below("membership", [&](Section& s) { readMembership(s, file.membership); });
  all.below("fleet", [&](Section& s) { readFleet(s, relay, file.fleet); });
  all.finish();
  return file;
}

OperatorFile readOperatorFile(const std::string& path, const std::string& relay) {
  const auto refuse = [&] { throw ConfigError("operator file: cannot read '" + path + "'"); };
  std::ifstream in(path, std::ios::binary);
  if (!in) refuse();
  std::string text;
  try {
    // Not by inserting its buffer into a stream: that fails where there is nothing to insert.
    text.assign(std::istreambuf_iterator<char>(in), {});
  } catch (const std::ios_base::failure&) {  // a folder, too
    refuse();
  }
  return parseOperatorFile(text, path, relay);
}

}  // namespace myrtleloft
