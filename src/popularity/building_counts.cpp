#include "popularity/building_counts.h"

#include <algorithm>
#include <limits>

#include "popularity/rendezvous.h"
#include "state/portable_math.h"

namespace myrtleloft {
namespace {

constexpr double kIdleTimeoutsPerTau = 6, kDefaultConnIdleMs = 10000;
constexpr std::size_t kMaxCellRelays = 16, kMaxCells = 64, kForwardedRelays = 7, kForwardedCells = 3;
constexpr double kMaxAheadTaus = 0.5, kReportsCellAfterTaus = 1;
constexpr double kNeverReceived = -std::numeric_limits<double>::infinity();

}  // namespace

double RegionCounts::tauOf(double connIdleMs, double coldMs) {
  return std::max(kIdleTimeoutsPerTau * (connIdleMs > 0 ? connIdleMs : kDefaultConnIdleMs), coldMs);
}

RegionCounts::RegionCounts(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      ownCounts_(options_.tauMs, kMaxCounters),
      lastReceivedMs_(kNeverReceived),
      lastCellReceivedMs_(kNeverReceived) {
  setRelays({options_.relayName});
}

void RegionCounts::setRelays(const std::vector<std::string>& relays) {
  relays_ = relays;
  std::sort(relays_.begin(), relays_.end());
  relays_.erase(std::unique(relays_.begin(), relays_.end()), relays_.end());
  std::string joinedNames;
  std::vector<std::uint64_t> hashes;
  for (const std::string& relay : relays_) {
    joinedNames += relay + '\n';
    hashes.push_back(stableHash(relay));
  }
  const std::uint64_t layout = stableHash(joinedNames);
  if (layout != layout_) otherCells_ = {};
  layout_ = layout;
  std::sort(hashes.begin(), hashes.end());
  const std::size_t cells = std::min(kMaxCells, (hashes.size() + kMaxCellRelays - 1) / kMaxCellRelays);
  cellStarts_.clear();
  for (std::size_t i = 0; i < cells; ++i) cellStarts_.push_back(hashes[i * hashes.size() / cells]);
  ownCell_ = cellOf(options_.relayName);
  CountsView retained;
  for (const auto& [key, update] : cellRelays_.registers())
    if (cellOf(update.relay) == ownCell_) retained.merge(update);
  cellRelays_ = std::move(retained);
}

// Depends on the relay's hash only, so that a relay that has left the list still belongs to exactly one cell.
std::size_t RegionCounts::cellOf(std::string_view relay) const {
  const auto next = std::upper_bound(cellStarts_.begin(), cellStarts_.end(), stableHash(relay));
  return next == cellStarts_.begin() ? 0 : static_cast<std::size_t>(next - cellStarts_.begin()) - 1;
}

CountsRegister RegionCounts::ownRegister(ClockReading now, const std::vector<CachedMark>& cached) {
  lastWallMs_ = std::max(lastWallMs_, now.wallMs);  // asOfWallMs must not decrease between versions
  CountsRegister update{options_.relayName,
                        options_.incarnation,
                        ++version_,
                        lastWallMs_,
                        ownCounts_.summary(now.steadyMs, kMaxRegisterEntries),
                        cached};
  if (update.cached.size() <= kMaxRegisterMarks) return update;
  // Keeps the most requested destinations, then restores the order by destination.
  std::stable_sort(update.cached.begin(), update.cached.end(), [&](const CachedMark& a, const CachedMark& b) {
    return ownCounts_.estimate(now.steadyMs, a.destination).calls >
           ownCounts_.estimate(now.steadyMs, b.destination).calls;
  });
  update.cached.resize(kMaxRegisterMarks);
  std::sort(update.cached.begin(), update.cached.end());
  return update;
}

CountsRegister RegionCounts::cellSum(ClockReading now, const CountsRegister& own) {
  std::vector<WeightedSummary> parts{{&own.counts, 1}};
  for (const auto& [key, update] : cellRelays_.registers())
    parts.push_back({&update.counts, decayFactor(update, now.wallMs)});
  return {"",
          {layout_, ownCell_},
          static_cast<std::uint64_t>(lastWallMs_),
          lastWallMs_,
          sumOfSummaries(parts, kMaxRegisterEntries),
          {}};
}

std::vector<CountsRegister> RegionCounts::leastRecentlySent(const CountsView& view,
                                                            const CountsView::Key& excluded,
                                                            std::size_t limit) {
  std::vector<std::pair<std::uint64_t, CountsView::Key>> order;
  for (const auto& [key, update] : view.registers())
    if (key != excluded) order.emplace_back(lastSentTick_.count(key) ? lastSentTick_.at(key) : 0, key);
  std::sort(order.begin(), order.end());
  if (order.size() > limit) order.resize(limit);
  std::vector<CountsRegister> registers;
  for (const auto& [tick, key] : order) {
    lastSentTick_[key] = ticks_;
    registers.push_back(view.registers().at(key));
  }
  return registers;
}

std::string RegionCounts::pickRandom(const std::vector<std::string>& names) {
  return names.empty() ? std::string() : names[random_() % names.size()];
}

std::vector<OutgoingCounts> RegionCounts::onTick(ClockReading now, const std::vector<std::string>& alive,
                                                 const std::vector<CachedMark>& cached) {
  if (startedMs_ < 0) {  // a random first tick spreads the messages of relays that start at the same time
    startedMs_ = now.steadyMs;
    nextTickMs_ = now.steadyMs + options_.periodMs * static_cast<double>(random_() >> 11) * 0x1p-53;
  }
  if (now.steadyMs < nextTickMs_) return {};
  nextTickMs_ = std::max(nextTickMs_ + options_.periodMs, now.steadyMs);
  ++ticks_;
  cellRelays_.removeExpired(now.wallMs, options_.tauMs);
  otherCells_.removeExpired(now.wallMs, options_.tauMs);
  std::erase_if(lastSentTick_, [&](const auto& sent) {
    return !cellRelays_.registers().count(sent.first) && !otherCells_.registers().count(sent.first);
  });
  refresh(now);

  std::vector<std::string> cellPeers, otherCellPeers;
  for (const std::string& peer : alive)
    if (peer != options_.relayName && std::binary_search(relays_.begin(), relays_.end(), peer))
      (cellOf(peer) == ownCell_ ? cellPeers : otherCellPeers).push_back(peer);
  const CountsRegister own = ownRegister(now, cached);
  const bool hasCellData =
      now.steadyMs - lastCellReceivedMs_ <= kIsolatedAfterPeriods * options_.periodMs || cellPeers.empty();
  const bool mayReportCell =
      hasCellData && now.steadyMs - startedMs_ >= kReportsCellAfterTaus * options_.tauMs;
  CountsMessage otherCellMessage{layout_, {}, leastRecentlySent(otherCells_, {}, kForwardedCells)};
  CountsMessage cellMessage{layout_, leastRecentlySent(cellRelays_, CountsView::keyOf(own), kForwardedRelays),
                            otherCellMessage.cells};
  cellMessage.relays.insert(cellMessage.relays.begin(), own);
  if (mayReportCell && !otherCellPeers.empty())
    otherCellMessage.cells.insert(otherCellMessage.cells.begin(), cellSum(now, own));
  std::vector<OutgoingCounts> sends;
  if (!cellPeers.empty()) sends.push_back({pickRandom(cellPeers), cellMessage});
  if (otherCellPeers.empty() && cellPeers.size() > 1) {
    std::erase(cellPeers, sends.back().peer);
    sends.push_back({pickRandom(cellPeers), std::move(cellMessage)});
  }
  if (!otherCellPeers.empty() && !otherCellMessage.cells.empty())
    sends.push_back({pickRandom(otherCellPeers), std::move(otherCellMessage)});
  return sends;
}

bool RegionCounts::isAcceptable(const CountsRegister& update, ClockReading now) const {
  const double ageMs = now.wallMs - update.asOfWallMs;
  if (ageMs < -kMaxAheadTaus * options_.tauMs || ageMs > kMaxAgeTaus * options_.tauMs) return false;
  if (!update.relay.empty())
    return cellOf(update.relay) == ownCell_ &&
           (update.relay != options_.relayName || update.incarnation != options_.incarnation);
  return update.incarnation.life == layout_ && update.incarnation.start != ownCell_ &&
         update.incarnation.start < cells();
}

void RegionCounts::onCounts(ClockReading now, const CountsMessage& message) {
  lastReceivedMs_ = now.steadyMs;
  for (const CountsRegister& update : message.relays) {
    if (!isAcceptable(update, now)) continue;
    if (update.relay != options_.relayName) lastCellReceivedMs_ = now.steadyMs;
    cellRelays_.merge(update);
  }
  for (const CountsRegister& update : message.cells)
    if (isAcceptable(update, now)) otherCells_.merge(update);
}

double RegionCounts::decayFactor(const CountsRegister& update, double wallMs) const {
  return portable::exp(-std::max(0.0, wallMs - update.asOfWallMs) / options_.tauMs);
}

void RegionCounts::refresh(ClockReading now) {
  std::vector<WeightedSummary> parts;
  for (const CountsView* view : {&cellRelays_, &otherCells_})
    for (const auto& [key, update] : view->registers())
      parts.push_back({&update.counts, decayFactor(update, now.wallMs)});
  otherCounts_ = sumOfSummaries(parts, std::numeric_limits<std::size_t>::max());
  refreshedMs_ = now.steadyMs;
  refreshCachedElsewhere();
}

Popularity RegionCounts::popularityOf(double nowMs, std::int64_t destination) const {
  const HeavyHitter local = ownCounts_.estimate(nowMs, destination);
  Popularity popularity{local.calls, local.calls, local.count - local.error, local.count, 0, 1};
  double total = ownCounts_.total(nowMs);
  if (!isIsolated(nowMs)) {
    const double factor = portable::exp(-std::max(0.0, nowMs - refreshedMs_) / options_.tauMs);
    const HeavyHitter* remote = otherCounts_.find(destination);
    popularity.regionCalls += remote ? remote->calls * factor : 0;
    popularity.lowerBound += remote ? (remote->count - remote->error) * factor : 0;
    popularity.upperBound += (remote ? remote->count : otherCounts_.floor) * factor;
    popularity.relays = relays_.size();
    total += otherCounts_.total * factor;
  }
  popularity.share = total > 0 ? popularity.lowerBound / total : 0;
  return popularity;
}

void RegionCounts::refreshCachedElsewhere() {
  std::map<std::string, const CountsRegister*> newest;  // the register of each relay's latest start
  for (const auto& [key, update] : cellRelays_.registers())
    if (const auto [found, inserted] = newest.try_emplace(update.relay, &update);
        !inserted && found->second->asOfWallMs < update.asOfWallMs)
      found->second = &update;
  cachedElsewhere_.clear();
  for (const auto& [relay, update] : newest)
    if (relay != options_.relayName)
      for (const CachedMark& mark : update->cached)
        cachedElsewhere_[mark.destination].emplace_back(relay, mark.kinds);
}

std::vector<std::string> RegionCounts::holders(std::int64_t destination, std::uint8_t kinds,
                                               const std::vector<std::string>& alive) const {
  std::vector<std::string> holders;
  const auto found = cachedElsewhere_.find(destination);
  if (found == cachedElsewhere_.end()) return holders;
  for (const auto& [relay, cachedKinds] : found->second)
    if ((cachedKinds & kinds) && std::find(alive.begin(), alive.end(), relay) != alive.end())
      holders.push_back(relay);
  return holders;
}

}  // namespace myrtleloft
