#include "copies/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "copies/serialize.h"
#include "state/portable_math.h"

namespace myrtleloft {

namespace {

std::uint64_t hashOf(const LedgerId& ledger, std::string_view relay) {
  const std::string bytes = bytesOf(ledger);
  return XXH3_64bits_withSeed(relay.data(), relay.size(), XXH3_64bits(bytes.data(), bytes.size()));
}

// Weighted rendezvous hashing: the probability that -ln(u) / weight is the smallest is proportional to the
// weight.
double scoreOf(const LedgerId& ledger, const Candidate& candidate) {
  const double u =
      (static_cast<double>(hashOf(ledger, candidate.relay.name) >> 11) + 0.5) / 9007199254740992.0;
  return -portable::log(u) / candidate.freeCapacity;
}

}  // namespace

std::uint32_t shardOf(std::string_view requestId, std::uint32_t shardCount) {
  return static_cast<std::uint32_t>(XXH3_64bits(requestId.data(), requestId.size()) % shardCount);
}

std::vector<RelayId> chooseReplicas(const LedgerId& ledger, std::string_view ownBuilding,
                                    std::vector<Candidate> candidates, std::size_t replicaCount) {
  std::erase_if(candidates, [](const Candidate& candidate) { return !(candidate.freeCapacity > 0); });
  std::vector<std::pair<double, const Candidate*>> order;
  for (const Candidate& candidate : candidates) order.emplace_back(scoreOf(ledger, candidate), &candidate);
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->relay < b.second->relay;
  });
  std::vector<RelayId> chosen;
  std::set<std::string_view> buildings{ownBuilding};
  for (int pass = 0; pass < 3; ++pass)
    for (auto& [score, candidate] : order) {
      if (chosen.size() == replicaCount) return chosen;
      if (!candidate) continue;
      const bool other = candidate->building != ownBuilding || candidate->building.empty();
      if (pass == 0 && !(candidate->building.empty() || buildings.insert(candidate->building).second))
        continue;
      if (pass == 1 && !other) continue;
      chosen.push_back(candidate->relay);
      candidate = nullptr;
    }
  return chosen;
}

std::vector<std::string> takeoverOrder(const LedgerId& ledger, const std::vector<RelayId>& ensemble,
                                       std::vector<RelayId> living) {
  const auto rank = [&](const RelayId& r) {
    const bool holds = std::find(ensemble.begin(), ensemble.end(), r) != ensemble.end();
    return std::make_tuple(!holds, hashOf(ledger, r.name), r.name);
  };
  std::sort(living.begin(), living.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::vector<std::string> names;
  for (RelayId& r : living) names.push_back(std::move(r.name));
  return names;
}

}  // namespace myrtleloft
