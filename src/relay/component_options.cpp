#include "relay/component_options.h"

#include <unistd.h>

#include <algorithm>
#include <random>

#include "fleet/bounds.h"
#include "quota/quota_tree.h"
#include "relay/freshness_options.h"

namespace myrtleloft {
namespace {

// Descriptors reserved for the listener, the journal, discovery and the platform.
constexpr int kReservedDescriptors = 48;
// The fraction 1/kSpareDescriptorDivisor of the descriptors stays free for the system and its libraries.
constexpr int kSpareDescriptorDivisor = 8;
constexpr int kMinClientConnections = 8;

// Fractions (1/divisor) of the memory for requests that are not accepted yet, for quota windows, and for one
// endpoint list. A list takes about six times its size while it is parsed, and another one may be half
// received at the same time. docs/bounds.md lists the other uses of memory.
constexpr std::size_t kRequestMemoryDivisor = 4;
constexpr std::size_t kQuotaMemoryDivisor = 8;
constexpr std::size_t kListMemoryDivisor = 48;
constexpr std::size_t kMaxListBytes = std::size_t{4} * 1024 * 1024;

// The two files of the endpoint cache (the current one and its replacement) get a tenth of the disk.
constexpr std::size_t kListDiskDivisor = 10;

constexpr double kMsPerSecond = 1e3;

std::uint64_t randomSalt() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

}  // namespace

std::size_t clientConnections(const Config& config) {
  const FleetPlan& fleet = config.operatorFile.fleet;
  const int fleetDescriptors =
      fleet.enabled ? fleetNeeds(fleet.peers.size(), config.memoryBytes).descriptors : 0;
  const int remaining = config.sockets - kReservedDescriptors - fleetDescriptors -
                        config.sockets / kSpareDescriptorDivisor - config.settings.maxConcurrentCalls;
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
  options.cache.maxBytes = config.diskBytes / kListDiskDivisor;
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
        static_cast<std::int64_t>(config.memoryBytes / kQuotaMemoryDivisor / QuotaTree::kWindowBytes);
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
        false;  // the operator's value takes precedence over the interval stated by discovery
  }
  options.seed = config.settings.seed;
  options.maxListBytes = std::min(config.memoryBytes / kListMemoryDivisor, kMaxListBytes);
  return options;
}

std::size_t requestBytes(const Config& config) { return config.memoryBytes / kRequestMemoryDivisor; }

Fleet::Options fleetOptions(const Config& config) {
  Fleet::Options options;
  options.plan = config.operatorFile.fleet;
  options.name = config.name;
  const int zone = config.settings.zone;
  if (zone >= 0 && static_cast<std::size_t>(zone) < config.names.zones.size())
    options.building = config.names.zones[static_cast<std::size_t>(zone)].substr(0, kMaxBuildingNameBytes);
  options.folder = config.stateFolder;
  options.memoryBytes = config.memoryBytes;
  options.seed = std::max<std::uint64_t>(1, randomSalt());
  return options;
}

}  // namespace myrtleloft
