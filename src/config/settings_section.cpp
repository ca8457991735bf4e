#include "config/settings_section.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "config/config_errors.h"
#include "discovery/poll_schedule.h"
#include "journal/journal.h"
#include "simulator_adapter/settings_decoding.h"

namespace myrtleloft {
namespace {

using json::Value;

// A segment header may take this fraction of the disk limit. Larger ones would leave too little space for
// records.
constexpr std::size_t kMaxHeadersPerDisk = 32;

// Appends the settings in the wire format of the simulator: path=value pairs. The items of a list of numbers
// or strings are joined with commas. A list of objects has its length under .count and its items under .0, .1
// and so on.
void flatten(const std::string& path, const Value& value, std::string& out) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.type == Value::Type::kObject) {
    for (const auto& [name, member] : value.members) flatten(prefix + name, member, out);
    return;
  }
  if (value.type == Value::Type::kNull) return;
  const bool isListOfObjects = value.type == Value::Type::kArray && !value.items.empty() &&
                               value.items.front().type == Value::Type::kObject;
  if (isListOfObjects) {
    flatten(prefix + "count", {Value::Type::kNumber, std::to_string(value.items.size()), {}, {}}, out);
    for (std::size_t i = 0; i < value.items.size(); ++i)
      flatten(prefix + std::to_string(i), value.items[i], out);
    return;
  }
  std::string text = value.text;
  for (const Value& item : value.items) {
    if (!text.empty()) text += ',';
    text += item.text;
  }
  for (char& character : text)
    if (character == '\t' || character == ' ' || character == '\n') character = '_';
  out += (out.empty() ? "" : "\t") + path + "=" + text;
}

// The names of the values of Idempotency and DeduplicationScope in the file.
using Words = std::array<const char*, 3>;
constexpr Words kRepeatWords = {"repeatable", "by_key", "once"};
constexpr Words kGroupWords = {"all", "zone", "cell"};

// Returns the list under the key, or nullptr if it is missing or null.
const Value* listAt(const Value& parent, const std::string& key, const std::string& path) {
  const Value* list = parent.find(key);
  if (!list || list->type == Value::Type::kNull) return nullptr;
  if (list->type != Value::Type::kArray) rejectKey(path + "." + key, "not a list");
  return list;
}

// Reads a list of strings; empty if it is missing or null.
std::vector<std::string> strings(const Value& parent, const std::string& key, const std::string& path) {
  const std::string fullPath = path + "." + key;
  std::vector<std::string> texts;
  if (const Value* list = listAt(parent, key, path))
    for (const Value& item : list->items) {
      if (item.type != Value::Type::kString) rejectKey(fullPath, "not a list of strings");
      texts.push_back(item.text);
    }
  return texts;
}

// Rejects an unknown word. The decoder of the wire format would treat it as the default.
void checkWord(const Value& cls, const std::string& path, const char* key, const Words& words) {
  const Value* given = cls.find(key);
  if (!given || given->type == Value::Type::kNull) return;
  if (std::find(words.begin(), words.end(), given->text) != words.end()) return;
  rejectKey(path + "." + key, "expected " + std::string(words[0]) + ", " + words[1] + " or " + words[2]);
}

void checkClasses(const Value& settings) {
  const Value* list = listAt(settings, "classes", "settings");
  if (!list) return;
  for (std::size_t i = 0; i < list->items.size(); ++i) {
    const std::string path = "settings.classes[" + std::to_string(i) + "]";
    const Value& cls = list->items[i];
    if (cls.type != Value::Type::kObject) rejectKey(path, "not an object");
    checkWord(cls, path, "repeat", kRepeatWords);
    // The group is ignored in classes without idempotency keys.
    if (cls.string("repeat") == "by_key") checkWord(cls, path, "group", kGroupWords);
    const auto hasSameName = [&](const Value& other) { return other.string("name") == cls.string("name"); };
    const auto current = list->items.begin() + static_cast<std::ptrdiff_t>(i);
    if (std::any_of(list->items.begin(), current, hasSameName)) rejectKey(path + ".name", "duplicate name");
  }
}

