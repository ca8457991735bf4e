// One section of the operator's file being read: takes keys out one by one; what is left at the end is
// unknown. Each fault is a ConfigError that names file, line, column and key.
//
//   Section all(root, "", "relay.toml");
//   all.below("journal", [&](Section& s) { slice = s.whole("slice_kb", 16, 4096); });
//   all.finish();
//
// A key that is not there is no fault: the reader gets nothing. O(what is read).
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace myrtleloft {

class Section {
 public:
  using Read = std::function<void(Section&)>;

  // Both outlive it.
  Section(const toml::table& table, std::string path, const std::string& file)
      : table_(table), path_(std::move(path)), file_(file) {}

  bool has(const char* key) const { return table_.get(key) != nullptr; }
  std::optional<std::int64_t> whole(const char* key, std::int64_t least, std::int64_t most);
  // The index of the choice.
  std::optional<std::size_t> choice(const char* key, const std::vector<const char*>& choices);
  std::optional<bool> flag(const char* key);
  std::optional<std::string> text(const char* key);
  // Each text must pass `good`.
  std::vector<std::string> texts(const char* key, const char* expected,
                                 const std::function<bool(const std::string&)>& good);
  // Each text of a list is given to `take`, which says what is expected in its stead; nothing: it is good.
  void eachText(const char* key, const char* expected,
                const std::function<std::string(const std::string&)>& take);
  // Each from `least` to `most`, `size` of them at most.
  template <typename T>
  std::vector<T> numbers(const char* key, T least, T most, std::size_t size, const char* expected) {
    std::vector<T> list;
    const toml::node* node = take(key);
    if (!node) return list;
    const toml::array* array = node->as_array();
    if (!array || array->size() > size) refuse(*node, key, std::string("expected ") + expected);
    for (const toml::node& item : *array) {
      const auto value = item.value<T>();
      if (!value || !(*value >= least && *value <= most))
        refuse(item, key, std::string("expected ") + expected);
      list.push_back(*value);
    }
    return list;
  }
  // A section below; where it is missing, `read` is not called.
  void below(const char* key, const Read& read);
  // Sections of one name, each read by `read`.
  void sections(const char* key, const Read& read);
  // A section below, any of whose keys may stand for one of the choices.
  std::vector<std::pair<std::string, int>> choices(const char* key, const std::vector<const char*>& values);

  // A fault at a key that was read, for what only several keys together can show.
  [[noreturn]] void refuse(const char* key, const std::string& what) const;
  [[noreturn]] void refuseMissing(const char* key) const;
  // A fault for the first key that nobody asked for.
  void finish() const;

 private:
  const toml::node* take(const char* key);
  std::string pathOf(const std::string& key) const { return (path_.empty() ? "" : path_ + ".") + key; }
  [[noreturn]] void refuse(const toml::node& node, const std::string& key, const std::string& expected) const;
  [[noreturn]] void fail(const toml::source_position& at, const std::string& key,
                         const std::string& what) const;

  const toml::table& table_;
  std::string path_;
  const std::string& file_;
  std::vector<std::string> asked_;
};

// A ConfigError for a place in a file.
[[noreturn]] void refuseAt(const std::string& file, const toml::source_position& at, const std::string& what);

}  // namespace myrtleloft
