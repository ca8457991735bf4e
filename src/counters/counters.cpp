#include "counters/counters.h"

namespace myrtleloft {

void Counters::print(std::ostream& out) const {
  out << "counters in: connections=" << connectionsIn << " requests=" << requests
      << " malformed=" << malformed << " taken=" << accepted << " fail-fast=" << failFast
      << " fail-fast-full=" << failFastFull << " fail-fast-unknown=" << failFastUnknown
      << " fail-fast-stale=" << failFastStale << " fail-fast-quota=" << failFastQuota
      << " hang-ups=" << clientDisconnects << " evicted=" << evicted << " recovered=" << recovered
      << " repeated-ids=" << repeatedIds << '\n'
      << "counters out: connections=" << connectionsOut << " calls=" << calls << " sends=" << requestsSent
      << " spoilt=" << malformedAnswers;
  for (std::size_t i = 0; i < outcomes.size(); ++i) out << ' ' << kOutcomeNames[i] << '=' << outcomes[i];
  out << " retries=" << retries << " unsolicited=" << unsolicited << '\n';
  static constexpr std::array kGuard = {"after-completion", "after-deadline",     "non-idempotent-repeated",
                                        "outside-window",   "outside-scope",      "hedged",
                                        "draining",         "before-retry-after", "rejected-after-attempt",
                                        "future-record"};
  static_assert(kGuard.size() == kGuardKinds);
  out << "counters guard:";
  for (std::size_t i = 0; i < guard.size(); ++i) out << ' ' << kGuard[i] << '=' << guard[i];
  static constexpr std::array kCloses = {"answered",     "idle",   "evicted",      "slow",        "flooded",
                                         "client-ended", "broken", "write-failed", "process-ends"};
  static_assert(kCloses.size() == kCloseReasons);
  out << "\ncounters closes:";
  for (std::size_t i = 0; i < closes.size(); ++i) out << ' ' << kCloses[i] << '=' << closes[i];
  out << " unanswered=" << closedUnanswered << '\n'
      << "counters completed: delivered=" << delivered << " expired=" << expired << " dead=" << failed
      << " bounced=" << returned << " notices=" << notifications << " notice-retries=" << notificationRetries
      << " decided-before=" << decidedBefore << '\n'
      << "counters rest: batches=" << batches << " lists=" << lists << " list-faults=" << listFaults
      << " lists-rejected=" << listsRejected << " journal-faults=" << journalFaults
      << " compactions=" << compactions << " reloads=" << reloads << " reload-faults=" << reloadFaults
      << std::endl;
}

}  // namespace myrtleloft
