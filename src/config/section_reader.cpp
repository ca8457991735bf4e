#include "config/section_reader.h"

#include <algorithm>
#include <sstream>

#include "myrtleloft/relay.h"

namespace myrtleloft {
namespace {

// The value as it is shown in an error text.
std::string describe(const toml::node& node) {
  std::ostringstream text;
  if (node.is_table())
    text << "a table";
  else if (node.is_array())
    text << "an array";
  else
    node.visit([&](const auto& value) { text << value; });
  return text.str();
}

}  // namespace

std::optional<std::int64_t> SectionReader::integer(const char* key, std::int64_t minimum,
                                                   std::int64_t maximum) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  const auto value = node->is_integer() ? node->value_exact<std::int64_t>() : std::nullopt;
  if (!value || *value < minimum || *value > maximum)
    rejectNode(*node, key,
               "expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
  return value;
}

std::optional<std::size_t> SectionReader::choice(const char* key, const std::vector<const char*>& choices) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<std::string>();
  std::string list;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (value && *value == choices[i]) return i;
    list += (i == 0 ? "\"" : ", \"") + std::string(choices[i]) + "\"";
  }
  rejectNode(*node, key, "expected one of " + list);
}

std::optional<bool> SectionReader::flag(const char* key) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<bool>();
  if (!value) rejectNode(*node, key, "expected true or false");
  return value;
}

std::optional<std::string> SectionReader::text(const char* key) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  auto value = node->value_exact<std::string>();
  if (!value || value->empty()) rejectNode(*node, key, "expected a non-empty string");
  return value;
}

std::vector<std::string> SectionReader::textList(const char* key, const char* expected,
                                                 const std::function<bool(const std::string&)>& isValid) {
  std::vector<std::string> list;
  forEachText(key, expected, [&](const std::string& text) -> std::optional<std::string> {
    if (!isValid(text)) return expected;
    list.push_back(text);
    return std::nullopt;
  });
  return list;
}

void SectionReader::forEachText(const char* key, const char* expected, const CheckText& check) {
  const toml::node* node = take(key);
  if (!node) return;
  const toml::array* array = node->as_array();
  if (!array) rejectNode(*node, key, std::string("expected a list of ") + expected);
  for (const toml::node& item : *array) {
    const auto text = item.value_exact<std::string>();
    const std::optional<std::string> wanted = text ? check(*text) : expected;
    if (wanted) rejectNode(item, key, "expected " + *wanted);
  }
}

void SectionReader::section(const char* key, const ReadSection& read) {
  const toml::node* node = take(key);
  if (!node) return;
  const toml::table* table = node->as_table();
  if (!table) rejectPosition(node->source().begin, key, "expected a section");
  SectionReader section(*table, pathOf(key), fileName_);
  read(section);
  section.rejectUnknownKeys();
}

void SectionReader::sectionList(const char* key, const ReadSection& read) {
  const toml::node* node = take(key);
  if (!node) return;
  const toml::array* array = node->as_array();
  if (!array) rejectNode(*node, key, "expected an array of sections [[" + pathOf(key) + "]]");
  for (const toml::node& item : *array) {
    const toml::table* table = item.as_table();
    if (!table) rejectNode(item, key, "expected a section");
    SectionReader section(*table, pathOf(key), fileName_);
    read(section);
    section.rejectUnknownKeys();
  }
}

std::vector<SectionReader::NamedChoice> SectionReader::choicePerKey(const char* key,
                                                                    const std::vector<const char*>& choices) {
  std::vector<NamedChoice> all;
  const toml::node* node = take(key);
  if (!node) return all;
  const toml::table* table = node->as_table();
  if (!table) rejectNode(*node, key, "expected a section");
  SectionReader section(*table, pathOf(key), fileName_);
  for (const auto& entry : *table) {
    const std::string name(entry.first.str());
    all.push_back({name, static_cast<int>(*section.choice(name.c_str(), choices))});
  }
  return all;
}

void SectionReader::reject(const char* key, const std::string& what) const {
  rejectNode(*table_.get(key), key, what);
}

void SectionReader::rejectMissing(const char* key) const {
  rejectPosition(table_.source().begin, key, "missing");
}

void SectionReader::rejectUnknownKeys() const {
  for (const auto& [key, node] : table_) {
    if (std::find(knownKeys_.begin(), knownKeys_.end(), key.str()) != knownKeys_.end()) continue;
    std::string list;
    for (const std::string& known : knownKeys_) list += (list.empty() ? "" : ", ") + known;
    rejectPosition(key.source().begin ? key.source().begin : node.source().begin, std::string(key.str()),
                   "unknown key; valid keys: " + list);
  }
}

const toml::node* SectionReader::take(const char* key) {
  knownKeys_.emplace_back(key);
  return table_.get(key);
}

void SectionReader::rejectNode(const toml::node& node, const std::string& key,
                               const std::string& expected) const {
  rejectPosition(node.source().begin, key, expected + ", found " + describe(node));
}

void SectionReader::rejectPosition(const toml::source_position& position, const std::string& key,
                                   const std::string& what) const {
  rejectAt(fileName_, position, pathOf(key), what);
}

void rejectAt(const std::string& fileName, const toml::source_position& position, const std::string& key,
              const std::string& what, ConfigErrorKind kind) {
  throw ConfigError(fileName + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) +
                        ": " + (key.empty() ? "" : key + ": ") + what,
                    {fileName, key, position.line, position.column}, kind);
}

}  // namespace myrtleloft
