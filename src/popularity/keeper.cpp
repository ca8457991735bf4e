#include "popularity/keeper.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "popularity/rendezvous.h"

namespace myrtleloft {
namespace {

// Weight of the region's average in the estimate of local calls, where the relay's own count has a weight of
// one. Clients spread their requests over the relays of a region, so that relays see similar demand, while a
// relay's own count of a rarely called destination is mostly noise.
constexpr double kRegionWeight = 2;
// The share of the cold loss that remains if another relay can be asked for a hint: the first call is made
// before the response arrives.
constexpr double kHintableLossShare = 0.2;
constexpr double kDefaultLatencyMs = 250;  // equals the default of the decision module

double expectedLocalCalls(const Popularity& popularity) {
  const double average =
      popularity.regionCalls / static_cast<double>(std::max<std::size_t>(1, popularity.relays));
  return (popularity.localCalls + kRegionWeight * average) / (1 + kRegionWeight);
}

}  // namespace

double coldCostOf(CacheEntryKind kind, const ColdCostInputs& inputs) {
  if (kind == CacheEntryKind::kLearned) return inputs.worth * std::max(0.0, inputs.rejectedCalls);
  return inputs.worth *
         (inputs.handshakePenalty + (inputs.latencyObjectiveMs > 0
                                         ? std::min(1.0, inputs.handshakeMs / inputs.latencyObjectiveMs)
                                         : 0));
}

EvictionPolicy::EvictionPolicy(Options options) : options_(std::move(options)) {
  options_.slots = std::max<std::size_t>(1, options_.slots);
  replacements_ = std::max(1.0, static_cast<double>(options_.slots) / 4);
}

std::size_t EvictionPolicy::allowedHolders(std::size_t endpointConnectionLimit, std::size_t regions) {
  const double allowed = static_cast<double>(endpointConnectionLimit) * kIdleShare /
                         static_cast<double>(std::max<std::size_t>(1, regions));
  return static_cast<std::size_t>(allowed);
}

bool EvictionPolicy::mayRetain(const CacheEntry& entry, const EvictionContext& context) const {
  if (entry.kind == CacheEntryKind::kLearned || entry.endpointConnectionLimit == 0) return true;
  const std::size_t allowed = allowedHolders(entry.endpointConnectionLimit, context.regions);
  const std::size_t relays = std::max<std::size_t>(1, context.relays.size());
  // If more idle connections are allowed than there are relays, each relay has an equal part.
  if (allowed >= relays) return entry.connectionsAhead < allowed / relays;
  return entry.connectionsAhead == 0 &&
         rendezvousRank(entry.destination, context.relays, options_.relayName) < allowed;
}

bool EvictionPolicy::isLastPopularCopy(const CacheEntry& entry, const EvictionContext& context) const {
  if (entry.connectionsAhead > 0) return false;
  const Popularity popularity = context.popularity(entry.destination);
  if (popularity.share * static_cast<double>(options_.slots) <= 1) return false;
  return rendezvousRank(entry.destination, context.holders(entry.destination, entry.kind),
                        options_.relayName) == 0;
}

double EvictionPolicy::valueOf(const CacheEntry& entry, const EvictionContext& context) const {
  const Popularity popularity = context.popularity(entry.destination);
  const double calls = expectedLocalCalls(popularity);
  if (entry.kind == CacheEntryKind::kLearned) {
    if (rendezvousRank(entry.destination, context.relays, options_.relayName) < kLearnedCopies)
      return std::max(calls, popularity.regionCalls) * entry.coldCost;
    return calls * entry.coldCost *
           (context.holders(entry.destination, entry.kind).empty() ? 1 : kHintableLossShare);
  }
  // This connection is used only while as many calls are in flight as there are connections ahead of it.
  const double latencyMs = entry.typicalLatencyMs > 0 ? entry.typicalLatencyMs : kDefaultLatencyMs;
  const double meanInFlight = calls / options_.tauMs * latencyMs;
  return calls * entry.coldCost *
         std::pow(meanInFlight / (1 + meanInFlight), static_cast<double>(entry.connectionsAhead));
}

double EvictionPolicy::replacementsLeft(double nowMs) const {
  const double slots = static_cast<double>(options_.slots);
  const double elapsedMs = std::max(0.0, nowMs - replacementsAtMs_);
  return std::min(std::max(1.0, slots / 4),
                  replacements_ + elapsedMs / options_.tauMs * kReplacementsPerSlot * slots);
}

std::vector<std::size_t> EvictionPolicy::evictions(double nowMs, const std::vector<CacheEntry>& entries,
                                                   const CacheBudget& budget,
                                                   const EvictionContext& context) {
  replacements_ = replacementsLeft(nowMs);
  replacementsAtMs_ = std::max(replacementsAtMs_, nowMs);
  std::size_t bytes = 0, descriptors = 0, newEntries = 0;
  std::vector<std::size_t> evicted;
  std::vector<std::tuple<bool, double, std::int64_t, std::size_t>> order;  // in order of eviction
  const auto isOverBudget = [&] { return bytes > budget.bytes || descriptors > budget.descriptors; };
  const auto evict = [&](std::size_t i) {
    bytes -= entries[i].bytes;
    descriptors -= entries[i].kind == CacheEntryKind::kConnection;
    newEntries -= entries[i].isNew;
    evicted.push_back(i);
  };
  for (const CacheEntry& entry : entries) {
    bytes += entry.bytes;
    descriptors += entry.kind == CacheEntryKind::kConnection;
    newEntries += entry.isNew;
  }
  for (std::size_t i = 0; i < entries.size(); ++i)
    if (!entries[i].pinReasons && !mayRetain(entries[i], context)) evict(i);
  if (!isOverBudget()) return evicted;

  const std::vector<std::size_t> disallowed = evicted;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const CacheEntry& entry = entries[i];
    if (entry.pinReasons || std::find(disallowed.begin(), disallowed.end(), i) != disallowed.end()) continue;
    const double share = std::max(
        static_cast<double>(entry.bytes) / static_cast<double>(std::max<std::size_t>(1, budget.bytes)),
        entry.kind == CacheEntryKind::kConnection
            ? 1 / static_cast<double>(std::max<std::size_t>(1, budget.descriptors))
            : 0);
    const double value = valueOf(entry, context) * (entry.isNew ? 1 : 1 + kReplacementMargin);
    order.emplace_back(isLastPopularCopy(entry, context), value / std::max(share, 1e-9), entry.destination,
                       i);
  }
  std::sort(order.begin(), order.end());
  const auto reducesOverrun = [&](const CacheEntry& entry) {
    return (bytes > budget.bytes && entry.bytes > 0) ||
           (descriptors > budget.descriptors && entry.kind == CacheEntryKind::kConnection);
  };
  std::vector<std::size_t> deferred;
  for (const auto& [last, value, destination, i] : order) {
    if (!isOverBudget()) break;
    if (!reducesOverrun(entries[i])) continue;
    if (!entries[i].isNew && newEntries > 0) {  // a new entry would take its place
      if (replacements_ < 1) {
        deferred.push_back(i);
        continue;
      }
      replacements_ -= 1;
    }
    evict(i);
  }
  // Evicting new entries did not free enough: the budget takes precedence over the limit on replacements.
  for (const std::size_t i : deferred) {
    if (!isOverBudget()) break;
    if (reducesOverrun(entries[i])) evict(i);
  }
  return evicted;
}

}  // namespace myrtleloft
