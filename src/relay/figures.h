// What the counters say of the journal, the list and the quotas, a line each; and the phases by name.
#pragma once

#include <iosfwd>

#include "counters/counters.h"
#include "discovery/membership.h"
#include "journal/journal.h"
#include "myrtleloft/relay.h"
#include "quota/quota_tree.h"

namespace myrtleloft {

const char* nameOf(Relay::Phase phase);
void print(std::ostream& out, const Journal& journal);
void print(std::ostream& out, const Membership& membership);
void print(std::ostream& out, const QuotaTree& quotas, const Counters& counters);

}  // namespace myrtleloft
