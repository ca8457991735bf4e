#include "config/operator_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

#include "myrtleloft/relay.h"
#include "net/socket.h"

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
  std::optional<bool> flag(const char* key) {
    const toml::node* node = take(key);
    if (!node) return std::nullopt;
    const auto value = node->value_exact<bool>();
    if (!value) refuse(*node, key, "expected true or false");
    return value;
  }
  // Each text must pass `good`.
  template <typename Good>
  std::vector<std::string> texts(const char* key, const char* expected, const Good& good) {
    std::vector<std::string> list;
    const toml::node* node = take(key);
    if (!node) return list;
    const toml::array* array = node->as_array();
    if (!array) refuse(*node, key, std::string("expected a list of ") + expected);
    for (const toml::node& item : *array) {
      const auto text = item.value_exact<std::string>();
      if (!text || !good(*text)) refuse(item, key, std::string("expected ") + expected);
      list.push_back(*text);
    }
    return list;
  }
  std::optional<std::string> text(const char* key) {
    const toml::node* node = take(key);
    if (!node) return std::nullopt;
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) refuse(*node, key, "expected a text");
    return value;
  }
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
  // Sections of one name, each read by `read`.
  template <typename Read>
  void sections(const char* key, const Read& read) {
    const toml::node* node = take(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array) refuse(*node, key, "expected sections [[" + path_ + "." + key + "]]");
    for (const toml::node& item : *array) {
      const toml::table* table = item.as_table();
      if (!table) refuse(item, key, "expected a section");
      Section below(*table, path_ + "." + key, file_);
      read(below);
      below.finish();
    }
  }
  // A section below, any of whose keys may stand for one of the choices.
  std::vector<std::pair<std::string, int>> choices(const char* key, const std::vector<const char*>& values) {
    std::vector<std::pair<std::string, int>> all;
    const toml::node* node = take(key);
    if (!node) return all;
    const toml::table* table = node->as_table();
    if (!table) refuse(*node, key, "expected a section");
    Section below(*table, path_ + "." + key, file_);
    for (const auto& [name, value] : *table) {
      const std::string text(name.str());
      all.emplace_back(text, static_cast<int>(*below.choice(text.c_str(), values)));
    }
    return all;
  }
  // A fault at a key that was read, for what only several keys together can show.
  [[noreturn]] void refuse(const char* key, const std::string& what) const {
    refuse(*table_.get(key), key, what);
  }
  [[noreturn]] void refuseMissing(const char* key) const { fail(table_.source().begin, key, "missing"); }
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

// Spans that are left out move with those that are given: each state begins where the one before ends.
void readMembership(Section& s, OperatorFile::Membership& m) {
  constexpr std::int64_t kYearS = 366 * 24 * 3600, kMinuteMs = 60000;
  m.keep = s.flag("keep").value_or(m.keep);
  m.refuse = s.flag("refuse").value_or(m.refuse);
  const auto fresh = s.whole("fresh_s", 1, kYearS), ageing = s.whole("ageing_s", 1, kYearS),
             old = s.whole("old_s", 1, kYearS);
  m.freshS = fresh.value_or(m.freshS);
  m.ageingS = ageing.value_or(std::max(m.ageingS, m.freshS));
  m.oldS = old.value_or(std::max(m.oldS, m.ageingS));
  if (m.ageingS < m.freshS) s.refuse("ageing_s", "expected no less than fresh_s");
  if (m.oldS < m.ageingS) s.refuse("old_s", "expected no less than ageing_s");
  m.classes = s.choices("classes", {"fresh", "ageing", "old", "expired"});
  m.guardPercent = static_cast<int>(s.whole("guard_percent", 0, 99).value_or(m.guardPercent));
  m.guardHoldS = s.whole("guard_hold_s", 1, kYearS).value_or(m.guardHoldS);
  m.directories = s.texts("directories", "an IPv4 address and port, as in \"10.0.0.5:8500\"",
                          [](const std::string& text) { return parseAddress(text).has_value(); });
  const auto least = s.whole("back_off_ms", 10, kMinuteMs), most = s.whole("most_back_off_ms", 10, kMinuteMs);
  m.backOffMs = least.value_or(m.backOffMs);
  if (most) m.mostBackOffMs = *most;
  if (m.mostBackOffMs && *m.mostBackOffMs < m.backOffMs)
    s.refuse("most_back_off_ms", "expected no less than back_off_ms");
}

