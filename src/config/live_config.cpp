#include "config/live_config.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "config/config_errors.h"
#include "json/location.h"

namespace myrtleloft {
namespace {

using json::Value;

// A key that cannot be changed while the process runs, and the environment variable that overrides it, if
// there is one. `discovery`, `known` and `seed` are not listed, because they may change at any time.
struct RestartKey {
  const char* key;
  const char* variable;
};
constexpr std::array<RestartKey, 4> kRestartKeys = {
    {{"name", "BALANCER_NAME"}, {"listen", "BALANCER_LISTEN"}, {"limits", ""}, {"settings", ""}}};

std::optional<std::string> firstDifference(const Value& before, const Value& after, const std::string& path);

std::optional<std::string> objectDifference(const Value& before, const Value& after,
                                            const std::string& path) {
  const std::string prefix = path.empty() ? "" : path + ".";
  for (const auto& [name, value] : after.members) {
    const Value* counterpart = before.find(name);
    if (!counterpart) return prefix + name;
    if (auto difference = firstDifference(*counterpart, value, prefix + name)) return difference;
  }
  for (const json::Member& member : before.members)
    if (!after.find(member.name)) return prefix + member.name;
  return std::nullopt;
}

std::optional<std::string> arrayDifference(const Value& before, const Value& after, const std::string& path) {
  for (std::size_t i = 0; i < after.items.size(); ++i) {
    const std::string itemPath = path + "[" + std::to_string(i) + "]";
    if (i >= before.items.size()) return itemPath;
    if (auto difference = firstDifference(before.items[i], after.items[i], itemPath)) return difference;
  }
  return before.items.size() == after.items.size() ? std::nullopt : std::optional(path);
}

// Returns the path of the first key that differs, or std::nullopt if the values are equal.
std::optional<std::string> firstDifference(const Value& before, const Value& after, const std::string& path) {
  if (before.type != after.type) return path;
  switch (before.type) {
    case Value::Type::kObject:
      return objectDifference(before, after, path);
    case Value::Type::kArray:
      return arrayDifference(before, after, path);
    case Value::Type::kNumber:  // 5 equals 5.0
      return before.asNumber() == after.asNumber() ? std::nullopt : std::optional(path);
    default:
      return before.text == after.text ? std::nullopt : std::optional(path);
  }
}

// Returns the part of the file that cannot be changed while the process runs. A key that an environment
// variable overrides is not part of it, because its value in the file is not used.
Value restartPart(const Environment& environment, const std::string& text) {
  std::string error;
  Value root = json::parse(text, error).value_or(Value());
  std::erase_if(root.members, [&](const json::Member& member) {
    return std::none_of(kRestartKeys.begin(), kRestartKeys.end(), [&](const RestartKey& entry) {
      return member.name == entry.key && environment.count(entry.variable) == 0;
    });
  });
  return root;
}

}  // namespace

LiveConfig::LiveConfig(Environment environment)
    : LiveConfig(std::move(environment), readConfigFile(environment)) {}

LiveConfig::LiveConfig(Environment environment, const ConfigFile& file)
    : environment_(std::move(environment)),
      config_(readConfig(environment_, file.text)),
      appliedAtStart_(restartPart(environment_, file.text)) {
  config_.writtenWallMs = file.writtenWallMs;
}

std::optional<ConfigError> LiveConfig::reload() {
  // The environment variable holds the address of discovery at the start of the process. After a reload the
  // file is more recent, so the variable must not override it any more: that address may no longer be
  // reachable.
  Environment environment = environment_;
  environment.erase("BALANCER_DISCOVERY");
  try {
    const ConfigFile file = readConfigFile(environment);
    const Config fresh = readConfig(environment, file.text);
    environment_ = std::move(environment);
    config_.discovery = fresh.discovery;
    // Other keys of the section, and adding or removing the section, take effect at the next start.
    if (config_.operatorFile.fleet.enabled && fresh.operatorFile.fleet.enabled)
      config_.operatorFile.fleet.peers = fresh.operatorFile.fleet.peers;
    const std::optional<std::string> difference =
        firstDifference(appliedAtStart_, restartPart(environment_, file.text), "");
    keyNeedingRestart_ =
        difference ? withPlace(*difference, json::locationOf(file.text, *difference)) : std::string();
    return std::nullopt;
  } catch (const ConfigError& error) {
    return error;
  }
}

}  // namespace myrtleloft
