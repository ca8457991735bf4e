#include "relay/counters.h"

namespace myrtleloft {

void Counters::print(std::ostream& out) const {
  out << "counters in: connections=" << connectionsIn << " requests=" << requests
      << " malformed=" << malformed << " taken=" << taken << " fail-fast=" << failFast
      << " fail-fast-full=" << failFastFull << " hang-ups=" << hangUps << " recovered=" << recovered << '\n'
      << "counters out: connections=" << connectionsOut << " calls=" << calls << " sends=" << sends
      << " probes=" << probes << " good=" << good << " bad=" << bad << " full=" << full << " late=" << late
      << " no-connection=" << noConn << " reset=" << reset << " cancelled=" << cancelled
      << " not-sent=" << nop << '\n'
      << "counters ends: delivered=" << delivered << " expired=" << expired << " dead=" << dead
      << " bounced=" << bounced << " notices=" << notices << " notice-retries=" << noticeRetries << '\n'
      << "counters rest: batches=" << batches << " lists=" << lists << " list-faults=" << listFaults
      << " journal-faults=" << journalFaults << " compactions=" << compactions << std::endl;
}

}  // namespace myrtleloft