// Reads the key "name" of each object in a list.
std::vector<std::string> namesOf(const Value& settings, const std::string& key) {
  std::vector<std::string> names;
  if (const Value* list = listAt(settings, key, "settings"))
    for (const Value& item : list->items) {
      const auto name = item.string("name");
      if (!name || name->empty())
        rejectKey("settings." + key + "[" + std::to_string(names.size()) + "].name", "missing");
      names.push_back(*name);
    }
  return names;
}

void checkSettings(const Settings& settings) {
  if (settings.classes.empty()) rejectKey("settings.classes", "must not be empty");
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    if (settings.classes[i].maxLifetimeMs <= 0)
      rejectKey("settings.classes[" + std::to_string(i) + "].hardLimitMs", "must be above 0");
  if (settings.maxConcurrentCalls <= 0) rejectKey("settings.familyInfo.callSlots", "must be above 0");
  if (settings.maxPendingRequests <= 0) rejectKey("settings.limits.maxOpen", "must be above 0");
  if (settings.batchIntervalMs < 0) rejectKey("settings.resolutionMs", "must not be below 0");
}

NameTable nameTableOf(const Config& config) {
  NameTable table;
  for (std::size_t i = 0; i < config.classes.size(); ++i) {
    const ClassSettings& cls = config.settings.classes.at(i);
    table.classes.push_back(
        {config.classes[i], cls.idempotency, cls.deduplicationScope, cls.idempotencyWindowMs});
  }
  table.tenants = config.tenants;
  table.zones = config.names.zones;
  const std::size_t headerBytes = Journal::headBytes(table);
  if (headerBytes > config.diskBytes / kMaxHeadersPerDisk || headerBytes > kMaxRecordBytes)
    rejectKey("settings", "the names of classes, tenants and zones would take " +
                              std::to_string(headerBytes) + " bytes in each journal segment, more than 1/" +
                              std::to_string(kMaxHeadersPerDisk) + " of limits.disk_mb");
  return table;
}

Settings decodeSettings(const Value& root, const Value& settings) {
  // The seed consists of hex digits in the file, and is a decimal number in the wire format.
  const std::string seedText = root.string("seed").value_or("0");
  std::uint64_t seed = 0;
  const char* end = seedText.data() + seedText.size();
  const auto [parsedEnd, seedError] = std::from_chars(seedText.data(), end, seed, 16);
  if (seedError != std::errc() || parsedEnd != end) rejectKey("seed", "not hex digits: '" + seedText + "'");
  std::string wireForm = "randomSeed=" + std::to_string(seed);
  flatten("", settings, wireForm);
  try {
    return wire::decodeSettings(wire::Fields(wireForm));
  } catch (const wire::WireError& error) {
    const std::string what = error.what();  // "limits.maxOpen: not a whole number: 'many'"
    const std::size_t colon = std::min(what.find(": "), what.size());
    const std::string reason = colon < what.size() ? what.substr(colon + 2) : "malformed";
    rejectKey("settings." + what.substr(0, colon), reason);
  }
}

}  // namespace

void readSettingsSection(const Value& root, Config& config) {
  const Value* settings = root.find("settings");
  if (!settings || settings->type != Value::Type::kObject) rejectKey("settings", "missing, or not an object");
  checkClasses(*settings);
  config.settings = decodeSettings(root, *settings);
  config.settings.reusesConnections = false;  // see outbound/upstream_client.h
  config.settings.listConfirmationMs = PollSchedule::kPollMs;
  checkSettings(config.settings);
  config.classes = namesOf(*settings, "classes");
  config.tenants = namesOf(*settings, "tenants");
  config.names.zones = strings(*settings, "azs", "settings");
  config.names.kinds = strings(*settings, "machineTypes", "settings");
  config.nameTable = nameTableOf(config);
  if (const Value* guarantees = settings->find("guarantees", Value::Type::kObject))
    config.drainGraceMs = guarantees->number("drainGraceMs").value_or(0);
  if (const Value* reporting = settings->find("reporting", Value::Type::kObject))
    config.reportColumns = strings(*reporting, "columns", "settings.reporting");
}

}  // namespace myrtleloft
