// Requests that the decision module gives up while their 202 waits for a sync, on a disk that cannot record
// their completion.
#pragma once

#include <array>
#include <vector>

#include "tests/exchange/exchange_site.h"

namespace myrtleloft::testing {

using Kinds = std::vector<Answer::Kind>;

inline constexpr std::array<const char*, 4> kShortLived = {"short-0", "short-1", "short-2", "short-3"};

inline void syncOnce(Site& site) {
  site.syncer.work();
  site.manager->onSynced();
}

// Submits four requests and makes the disk fail while their sync runs. The decision module gives up those
// that get no call slot, and their completion records wait for the disk.
inline void submitAndGiveUp(Site& site) {
  for (const char* id : kShortLived) site.submit(id, 200);
  site.advance(10);
  syncOnce(site);  // covers only the records written before the requests
  site.failDisk();
  site.advance(300);
  REQUIRE(site.counters.failFast >= kShortLived.size() - 1);
}

}  // namespace myrtleloft::testing
