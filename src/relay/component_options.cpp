#include "relay/component_options.h"

#include <unistd.h>

#include <algorithm>
#include <random>

#include "fleet/bounds.h"
#include "quota/quota_tree.h"
#include "relay/freshness_options.h"

namespace myrtleloft {
namespace {

// Descriptors that neither clients nor calls get: the listener, the journal, discovery, the platform.
constexpr int kReservedDescriptors = 48;
// One in so many descriptors stays free, for what the system and its libraries open.
constexpr int kSparePerSockets = 8;
constexpr int kMinClientConnections = 8;

// One part in so many of the memory is for clients' requests that are not accepted yet, for the windows of
// quotas, and for one answer of discovery; that takes some six times its size while it is read, with another
// half read beside it. docs/bounds.md adds up the rest.
constexpr std::size_t kRequestsPerMemory = 4;
constexpr std::size_t kQuotasPerMemory = 8;
constexpr std::size_t kListPerMemory = 48;
constexpr std::size_t kMaxListBytes = std::size_t{4} * 1024 * 1024;

// The two files of the endpoint cache, the current one and its replacement, take a tenth of the disk.
constexpr std::size_t kListPerDisk = 10;

constexpr double kMsPerSecond = 1e3;

std::uint64_t randomSalt() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

}  // namespace

std::size_t clientConnections(const Config& config) {
  const FleetPlan& fleet = config.operatorFile.fleet;
  const int links = fleet.on ? fleetNeeds(fleet.peers.size(), config.memoryBytes).descriptors : 0;
  const int remaining = config.sockets - kReservedDescriptors - links - config.sockets / kSparePerSockets -
                        config.settings.maxConcurrentCalls;
  return static_cast<std::size_t>(std::max(remaining, kMinClientConnections));
}

JournalOptions journalOptions(const Config& config) {
  JournalOptions options;
  options.folder = config.stateFolder;
  options.diskBytes = config.diskBytes;
  options.segmentBytes = config.operatorFile.journal.segmentBytes;
  options.tuning.maxStepBytes = config.operatorFile.journal.compactionStepBytes;
  options.tuning.freeShare = config.operatorFile.journal.freePercent / 100.0;
  options.owner = "pid " + std::to_string(::getpid()) + ", relay " + config.name;
  options.salt = randomSalt();
  options.names = config.nameTable;
  return options;
}

LogOptions logOptions(const Config& config) {
  const OperatorFile::LogSection& log = config.operatorFile.log;
  return {static_cast<LogFormat>(log.format), static_cast<LogLevel>(log.level), config.name,
          static_cast<double>(log.repeatIntervalMs)};
}

EndpointDirectory::Options endpointDirectoryOptions(const Config& config) {
  const OperatorFile::EndpointListSection& section = config.operatorFile.endpointList;
  EndpointDirectory::Options options;
  options.cacheEnabled = section.cache;
  options.cache.folder = config.stateFolder;
  options.cache.maxBytes = config.diskBytes / kListPerDisk;
  options.cache.names = config.names;
  options.cache.salt = randomSalt();
  options.freshness = freshnessTuning(section);
  options.guard.missingShare = section.guardPercent / 100.0;
  options.guard.maxKeepMs = static_cast<double>(section.guardHoldSeconds) * kMsPerSecond;
  for (std::size_t i = 0; i < config.classes.size(); ++i)
    options.classes.push_back({config.classes[i], config.settings.classes[i].idempotency});
  return options;
}

QuotaPlan quotaPlan(const Config& config) {
  QuotaPlan plan = config.operatorFile.quota;
  if (plan.maxActiveWindows == 0)
    plan.maxActiveWindows =
        static_cast<std::int64_t>(config.memoryBytes / kQuotasPerMemory / QuotaTree::kWindowBytes);
  return plan;
}

std::vector<double> priorityWeights(const Config& config) {
  std::vector<double> weights;
  for (const ClassSettings& cls : config.settings.classes) weights.push_back(cls.priorityWeight);
  return weights;
}

DiscoveryClient::Options discoveryOptions(const Config& config) {
  const OperatorFile::EndpointListSection& section = config.operatorFile.endpointList;
  DiscoveryClient::Options options;
  options.names = config.names;
  for (const std::string& address : section.directories)
    options.otherDirectories.push_back(parseAddress(address).value());
  options.backoff = backoffFor(config.settings.instanceCount, static_cast<double>(section.minBackoffMs),
                               config.drainGraceMs, 1 + options.otherDirectories.size());
  if (section.maxBackoffMs) {
    options.backoff.maxMs = static_cast<double>(*section.maxBackoffMs);
    options.backoff.firstMaxMs = 0;
    options.backoff.boundedByInterval =
        false;  // the operator's value stands, whatever bound discovery states
  }
  options.seed = config.settings.seed;
  options.maxListBytes = std::min(config.memoryBytes / kListPerMemory, kMaxListBytes);
  return options;
}

std::size_t requestBytes(const Config& config) { return config.memoryBytes / kRequestsPerMemory; }

Fleet::Options fleetOptions(const Config& config) {
  Fleet::Options options;
  options.plan = config.operatorFile.fleet;
  options.name = config.name;
  const int zone = config.settings.zone;
  if (zone >= 0 && static_cast<std::size_t>(zone) < config.names.zones.size())
    options.building = config.names.zones[static_cast<std::size_t>(zone)].substr(0, kMostBuilding);
  options.folder = config.stateFolder;
  options.memoryBytes = config.memoryBytes;
  options.seed = std::max<std::uint64_t>(1, randomSalt());
  return options;
}

}  // namespace myrtleloft
