#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "config/config.h"

namespace myrtleloft {
namespace {

using json::Value;

// What a process keeps to until its end, and the variable that goes before it, if there is one. `discovery`,
// `known` and `seed` tell of the moment, and may change at any time.
struct Fixed {
  const char *key, *variable;
};
constexpr std::array<Fixed, 4> kFixed = {
    {{"name", "BALANCER_NAME"}, {"listen", "BALANCER_LISTEN"}, {"limits", ""}, {"settings", ""}}};

// The path of the first key that is not the same in both; nothing: they say the same.
std::optional<std::string> difference(const Value& running, const Value& fresh, const std::string& path) {
  if (running.type != fresh.type) return path;
  switch (running.type) {
    case Value::Type::kObject: {
      const std::string below = path.empty() ? "" : path + ".";
      for (const auto& [name, value] : fresh.members) {
        const Value* before = running.find(name);
        if (!before) return below + name;
        if (auto found = difference(*before, value, below + name)) return found;
      }
      for (const auto& member : running.members)
        if (!fresh.find(member.first)) return below + member.first;
      return std::nullopt;
    }
    case Value::Type::kArray:
      for (std::size_t i = 0; i < fresh.items.size(); ++i) {
        const std::string item = path + "[" + std::to_string(i) + "]";
        if (i >= running.items.size()) return item;
        if (auto found = difference(running.items[i], fresh.items[i], item)) return found;
      }
      return running.items.size() == fresh.items.size() ? std::nullopt : std::optional(path);
    case Value::Type::kNumber:  // 5 is 5.0
      return running.asNumber() == fresh.asNumber() ? std::nullopt : std::optional(path);
    default:
      return running.text == fresh.text ? std::nullopt : std::optional(path);
  }
}

// Of the file, what counts until the end of a process.
Value fixedPart(const Environment& environment, const std::string& text) {
  std::string error;
  Value root = json::parse(text, error).value_or(Value());
  std::erase_if(root.members, [&](const auto& member) {
    return std::none_of(kFixed.begin(), kFixed.end(), [&](const Fixed& fixed) {
      return member.first == fixed.key && environment.count(fixed.variable) == 0;
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
      running_(fixedPart(environment_, file.text)) {
  config_.writtenWallMs = file.writtenWallMs;
}

std::string LiveConfig::reload() {
  // The variable told where discovery was at the start. A file that was replaced since is the newer word:
  // left in force, the variable would hold the relay to an address that answers no more.
  Environment environment = environment_;
  environment.erase("BALANCER_DISCOVERY");
  try {
    const ConfigFile file = readConfigFile(environment);
    const Config fresh = readConfig(environment, file.text);
    environment_ = std::move(environment);
    config_.discovery = fresh.discovery;
    // The rest of the section, and whether there is one, counts from the next start on.
    if (config_.operatorFile.fleet.on && fresh.operatorFile.fleet.on)
      config_.operatorFile.fleet.peers = fresh.operatorFile.fleet.peers;
    const auto other = difference(running_, fixedPart(environment_, file.text), "");
    waits_ = other ? placed(*other, json::placeOf(file.text, *other)) : "";
    return "";
  } catch (const ConfigError& fault) {
    return fault.what();
  }
}

}  // namespace myrtleloft
