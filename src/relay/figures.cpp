#include "relay/figures.h"

#include <ostream>

namespace myrtleloft {

const char* nameOf(Relay::Phase phase) {
  switch (phase) {
    case Relay::Phase::kStarting:
      return "starting";
    case Relay::Phase::kRecovering:
      return "recovering";
    case Relay::Phase::kServing:
      return "serving";
    case Relay::Phase::kDraining:
      return "draining";
    case Relay::Phase::kStopped:
      return "stopped";
  }
  return "";
}

void print(std::ostream& out, const Journal& journal) {
  const JournalFigures& f = journal.figures();
  const JournalRoom room = journal.room();
  out << "counters journal: bytes=" << room.used << " of=" << room.disk << " owed=" << room.live
      << " reserved=" << room.reserved << " segments=" << room.segments << " released=" << f.released
      << " slices=" << f.slices << " taken-bytes=" << f.takenBytes << " written-bytes=" << f.writtenBytes
      << " carried-bytes=" << f.carriedBytes << " faults=" << f.faults << '\n';
}

void print(std::ostream& out, const Membership& membership) {
  const KeptList::Figures& k = membership.kept().figures();
  const ListAge age = membership.age();
  out << "counters membership: rev=" << membership.set().rev()
      << " endpoints=" << membership.set().all().size()
      << " age-s=" << (age.known ? static_cast<std::int64_t>(age.ms / 1000) : -1)
      << " trust=" << nameOf(membership.trust()) << " kept-bytes=" << membership.kept().fileBytes()
      << " commits=" << k.commits << " rewrites=" << k.rewrites << " slices=" << k.slices
      << " written-bytes=" << k.writtenBytes << " faults=" << k.faults << '\n';
}

void print(std::ostream& out, const QuotaTree& quotas, const Counters& counters) {
  out << "counters quota: nodes=" << quotas.shape().nodes.size() << " windows=" << quotas.awake()
      << " of=" << quotas.shape().mostAwake << " refused=" << counters.failFastQuota
      << " uncounted=" << quotas.uncounted() << '\n';
}

}  // namespace myrtleloft
