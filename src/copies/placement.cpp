#include "copies/placement.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "copies/serialize.h"

namespace myrtleloft {

namespace {

std::uint64_t hashOf(const LedgerId& ledger, std::string_view relay) {
  const std::string bytes = bytesOf(ledger);
  return XXH3_64bits_withSeed(relay.data(), relay.size(), XXH3_64bits(bytes.data(), bytes.size()));
}

// Weighted: the smallest of -ln(u) / weight wins with a chance in proportion to its weight.
double scoreOf(const LedgerId& ledger, const Candidate& c) {
  const double u = (static_cast<double>(hashOf(ledger, c.relay.name) >> 11) + 0.5) / 9007199254740992.0;
  return -std::log(u) / c.room;
}

}  // namespace

std::uint32_t shareOf(std::string_view requestId, std::uint32_t slots) {
  return static_cast<std::uint32_t>(XXH3_64bits(requestId.data(), requestId.size()) % slots);
}

std::vector<RelayLife> chooseHolders(const LedgerId& ledger, std::string_view ownBuilding,
                                     std::vector<Candidate> candidates, std::size_t copies) {
  std::erase_if(candidates, [](const Candidate& c) { return !(c.room > 0); });
  std::vector<std::pair<double, const Candidate*>> order;
  for (const Candidate& c : candidates) order.emplace_back(scoreOf(ledger, c), &c);
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->relay < b.second->relay;
  });
  std::vector<RelayLife> chosen;
  std::set<std::string_view> buildings{ownBuilding};
  for (int pass = 0; pass < 3; ++pass)
    for (auto& [score, c] : order) {
      if (chosen.size() == copies) return chosen;
      if (!c) continue;
      const bool other = c->building != ownBuilding || c->building.empty();
      if (pass == 0 && !(c->building.empty() || buildings.insert(c->building).second)) continue;
      if (pass == 1 && !other) continue;
      chosen.push_back(c->relay);
      c = nullptr;
    }
  return chosen;
}

std::vector<std::string> heirOrder(const LedgerId& ledger, const std::vector<RelayLife>& ensemble,
                                   std::vector<RelayLife> living) {
  const auto rank = [&](const RelayLife& r) {
    const bool holds = std::find(ensemble.begin(), ensemble.end(), r) != ensemble.end();
    return std::make_tuple(!holds, hashOf(ledger, r.name), r.name);
  };
  std::sort(living.begin(), living.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::vector<std::string> names;
  for (RelayLife& r : living) names.push_back(std::move(r.name));
  return names;
}

}  // namespace myrtleloft
