// Reads one section of the operator's file, key by key. Keys that have not been read are unknown keys. Each
// error is a ConfigError with file, line, column and key.
//
//   SectionReader root(table, "", "relay.toml");
//   root.section("journal", [&](SectionReader& journal) { step = journal.integer("slice_kb", 16, 4096); });
//   root.rejectUnknownKeys();
//
// A missing key is not an error: the functions then return std::nullopt or an empty list.
//
// Not thread-safe. Each function is O(size of the value).
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "myrtleloft/relay.h"

namespace myrtleloft {

class SectionReader {
 public:
  using ReadSection = std::function<void(SectionReader&)>;
  // Returns std::nullopt if the string is valid, otherwise what was expected in its place.
  using CheckText = std::function<std::optional<std::string>(const std::string&)>;
  struct NamedChoice {
    std::string key;
    int index = 0;
  };

  // `table` and `fileName` must outlive the reader. `path` is the path of the section, as in "fleet.audit",
  // or empty for the root of the file.
  SectionReader(const toml::table& table, std::string path, const std::string& fileName)
      : table_(table), path_(std::move(path)), fileName_(fileName) {}

  // Whether the section contains the key.
  bool has(const char* key) const { return table_.get(key) != nullptr; }
  std::optional<std::int64_t> integer(const char* key, std::int64_t minimum, std::int64_t maximum);
  // Returns the index of the string in `choices`.
  std::optional<std::size_t> choice(const char* key, const std::vector<const char*>& choices);
  std::optional<bool> flag(const char* key);
  // Reads a string that is not empty.
  std::optional<std::string> text(const char* key);
  // Reads a list of strings that all pass `isValid`. `expected` describes a valid string.
  std::vector<std::string> textList(const char* key, const char* expected,
                                    const std::function<bool(const std::string&)>& isValid);
  // Calls `check` with each string of a list. `expected` describes a valid string.
  void forEachText(const char* key, const char* expected, const CheckText& check);
  // Reads a list of at most `maxSize` numbers from `minimum` to `maximum`. `expected` describes the list.
  template <typename Number>
  std::vector<Number> numbers(const char* key, Number minimum, Number maximum, std::size_t maxSize,
                              const char* expected) {
    std::vector<Number> list;
    const toml::node* node = take(key);
    if (!node) return list;
    const toml::array* array = node->as_array();
    if (!array || array->size() > maxSize) rejectNode(*node, key, std::string("expected ") + expected);
    for (const toml::node& item : *array) {
      const auto value = item.value<Number>();
      if (!value || !(*value >= minimum && *value <= maximum))
        rejectNode(item, key, std::string("expected ") + expected);
      list.push_back(*value);
    }
    return list;
  }
  // Calls `read` with a subsection, if there is one.
  void section(const char* key, const ReadSection& read);
  // Calls `read` with each subsection [[key]], in the order of the file.
  void sectionList(const char* key, const ReadSection& read);
  // Reads a subsection with arbitrary keys, whose values are each one of the choices.
  std::vector<NamedChoice> choicePerKey(const char* key, const std::vector<const char*>& choices);

  // Throws the error for a key that is present, for checks that the functions above do not make.
  [[noreturn]] void reject(const char* key, const std::string& what) const;
  // Throws the error for a required key that is missing.
  [[noreturn]] void rejectMissing(const char* key) const;
  // Throws the error for the first key that has not been read, if there is one.
  void rejectUnknownKeys() const;

 private:
  // Marks the key as known, and returns its value, or nullptr if it is missing.
  const toml::node* take(const char* key);
  std::string pathOf(const std::string& key) const { return (path_.empty() ? "" : path_ + ".") + key; }
  [[noreturn]] void rejectNode(const toml::node& node, const std::string& key,
                               const std::string& expected) const;
  [[noreturn]] void rejectPosition(const toml::source_position& position, const std::string& key,
                                   const std::string& what) const;

  const toml::table& table_;
  std::string path_;
  const std::string& fileName_;
  std::vector<std::string> knownKeys_;
};

// Throws a ConfigError with the text "FILE:LINE:COLUMN: KEY: WHAT", without "KEY: " if `key` is empty.
[[noreturn]] void rejectAt(const std::string& fileName, const toml::source_position& position,
                           const std::string& key, const std::string& what,
                           ConfigErrorKind kind = ConfigErrorKind::kInvalid);

}  // namespace myrtleloft
