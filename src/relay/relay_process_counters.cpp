// Prints the counters of a relay, at SIGUSR1 and at its end. Operators' tools read their names, which
// docs/operators/log.md lists.
#include <cmath>
#include <cstdint>
#include <sstream>

#include "relay/relay_process.h"

namespace myrtleloft {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr std::int64_t kUnknownAge = -1;

}  // namespace

void RelayProcess::printCounters() const {
  std::ostringstream out;
  counters_.print(out);
  printTimeCounters(out);
  printJournalCounters(out);
  printEndpointCounters(out);
  if (quotas_.enabled()) printQuotaCounters(out);
  if (fleet_) fleet_->print(out);
  log_.writeCounters(out.str());
}

void RelayProcess::printTimeCounters(std::ostream& out) const {
  out << "counters times: read-late=" << counters_.lateReads
      << " max-unread-ms=" << std::llround(counters_.maxUnreadMs)
      << " max-timer-delay-ms=" << std::llround(loop_.maxTimerDelayMs())
      << " overdue-notices=" << counters_.lateNotifications
      << " max-notice-late-ms=" << std::llround(counters_.maxNotificationLateMs) << '\n';
}

void RelayProcess::printJournalCounters(std::ostream& out) const {
  const JournalStatistics& statistics = journal_.statistics();
  const DiskUsage usage = journal_.usage();
  out << "counters journal: bytes=" << usage.used << " of=" << usage.disk << " pending=" << usage.live
      << " reserved=" << usage.reserved << " segments=" << usage.segments
      << " deleted=" << statistics.deletedSegments << " compact-steps=" << statistics.compactSteps
      << " accepted-bytes=" << statistics.acceptedBytes << " written-bytes=" << statistics.writtenBytes
      << " rewritten-bytes=" << statistics.rewrittenBytes << " faults=" << statistics.faults << '\n';
}

void RelayProcess::printEndpointCounters(std::ostream& out) const {
  const EndpointCache::Statistics& cache = endpointDirectory_.cache().statistics();
  const ListAge age = endpointDirectory_.age();
  out << "counters membership: rev=" << endpointDirectory_.endpoints().revision()
      << " endpoints=" << endpointDirectory_.endpoints().all().size()
      << " age-s=" << (age.known ? static_cast<std::int64_t>(age.ms / kMsPerSecond) : kUnknownAge)
      << " freshness=" << nameOf(endpointDirectory_.freshness())
      << " cached-bytes=" << endpointDirectory_.cache().fileBytes() << " commits=" << cache.commits
      << " rewrites=" << cache.rewrites << " steps=" << cache.slices
      << " written-bytes=" << cache.writtenBytes << " faults=" << cache.faults << '\n';
}

void RelayProcess::printQuotaCounters(std::ostream& out) const {
  out << "counters quota: nodes=" << quotas_.tree().shape().nodes.size()
      << " windows=" << quotas_.tree().activeWindows() << " of=" << quotas_.tree().shape().maxActiveWindows
      << " refused=" << counters_.failFastQuota << " uncounted=" << quotas_.tree().uncounted() << '\n';
}

}  // namespace myrtleloft
