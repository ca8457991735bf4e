#include "config/section.h"

#include <algorithm>
#include <sstream>

#include "myrtleloft/relay.h"

namespace myrtleloft {
namespace {

std::string found(const toml::node& node) {
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

std::optional<std::int64_t> Section::whole(const char* key, std::int64_t least, std::int64_t most) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  const auto value = node->is_integer() ? node->value_exact<std::int64_t>() : std::nullopt;
  if (!value || *value < least || *value > most)
    refuse(*node, key,
           "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return value;
}

std::optional<std::size_t> Section::choice(const char* key, const std::vector<const char*>& choices) {
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

std::optional<bool> Section::flag(const char* key) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<bool>();
  if (!value) refuse(*node, key, "expected true or false");
  return value;
}

std::optional<std::string> Section::text(const char* key) {
  const toml::node* node = take(key);
  if (!node) return std::nullopt;
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) refuse(*node, key, "expected a text");
  return value;
}

std::vector<std::string> Section::texts(const char* key, const char* expected,
                                        const std::function<bool(const std::string&)>& good) {
  std::vector<std::string> list;
  eachText(key, expected, [&](const std::string& text) {
    if (!good(text)) return std::string(expected);
    list.push_back(text);
    return std::string();
  });
  return list;
}

void Section::eachText(const char* key, const char* expected,
                       const std::function<std::string(const std::string&)>& take) {
  const toml::node* node = this->take(key);
  if (!node) return;
  const toml::array* array = node->as_array();
  if (!array) refuse(*node, key, std::string("expected a list of ") + expected);
  for (const toml::node& item : *array) {
    const auto text = item.value_exact<std::string>();
    const std::string wanted = text ? take(*text) : expected;
    if (!wanted.empty()) refuse(item, key, "expected " + wanted);
  }
}

void Section::below(const char* key, const Read& read) {
  const toml::node* node = take(key);
  if (!node) return;
  const toml::table* table = node->as_table();
  if (!table) fail(node->source().begin, key, "expected a section");
  Section section(*table, pathOf(key), file_);
  read(section);
  section.finish();
}

void Section::sections(const char* key, const Read& read) {
  const toml::node* node = take(key);
  if (!node) return;
  const toml::array* array = node->as_array();
  if (!array) refuse(*node, key, "expected sections [[" + pathOf(key) + "]]");
  for (const toml::node& item : *array) {
    const toml::table* table = item.as_table();
    if (!table) refuse(item, key, "expected a section");
    Section section(*table, pathOf(key), file_);
    read(section);
    section.finish();
  }
}

std::vector<std::pair<std::string, int>> Section::choices(const char* key,
                                                          const std::vector<const char*>& values) {
  std::vector<std::pair<std::string, int>> all;
  const toml::node* node = take(key);
  if (!node) return all;
  const toml::table* table = node->as_table();
  if (!table) refuse(*node, key, "expected a section");
  Section section(*table, pathOf(key), file_);
  for (const auto& [name, value] : *table) {
    const std::string text(name.str());
    all.emplace_back(text, static_cast<int>(*section.choice(text.c_str(), values)));
  }
  return all;
}

void Section::refuse(const char* key, const std::string& what) const { refuse(*table_.get(key), key, what); }

void Section::refuseMissing(const char* key) const { fail(table_.source().begin, key, "missing"); }

void Section::finish() const {
  for (const auto& [key, node] : table_) {
    if (std::find(asked_.begin(), asked_.end(), key.str()) != asked_.end()) continue;
    std::string list;
    for (const std::string& asked : asked_) list += (list.empty() ? "" : ", ") + asked;
    fail(key.source().begin ? key.source().begin : node.source().begin, std::string(key.str()),
         "unknown; known here: " + list);
  }
}

const toml::node* Section::take(const char* key) {
  asked_.emplace_back(key);
  return table_.get(key);
}

void Section::refuse(const toml::node& node, const std::string& key, const std::string& expected) const {
  fail(node.source().begin, key, expected + ", found " + found(node));
}

void Section::fail(const toml::source_position& at, const std::string& key, const std::string& what) const {
  refuseAt(file_, at, pathOf(key) + ": " + what);
}

void refuseAt(const std::string& file, const toml::source_position& at, const std::string& what) {
  throw ConfigError(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what);
}

}  // namespace myrtleloft
