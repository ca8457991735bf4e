#include "config/operator_file.h"

#include <toml++/toml.h>

#include <fstream>
#include <optional>
#include <sstream>
#include <vector>

#include "myrtleloft/relay.h"

namespace myrtleloft {
namespace {

// One section being read: takes keys out one by one; what is left at the end is unknown.
class Section {
 public:
  Section(const toml::table& table, std::string path, const std::string& file)
      : table_(table), path_(std::move(path)), file_(file) {}

  std::optional<std::int64_t> whole(const char* key, std::int64_t least, std::int64_t most) {
    const toml::node* node = take(key);
    if (!node) return std::nullopt;
    const auto value = node->is_integer() ? node->value_exact<std::int64_t>() : std::nullopt;
    if (!value || *value < least || *value > most)
      refuse(*node, key,
             "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return value;
  }
  std::optional<std::size_t> choice(const char* key, const std::vector<const char*>& choices) {
    const toml::node* node = take(key);
    if (!node) return std::nullopt;
    const auto value = node->value_exact<std::string>();
    std::string list;
    for (std::size_t i = 0; i < choices.size(); ++i) {
      if (value && *value == choices[i]) return i;
      list += (i == 0 ? "\"" : ", \"") + std::string(choices[i]) + "\"";
    }
    refuse(*node, key, "expected one of " + list);
  }
  // A fault for the first key that nobody asked for.
  void finish() const {
    for (const auto& [key, node] : table_) {
      bool known = false;
      for (const std::string& asked : asked_) known = known || asked == key.str();
      if (!known) refuseKey(key, node);
    }
  }

 private:
  const toml::node* take(const char* key) {
    asked_.emplace_back(key);
    return table_.get(key);
  }
  static std::string found(const toml::node& node) {
    std::ostringstream text;
    if (node.is_table())
      text << "a table";
    else if (node.is_array())
      text << "an array";
    else
      node.visit([&](const auto& value) { text << value; });
    return text.str();
  }
  [[noreturn]] void refuse(const toml::node& node, const std::string& key,
                           const std::string& expected) const {
    fail(node.source().begin, key, expected + ", found " + found(node));
  }
  [[noreturn]] void refuseKey(const toml::key& key, const toml::node& node) const {
    std::string list;
    for (const std::string& asked : asked_) list += (list.empty() ? "" : ", ") + asked;
    fail(key.source().begin ? key.source().begin : node.source().begin, std::string(key.str()),
         "unknown; known here: " + list);
  }
  [[noreturn]] void fail(const toml::source_position& at, const std::string& key,
                         const std::string& what) const {
    throw ConfigError(file_ + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      (path_.empty() ? "" : path_ + ".") + key + ": " + what);
  }

  const toml::table& table_;
  std::string path_;
  const std::string& file_;
  std::vector<std::string> asked_;
};

// A whole section; where it is missing, `read` is not called.
template <typename Read>
void section(const toml::table& root, const char* name, const std::string& file, const Read& read) {
  const toml::node* node = root.get(name);
  if (!node) return;
  const toml::table* table = node->as_table();
  if (!table) {
    const toml::source_position at = node->source().begin;
    throw ConfigError(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + name +
                      ": expected a section");
  }
  Section section(*table, name, file);
  read(section);
  section.finish();
}

}  // namespace

const char* nameOf(Durability durability) { return durability == Durability::kGroup ? "group" : "process"; }

OperatorFile parseOperatorFile(std::string_view text, const std::string& name) {
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    const toml::source_position at = error.source().begin;
    throw ConfigError(name + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      std::string(error.description()));
  }
  OperatorFile file;
  for (const auto& [key, node] : root) {
    if (key.str() == "journal") continue;
    const toml::source_position at = key.source().begin;
    throw ConfigError(name + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      std::string(key.str()) + ": unknown; known here: journal");
  }
  section(root, "journal", name, [&](Section& s) {
    if (const auto kb = s.whole("segment_kb", 4, 1024 * 1024))
      file.journal.segmentBytes = static_cast<std::size_t>(*kb) * 1024;
    if (const auto kb = s.whole("slice_kb", 16, 4096))
      file.journal.sliceBytes = static_cast<std::size_t>(*kb) * 1024;
    if (const auto percent = s.whole("free_percent", 5, 100))
      file.journal.freePercent = static_cast<int>(*percent);
    if (const auto at = s.choice("durability", {"process", "group"}))
      file.journal.durability = *at == 1 ? Durability::kGroup : Durability::kProcess;
  });
  return file;
}

OperatorFile readOperatorFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ConfigError("operator file: cannot read '" + path + "'");
  return parseOperatorFile(text.str(), path);
}

}  // namespace myrtleloft
