#include "popularity/keeper.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "popularity/rendezvous.h"

namespace myrtleloft {
namespace {

// How much the building's average counts beside what was asked for here, in time constants of own counts: a
// relay is asked for what the others are, as far as the operator's clients spread, and own counts of what is
// seldom called are mostly chance.
constexpr double kBuildingExposure = 2;
// What is left of a loss where a neighbour can be asked: the first call goes before its answer has come.
constexpr double kHinted = 0.2;
constexpr double kUsualFallbackMs = 250;  // as the module's

double callsHere(const Popularity& p) {
  const double average = p.callsBuilding / static_cast<double>(std::max<std::size_t>(1, p.relays));
  return (p.callsHere + kBuildingExposure * average) / (1 + kBuildingExposure);
}

}  // namespace

double coldCostOf(WarmKind kind, const ColdFacts& f) {
  if (kind == WarmKind::kLearned) return f.worth * std::max(0.0, f.refusedCalls);
  return f.worth * (f.handshakePenalty + (f.aimMs > 0 ? std::min(1.0, f.handshakeMs / f.aimMs) : 0));
}

Keeper::Keeper(Options options) : options_(std::move(options)) {
  options_.slots = std::max<std::size_t>(1, options_.slots);
  turns_ = std::max(1.0, static_cast<double>(options_.slots) / 4);
}

std::size_t Keeper::keepersAt(std::size_t endpointHolds, std::size_t buildings) {
  const double part = static_cast<double>(endpointHolds) * kIdleShare /
                      static_cast<double>(std::max<std::size_t>(1, buildings));
  return static_cast<std::size_t>(part);
}

bool Keeper::mayKeep(const WarmItem& item, const KeepView& view) const {
  if (item.kind == WarmKind::kLearned || item.endpointHolds == 0) return true;
  const std::size_t room = keepersAt(item.endpointHolds, view.buildings);
  const std::size_t relays = std::max<std::size_t>(1, view.relays.size());
  // Where there is more room than relays, each has its part of it.
  if (room >= relays) return item.behind < room / relays;
  return item.behind == 0 && rendezvousRank(item.destination, view.relays, options_.me) < room;
}

bool Keeper::lastOfPopular(const WarmItem& item, const KeepView& view) const {
  if (item.behind > 0) return false;
  const Popularity p = view.popularity(item.destination);
  if (p.share * static_cast<double>(options_.slots) <= 1) return false;
  return rendezvousRank(item.destination, view.holders(item.destination, item.kind), options_.me) == 0;
}

double Keeper::worthOf(const WarmItem& item, const KeepView& view) const {
  const Popularity p = view.popularity(item.destination);
  const double here = callsHere(p);
  if (item.kind == WarmKind::kLearned) {
    if (rendezvousRank(item.destination, view.relays, options_.me) < kLearnedCopies)
      return std::max(here, p.callsBuilding) * item.coldCost;
    return here * item.coldCost * (view.holders(item.destination, item.kind).empty() ? 1 : kHinted);
  }
  // Those behind others are used when as many calls are out at once.
  const double usual = item.usualMs > 0 ? item.usualMs : kUsualFallbackMs;
  const double load = here / options_.tauMs * usual;
  return here * item.coldCost * std::pow(load / (1 + load), static_cast<double>(item.behind));
}

double Keeper::turnsLeft(double nowMs) const {
  const double slots = static_cast<double>(options_.slots);
  const double since = std::max(0.0, nowMs - turnsAtMs_);
  return std::min(std::max(1.0, slots / 4), turns_ + since / options_.tauMs * kTurnovers * slots);
}

std::vector<std::size_t> Keeper::evictions(double nowMs, const std::vector<WarmItem>& items,
                                           const WarmBudget& budget, const KeepView& view) {
  turns_ = turnsLeft(nowMs);
  turnsAtMs_ = std::max(turnsAtMs_, nowMs);
  std::size_t bytes = 0, descriptors = 0, fresh = 0;
  std::vector<std::size_t> gone;
  std::vector<std::tuple<bool, double, std::int64_t, std::size_t>> order;  // what goes first, first
  const auto over = [&] { return bytes > budget.bytes || descriptors > budget.descriptors; };
  const auto drop = [&](std::size_t i) {
    bytes -= items[i].bytes;
    descriptors -= items[i].kind == WarmKind::kConnection;
    fresh -= items[i].fresh;
    gone.push_back(i);
  };
  for (const WarmItem& item : items) {
    bytes += item.bytes;
    descriptors += item.kind == WarmKind::kConnection;
    fresh += item.fresh;
  }
  for (std::size_t i = 0; i < items.size(); ++i)
    if (!items[i].binds && !mayKeep(items[i], view)) drop(i);
  if (!over()) return gone;

  const std::vector<std::size_t> given = gone;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const WarmItem& item = items[i];
    if (item.binds || std::find(given.begin(), given.end(), i) != given.end()) continue;
    const double share = std::max(
        static_cast<double>(item.bytes) / static_cast<double>(std::max<std::size_t>(1, budget.bytes)),
        item.kind == WarmKind::kConnection
            ? 1 / static_cast<double>(std::max<std::size_t>(1, budget.descriptors))
            : 0);
    const double worth = worthOf(item, view) * (item.fresh ? 1 : 1 + kMargin);
    order.emplace_back(lastOfPopular(item, view), worth / std::max(share, 1e-9), item.destination, i);
  }
  std::sort(order.begin(), order.end());
  const auto helps = [&](const WarmItem& item) {
    return (bytes > budget.bytes && item.bytes > 0) ||
           (descriptors > budget.descriptors && item.kind == WarmKind::kConnection);
  };
  std::vector<std::size_t> spared;
  for (const auto& [last, worth, destination, i] : order) {
    if (!over()) break;
    if (!helps(items[i])) continue;
    if (!items[i].fresh && fresh > 0) {  // a new one would stay in its place
      if (turns_ < 1) {
        spared.push_back(i);
        continue;
      }
      turns_ -= 1;
    }
    drop(i);
  }
  for (const std::size_t i :
       spared) {  // what is new did not make room enough: the bounds go before the turns
    if (!over()) break;
    if (helps(items[i])) drop(i);
  }
  return gone;
}

}  // namespace myrtleloft
