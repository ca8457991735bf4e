#include "config/config.h"

#include <sys/stat.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

#include "fleet/bounds.h"
#include "wire.h"

namespace myrtleloft {
namespace {

using json::Value;

// ---- defaults ----
constexpr double kDiskMb = 1, kSockets = 1024, kMemoryMb = 192;
constexpr double kLeastSockets = 64;   // fewer leave no room for clients beside the calls
constexpr double kLeastMemoryMb = 16;  // less does not hold the program and one largest list

[[noreturn]] void refuse(const std::string& key, const std::string& what) {
  throw ConfigError(key + ": " + what);
}

std::string variable(const Environment& environment, const std::string& name) {
  const auto at = environment.find(name);
  return at == environment.end() ? std::string() : at->second;
}

const Value& object(const Value& in, const std::string& key) {
  const Value* value = in.find(key, Value::Type::kObject);
  if (!value) refuse(key, "missing, or not an object");
  return *value;
}

Address address(const Environment& environment, const std::string& name, const Value& root,
                const std::string& key) {
  std::string text = variable(environment, name);
  const std::string where = text.empty() ? key : name;
  if (text.empty()) text = root.string(key).value_or("");
  const auto parsed = parseAddress(text);
  if (!parsed) refuse(where, "not an address and port: '" + text + "'");
  return *parsed;
}

double limit(const Value& limits, const std::string& key, double fallback, double least) {
  if (!limits.find(key, Value::Type::kNumber)) {
    for (const auto& member : limits.members)
      if (member.first == key) refuse("limits." + key, "not a number");
    return fallback;
  }
  const double value = limits.number(key).value_or(NAN);
  if (!(value >= least)) refuse("limits." + key, "below " + std::to_string(least));
  return value;
}

// The adapter's form of the settings: path=value pairs, plain lists joined with commas, lists of objects with
// their length under .count and their items under .0, .1 and so on.
void flatten(const std::string& path, const Value& value, std::string& out) {
  const std::string below = path.empty() ? "" : path + ".";
  if (value.type == Value::Type::kObject) {
    for (const auto& [name, member] : value.members) flatten(below + name, member, out);
    return;
  }
  if (value.type == Value::Type::kNull) return;
  const bool objects = value.type == Value::Type::kArray && !value.items.empty() &&
                       value.items.front().type == Value::Type::kObject;
  if (objects) {
    flatten(below + "count", {Value::Type::kNumber, std::to_string(value.items.size()), {}, {}}, out);
    for (std::size_t i = 0; i < value.items.size(); ++i)
      flatten(below + std::to_string(i), value.items[i], out);
    return;
  }
  std::string text = value.text;
  for (const Value& item : value.items) text += (text.empty() ? "" : ",") + item.text;
  for (char& c : text)
    if (c == '\t' || c == ' ' || c == '\n') c = '_';
  out += (out.empty() ? "" : "\t") + path + "=" + text;
}

std::vector<std::string> strings(const Value& settings, const std::string& key) {
  std::vector<std::string> out;
  if (const Value* list = settings.find(key, Value::Type::kArray))
    for (const Value& item : list->items) {
      if (item.type != Value::Type::kString) refuse("settings." + key, "not a list of texts");
      out.push_back(item.text);
    }
  return out;
}

std::vector<std::string> namesOf(const Value& settings, const std::string& key) {
  std::vector<std::string> out;
  if (const Value* list = settings.find(key, Value::Type::kArray))
    for (const Value& item : list->items) {
      const auto name = item.string("name");
      if (!name || name->empty())
        refuse("settings." + key + "[" + std::to_string(out.size()) + "].name", "missing");
      out.push_back(*name);
    }
  return out;
}

// Half of either at most: the clients' part is what the relay is for.
void checkFleet(const Config& config) {
  const FleetPlan& plan = config.operatorFile.fleet;
  if (!plan.on) return;
  if (!isFleetName(config.name)) refuse("name", "'" + config.name + "' cannot be a name in a fleet");
  const FleetNeeds needs = fleetNeeds(plan.peers.size(), config.memoryBytes);
  const std::string much = "fleet.peers: " + std::to_string(plan.peers.size()) + " peers need up to ";
  if (needs.descriptors > config.sockets / 2)
    throw ConfigError(much + std::to_string(needs.descriptors) +
                      " descriptors, more than half of limits.sockets");
  if (needs.bytes > config.memoryBytes / 2)
    throw ConfigError(much + std::to_string(needs.bytes / 1000000) +
                      " MB, more than half of limits.memory_mb");
}

void checkSettings(const Settings& s) {
  if (s.classes.empty()) refuse("settings.classes", "none given");
  for (std::size_t i = 0; i < s.classes.size(); ++i)
    if (s.classes[i].hardLimitMs <= 0)
      refuse("settings.classes[" + std::to_string(i) + "].hardLimitMs", "must be above 0");
  if (s.callSlots <= 0) refuse("settings.familyInfo.callSlots", "must be above 0");
  if (s.maxOpen <= 0) refuse("settings.limits.maxOpen", "must be above 0");
  if (s.resolutionMs < 0) refuse("settings.resolutionMs", "must not be below 0");
}

Settings decodeSettings(const Value& root, const Value& settings) {
  // The seed comes as hex digits; the adapter reads it as a whole number.
  const std::string seedText = root.string("seed").value_or("0");
  std::uint64_t seed = 0;
  const char* end = seedText.data() + seedText.size();
  const auto [at, error] = std::from_chars(seedText.data(), end, seed, 16);
  if (error != std::errc() || at != end) refuse("seed", "not hex digits: '" + seedText + "'");
  std::string flat = "randomSeed=" + std::to_string(seed);
  flatten("", settings, flat);
  try {
    return wire::readSettings(wire::Fields(flat));
  } catch (const wire::WireError& problem) {
    throw ConfigError("settings." + std::string(problem.what()));
  }
}

}  // namespace

LiveConfig::LiveConfig(Environment environment)
    : environment_(std::move(environment)), config_(readConfig(environment_)) {}

std::string LiveConfig::reload() {
  // The variable told where discovery was at the start. A file that was replaced since is the newer word:
  // left in force, the variable would hold the relay to an address that answers no more.
  environment_.erase("BALANCER_DISCOVERY");
  try {
    const Config fresh = readConfig(environment_);
    config_.discovery = fresh.discovery;
    // The rest of the section, and whether there is one, counts from the next start on.
    if (config_.operatorFile.fleet.on && fresh.operatorFile.fleet.on)
      config_.operatorFile.fleet.peers = fresh.operatorFile.fleet.peers;
    return "";
  } catch (const ConfigError& fault) {
    return fault.what();
  }
}

Config readConfig(const Environment& environment) {
  const std::string path = variable(environment, "BALANCER_CONFIG");
  if (path.empty()) refuse("BALANCER_CONFIG", "not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) refuse("BALANCER_CONFIG", "cannot read '" + path + "'");
  Config config = readConfig(environment, text.str());
  struct stat about {};
  if (::stat(path.c_str(), &about) == 0)
    config.writtenWallMs =
        static_cast<double>(about.st_mtim.tv_sec) * 1e3 + static_cast<double>(about.st_mtim.tv_nsec) / 1e6;
  return config;
}

Config readConfig(const Environment& environment, const std::string& text) {
  std::string error;
  const auto root = json::parse(text, error);
  if (!root) refuse("BALANCER_CONFIG", error);
  Config config;
  config.name = variable(environment, "BALANCER_NAME");
  if (config.name.empty()) config.name = root->string("name").value_or("");
  if (config.name.empty()) refuse("name", "missing");
  config.stateFolder = variable(environment, "BALANCER_STATE");
  if (config.stateFolder.empty()) refuse("BALANCER_STATE", "not set");
  if (const std::string path = variable(environment, "BALANCER_OPERATOR"); !path.empty())
    config.operatorFile = readOperatorFile(path, config.name);
  config.listen = address(environment, "BALANCER_LISTEN", *root, "listen");
  config.discovery = address(environment, "BALANCER_DISCOVERY", *root, "discovery");

  static const Value kNoLimits{Value::Type::kObject, "", {}, {}};
  const Value* limits = root->find("limits", Value::Type::kObject);
  if (!limits) limits = &kNoLimits;
  config.sockets = static_cast<int>(limit(*limits, "sockets", kSockets, kLeastSockets));
  config.memoryBytes = static_cast<std::size_t>(limit(*limits, "memory_mb", kMemoryMb, kLeastMemoryMb) * 1e6);
  config.diskBytes = static_cast<std::size_t>(limit(*limits, "disk_mb", kDiskMb, 0.0625) * 1e6);

  const Value& settings = object(*root, "settings");
  config.settings = decodeSettings(*root, settings);
  checkSettings(config.settings);
  config.classes = namesOf(settings, "classes");
  config.tenants = namesOf(settings, "tenants");
  config.names.zones = strings(settings, "azs");
  config.names.kinds = strings(settings, "machineTypes");
  if (const Value* guarantees = settings.find("guarantees", Value::Type::kObject))
    config.drainGraceMs = guarantees->number("drainGraceMs").value_or(0);
  if (const Value* reporting = settings.find("reporting", Value::Type::kObject))
    config.reportColumns = strings(*reporting, "columns");

  if (root->find("known", Value::Type::kObject)) {
    const auto known = readList(object(*root, "known"), config.names, error);
    if (!known) refuse("known." + error, "missing or malformed");
    config.known = *known;
    config.known.all = true;
  }
  for (const auto& [name, state] : config.operatorFile.membership.classes)
    if (std::find(config.classes.begin(), config.classes.end(), name) == config.classes.end())
      refuse("membership.classes." + name,
             "the operator's file names a class that settings.classes does not");
  for (const QuotaPlan::Node& node : config.operatorFile.quota.nodes)
    if (!node.tenant.empty() &&
        std::find(config.tenants.begin(), config.tenants.end(), node.tenant) == config.tenants.end())
      refuse("quota.node." + node.name, "the operator's file names a tenant that settings.tenants does not");
  checkFleet(config);
  return config;
}

}  // namespace myrtleloft