void readQuota(Section& s, QuotaPlan& plan) {
  constexpr std::int64_t kDayS = 24 * 3600, kMost = 1'000'000'000'000;
  constexpr std::size_t kWindows = 8;
  plan.windowsS =
      s.numbers<std::int64_t>("windows_s", 1, kDayS, kWindows,
                              "up to 8 spans in seconds, from 1 to 86400, each longer than the last");
  for (std::size_t i = 1; i < plan.windowsS.size(); ++i)
    if (plan.windowsS[i] <= plan.windowsS[i - 1]) s.refuse("windows_s", "expected each longer than the last");
  plan.header = s.text("header").value_or("");
  plan.mostAwake = s.whole("most_awake", 16, 10'000'000).value_or(plan.mostAwake);
  std::set<std::string> names, tenants, rests;
  std::set<std::pair<std::string, std::string>> units;  // of a tenant
  std::map<std::string, std::string> tenantOf;          // by node
  s.sections("node", [&](Section& n) {
    QuotaPlan::Node& node = plan.nodes.emplace_back();
    node.name = n.text("name").value_or("");
    if (node.name.empty()) n.refuseMissing("name");
    if (!names.insert(node.name).second) n.refuse("name", "expected one that no node above has");
    node.parent = n.text("parent").value_or("");
    node.tenant = n.text("tenant").value_or("");
    node.unit = n.text("unit").value_or("");
    node.rest = n.flag("rest").value_or(false);
    // So no node can stand above itself.
    if (!node.parent.empty() && !tenantOf.count(node.parent))
      n.refuse("parent", "expected the name of a node above this one in the file");
    if (node.parent.empty() && node.tenant.empty()) n.refuseMissing("tenant");
    if (!node.parent.empty() && !node.tenant.empty())
      n.refuse("tenant", "expected no tenant beside a parent");
    if (node.parent.empty() && !node.unit.empty()) n.refuse("unit", "expected no unit beside a tenant");
    const std::string tenant = node.parent.empty() ? node.tenant : tenantOf[node.parent];
    tenantOf[node.name] = tenant;
    if (node.parent.empty() && !tenants.insert(tenant).second)
      n.refuse("tenant", "expected one that no node above has");
    if (node.rest && (node.parent.empty() || !node.unit.empty()))
      n.refuse("rest", "expected below a tenant's node, without a unit");
    if (!node.unit.empty() && !units.emplace(tenant, node.unit).second)
      n.refuse("unit", "expected one that no node of the tenant has");
    if (node.rest && !rests.insert(tenant).second) n.refuse("rest", "expected once for each tenant");
    const char* expected = "as many whole numbers as there are windows, at most, 0 for no limit";
    node.messages = n.numbers<std::int64_t>("messages", 0, kMost, plan.windowsS.size(), expected);
    node.calls = n.numbers<std::int64_t>("calls", 0, kMost, plan.windowsS.size(), expected);
    node.worth = n.numbers<double>("worth", 0, static_cast<double>(kMost), plan.windowsS.size(),
                                   "as many numbers as there are windows, at most, 0 for no limit");
  });
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
    if (key.str() == "journal" || key.str() == "membership" || key.str() == "log" || key.str() == "quota")
      continue;
    const toml::source_position at = key.source().begin;
    throw ConfigError(name + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      std::string(key.str()) + ": unknown; known here: journal, membership, log, quota");
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
  section(root, "log", name, [&](Section& s) {
    if (const auto at = s.choice("format", {"plain", "logfmt", "json"}))
      file.log.format = static_cast<int>(*at);
    if (const auto at = s.choice("level", {"debug", "info", "warning", "error"}))
      file.log.level = static_cast<int>(*at);
    file.log.againMs = s.whole("again_ms", 0, 3600000).value_or(file.log.againMs);
  });
  section(root, "quota", name, [&](Section& s) { readQuota(s, file.quota); });
  section(root, "membership", name, [&](Section& s) { readMembership(s, file.membership); });
  return file;
}

OperatorFile readOperatorFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ConfigError("operator file: cannot read '" + path + "'");
  return parseOperatorFile(text.str(), path);
}

}  // namespace myrtleloft
