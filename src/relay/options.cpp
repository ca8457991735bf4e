#include "relay/options.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <string>

#include "quota/quota_tree.h"

namespace myrtleloft {
namespace {

// Descriptors that neither clients nor idle connections get: the listener, journal, discovery, calls out.
constexpr int kReserve = 48;
constexpr std::size_t kQuotasPerMemory = 8;

}  // namespace

std::size_t idleConnections(const Config& config) { return static_cast<std::size_t>(config.sockets / 8); }

std::size_t clientConnections(const Config& config) {
  const int rest = config.sockets - kReserve - config.sockets / 8 - config.settings.callSlots;
  return static_cast<std::size_t>(std::max(rest, 8));
}

JournalOptions journalOptions(const Config& config) {
  JournalOptions options;
  options.folder = config.stateFolder;
  options.diskBytes = config.diskBytes;
  options.segmentBytes = config.operatorFile.journal.segmentBytes;
  options.tuning.mostSlice = config.operatorFile.journal.sliceBytes;
  options.tuning.freeShare = config.operatorFile.journal.freePercent / 100.0;
  options.owner = "pid " + std::to_string(::getpid()) + ", relay " + config.name;
  std::random_device random;
  options.salt = std::uint64_t{random()} << 32 | random();
  return options;
}

LogOptions logOptions(const Config& config) {
  const OperatorFile::Log& log = config.operatorFile.log;
  return {static_cast<LogFormat>(log.format), static_cast<LogLevel>(log.level), config.name,
          static_cast<double>(log.againMs)};
}

QuotaPlan quotaPlan(const Config& config) {
  QuotaPlan plan = config.operatorFile.quota;
  if (plan.mostAwake == 0)
    plan.mostAwake =
        static_cast<std::int64_t>(config.memoryBytes / kQuotasPerMemory / QuotaTree::kWindowBytes);
  return plan;
}

std::vector<double> worths(const Config& config) {
  std::vector<double> all;
  for (const ClassSettings& cls : config.settings.classes) all.push_back(cls.worth);
  return all;
}

}  // namespace myrtleloft
