#include "config/config.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "config/config_errors.h"
#include "config/settings_section.h"
#include "config/text_file.h"
#include "fleet/bounds.h"
#include "json/json.h"
#include "json/location.h"

namespace myrtleloft {
namespace {

using json::Value;

// The default and the minimum of a key in `limits`.
struct LimitRule {
  const char* key;
  double defaultValue;
  double minimum;
};
constexpr LimitRule kSockets{"sockets", 1024, 64};  // with fewer, calls would leave none for clients
constexpr LimitRule kMemoryMb{"memory_mb", 192,
                              16};  // the program and the longest endpoint list need this much
constexpr LimitRule kDiskMb{"disk_mb", 1, 0.0625};
constexpr double kMaxLimit = 1e9;  // for each of them; larger than the resources of any machine
constexpr double kBytesPerMb = 1e6;

// Returns the value of an environment variable, or an empty string if it is not set.
std::string variable(const Environment& environment, const std::string& name) {
  const auto found = environment.find(name);
  return found == environment.end() ? std::string() : found->second;
}

// Returns the object under the key, or nullptr if the key is missing.
const Value* objectAt(const Value& parent, const std::string& key) {
  const Value* value = parent.find(key);
  if (value && value->type != Value::Type::kObject) rejectKey(key, "not an object");
  return value;
}

// Reads an address from the environment variable or, if that is not set, from the key.
Address address(const Environment& environment, const std::string& variableName, const Value& root,
                const std::string& key) {
  std::string text = variable(environment, variableName);
  const std::string source = text.empty() ? key : variableName;
  if (text.empty()) text = root.string(key).value_or("");
  const auto parsed = parseAddress(text);
  if (!parsed) rejectKey(source, "not an address and port: '" + text + "'");
  return *parsed;
}

double limit(const Value& limits, const LimitRule& rule) {
  const Value* given = limits.find(rule.key);
  if (!given) return rule.defaultValue;
  const std::string path = std::string("limits.") + rule.key;
  if (given->type != Value::Type::kNumber) rejectKey(path, "not a number");
  const double value = limits.number(rule.key).value_or(NAN);
  if (!(value >= rule.minimum)) rejectKey(path, "below " + std::to_string(rule.minimum));
  if (value > kMaxLimit) rejectKey(path, "above " + std::to_string(kMaxLimit));
  return value;
}

void readLimits(const Value& root, Config& config) {
  static const Value kNoLimits{Value::Type::kObject, "", {}, {}};
  const Value* limits = objectAt(root, "limits");
  if (!limits) limits = &kNoLimits;
  config.sockets = static_cast<int>(limit(*limits, kSockets));
  config.memoryBytes = static_cast<std::size_t>(limit(*limits, kMemoryMb) * kBytesPerMb);
  config.diskBytes = static_cast<std::size_t>(limit(*limits, kDiskMb) * kBytesPerMb);
}

void readKnownEndpoints(const Value& root, Config& config) {
  const Value* known = root.find("known");
  if (!known || known->type == Value::Type::kNull) return;
  ListResult list = readList(*objectAt(root, "known"), config.names);
  if (const auto* error = std::get_if<ListError>(&list))
    rejectKey("known." + describe(*error), "missing or malformed");
  config.known = std::move(std::get<EndpointList>(list));
  config.known.complete = true;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Checks that the classes and tenants named in the operator's file exist in the settings.
void checkOperatorNames(const Config& config) {
  for (const OperatorFile::ClassFreshness& entry : config.operatorFile.endpointList.classes)
    if (!contains(config.classes, entry.className))
      rejectKey("membership.classes." + entry.className,
                "the operator's file names a class that is not in settings.classes");
  for (const QuotaPlan::Node& node : config.operatorFile.quota.nodes)
    if (!node.tenant.empty() && !contains(config.tenants, node.tenant))
      rejectKey("quota.node." + node.name,
                "the operator's file names a tenant that is not in settings.tenants");
}

// Checks that the connections to the fleet need at most half of the file descriptors and of the memory, so
// that the other half is left for clients and calls.
void checkFleet(const Config& config) {
  const FleetPlan& plan = config.operatorFile.fleet;
  if (!plan.enabled) return;
  if (!isFleetName(config.name)) rejectKey("name", "'" + config.name + "' is not a valid name in a fleet");
  const FleetNeeds needs = fleetNeeds(plan.peers.size(), config.memoryBytes);
  const std::string prefix = std::to_string(plan.peers.size()) + " peers need up to ";
  if (needs.descriptors > config.sockets / 2)
    rejectKey("fleet.peers",
              prefix + std::to_string(needs.descriptors) + " descriptors, more than half of limits.sockets");
  if (needs.bytes > config.memoryBytes / 2)
    rejectKey("fleet.peers",
              prefix + std::to_string(needs.bytes / 1000000) + " MB, more than half of limits.memory_mb");
}

Config readRoot(const Environment& environment, const Value& root) {
  Config config;
  config.name = variable(environment, "BALANCER_NAME");
  if (config.name.empty()) config.name = root.string("name").value_or("");
  if (config.name.empty()) rejectKey("name", "missing");
  config.stateFolder = variable(environment, "BALANCER_STATE");
  if (config.stateFolder.empty()) rejectKey("BALANCER_STATE", "not set");
  if (const std::string path = variable(environment, "BALANCER_OPERATOR"); !path.empty())
    config.operatorFile = readOperatorFile(path, config.name);
  config.listen = address(environment, "BALANCER_LISTEN", root, "listen");
  config.discovery = address(environment, "BALANCER_DISCOVERY", root, "discovery");
  readLimits(root, config);
  readSettingsSection(root, config);
  readKnownEndpoints(root, config);
  checkOperatorNames(config);
  checkFleet(config);
  return config;
}

// Whether the error is at a key of the JSON file, rather than at a variable or in the operator's file.
bool isInJsonFile(const ConfigError& error) {
  static const std::set<std::string> kTopLevelKeys = {"name",   "listen", "discovery", "seed",
                                                      "limits", "known",  "settings"};
  const ConfigLocation& location = error.location();
  return location.file.empty() &&
         kTopLevelKeys.count(location.key.substr(0, location.key.find_first_of(".["))) > 0;
}

}  // namespace

ConfigFile readConfigFile(const Environment& environment) {
  const std::string path = variable(environment, "BALANCER_CONFIG");
  if (path.empty()) rejectKey("BALANCER_CONFIG", "not set");
  Result<TextFile, TextFileError> file = readTextFile(path);
  if (file) return {std::move(file->text), file->writtenWallMs};
  const std::string what = "cannot read '" + path + "': " + file.error().reason;
  if (file.error().cause == UnavailableCause::kPermanent) rejectKey("BALANCER_CONFIG", what);
  rejectUnavailable("BALANCER_CONFIG", what);
}

Config readConfig(const Environment& environment) {
  const ConfigFile file = readConfigFile(environment);
  Config config = readConfig(environment, file.text);
  config.writtenWallMs = file.writtenWallMs;
  return config;
}

Config readConfig(const Environment& environment, const std::string& text) {
  std::string syntaxError;
  std::size_t errorOffset = 0;
  const auto root = json::parse(text, syntaxError, errorOffset);
  if (!root) {
    const std::string what = syntaxError.starts_with("parse error at line")
                                 ? syntaxError
                                 : withPlace(syntaxError, json::locationAt(text, errorOffset));
    if (json::isTruncated(text)) rejectUnavailable("BALANCER_CONFIG", what);
    rejectKey("BALANCER_CONFIG", what);
  }
  if (root->type != Value::Type::kObject) rejectKey("BALANCER_CONFIG", "not an object (line 1, column 1)");
  try {
    return readRoot(environment, *root);
  } catch (const ConfigError& error) {
    if (!isInJsonFile(error)) throw;
    const std::string& key = error.location().key;
    const json::Location place = json::locationOf(text, key);
    throw ConfigError(withPlace(error.what(), place), {"", key, place.line, place.column});
  }
}

}  // namespace myrtleloft
