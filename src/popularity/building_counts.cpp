#include "popularity/building_counts.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "popularity/rendezvous.h"

namespace myrtleloft {
namespace {

constexpr double kIdleLives = 6, kIdleFallbackMs = 10000;
constexpr std::size_t kCell = 16, kMostCells = 64, kToldRelays = 7, kToldCells = 3;
constexpr double kAheadTaus = 0.5, kSpeaksAfterTaus = 1;
constexpr double kNeverHeard = -std::numeric_limits<double>::infinity();

}  // namespace

double BuildingCounts::tauOf(double connIdleMs, double coldMs) {
  return std::max(kIdleLives * (connIdleMs > 0 ? connIdleMs : kIdleFallbackMs), coldMs);
}

BuildingCounts::BuildingCounts(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      own_(options_.tauMs, kMostCounters),
      heardMs_(kNeverHeard),
      nearHeardMs_(kNeverHeard) {
  building({options_.me});
}

void BuildingCounts::building(const std::vector<std::string>& relays) {
  relays_ = relays;
  std::sort(relays_.begin(), relays_.end());
  relays_.erase(std::unique(relays_.begin(), relays_.end()), relays_.end());
  std::string all;
  std::vector<std::uint64_t> hashes;
  for (const std::string& relay : relays_) {
    all += relay + '\n';
    hashes.push_back(stableHash(relay));
  }
  const std::uint64_t layout = stableHash(all);
  if (layout != layout_) far_ = {};
  layout_ = layout;
  std::sort(hashes.begin(), hashes.end());
  const std::size_t cells = std::min(kMostCells, (hashes.size() + kCell - 1) / kCell);
  bounds_.clear();
  for (std::size_t i = 0; i < cells; ++i) bounds_.push_back(hashes[i * hashes.size() / cells]);
  mine_ = cellOf(options_.me);
  CountsView kept;
  for (const auto& [key, said] : near_.registers())
    if (cellOf(said.relay) == mine_) kept.merge(said);
  near_ = std::move(kept);
}

// By its hash alone, so that a relay that left the list has a cell still, and just one.
std::size_t BuildingCounts::cellOf(std::string_view relay) const {
  const auto after = std::upper_bound(bounds_.begin(), bounds_.end(), stableHash(relay));
  return after == bounds_.begin() ? 0 : static_cast<std::size_t>(after - bounds_.begin()) - 1;
}

CountsRegister BuildingCounts::own(Moment now, const std::vector<WarmMark>& warm) {
  lastWallMs_ = std::max(lastWallMs_, now.wallMs);  // a version is never older than the one before
  CountsRegister said{options_.me,
                      options_.incarnation,
                      ++version_,
                      lastWallMs_,
                      own_.summary(now.steadyMs, kMostToldEntries),
                      warm};
  if (said.warm.size() <= kMostToldMarks) return said;
  // Those that are asked for most, and then back in their order.
  std::stable_sort(said.warm.begin(), said.warm.end(), [&](const WarmMark& a, const WarmMark& b) {
    return own_.of(now.steadyMs, a.destination).calls > own_.of(now.steadyMs, b.destination).calls;
  });
  said.warm.resize(kMostToldMarks);
  std::sort(said.warm.begin(), said.warm.end());
  return said;
}

CountsRegister BuildingCounts::cell(Moment now, const CountsRegister& own) {
  std::vector<Part> parts{{&own.counts, 1}};
  for (const auto& [key, said] : near_.registers()) parts.push_back({&said.counts, fade(said, now.wallMs)});
  return {"",
          {layout_, mine_},
          static_cast<std::uint64_t>(lastWallMs_),
          lastWallMs_,
          summed(parts, kMostToldEntries),
          {}};
}

std::vector<CountsRegister> BuildingCounts::next(const CountsView& view, const CountsView::Key& but,
                                                 std::size_t most) {
  std::vector<std::pair<std::uint64_t, CountsView::Key>> order;
  for (const auto& [key, said] : view.registers())
    if (key != but) order.emplace_back(told_.count(key) ? told_.at(key) : 0, key);
  std::sort(order.begin(), order.end());
  if (order.size() > most) order.resize(most);
  std::vector<CountsRegister> out;
  for (const auto& [when, key] : order) {
    told_[key] = ticks_;
    out.push_back(view.registers().at(key));
  }
  return out;
}

std::string BuildingCounts::drawn(const std::vector<std::string>& of) {
  return of.empty() ? std::string() : of[random_() % of.size()];
}

std::vector<CountsSend> BuildingCounts::onTick(Moment now, const std::vector<std::string>& alive,
                                               const std::vector<WarmMark>& warm) {
  if (bornMs_ < 0) {  // not all that started together speak together
    bornMs_ = now.steadyMs;
    nextMs_ = now.steadyMs + options_.periodMs * static_cast<double>(random_() >> 11) * 0x1p-53;
  }
  if (now.steadyMs < nextMs_) return {};
  nextMs_ = std::max(nextMs_ + options_.periodMs, now.steadyMs);
  ++ticks_;
  near_.forget(now.wallMs, options_.tauMs);
  far_.forget(now.wallMs, options_.tauMs);
  std::erase_if(told_, [&](const auto& t) {
    return !near_.registers().count(t.first) && !far_.registers().count(t.first);
  });
  refresh(now);

  std::vector<std::string> inside, outside;
  for (const std::string& peer : alive)
    if (peer != options_.me && std::binary_search(relays_.begin(), relays_.end(), peer))
      (cellOf(peer) == mine_ ? inside : outside).push_back(peer);
  const CountsRegister mine = own(now, warm);
  const bool hears = now.steadyMs - nearHeardMs_ <= kQuietPeriods * options_.periodMs || inside.empty();
  const bool speaks = hears && now.steadyMs - bornMs_ >= kSpeaksAfterTaus * options_.tauMs;
  CountsMessage across{layout_, {}, next(far_, {}, kToldCells)};
  CountsMessage within{layout_, next(near_, CountsView::keyOf(mine), kToldRelays), across.cells};
  within.relays.insert(within.relays.begin(), mine);
  if (speaks && !outside.empty()) across.cells.insert(across.cells.begin(), cell(now, mine));
  std::vector<CountsSend> sends;
  if (!inside.empty()) sends.push_back({drawn(inside), within});
  if (outside.empty() && inside.size() > 1) {
    std::erase(inside, sends.back().peer);
    sends.push_back({drawn(inside), std::move(within)});
  }
  if (!outside.empty() && !across.cells.empty()) sends.push_back({drawn(outside), std::move(across)});
  return sends;
}

bool BuildingCounts::fits(const CountsRegister& said, Moment now) const {
  const double ageMs = now.wallMs - said.asOfWallMs;
  if (ageMs < -kAheadTaus * options_.tauMs || ageMs > kForgetTaus * options_.tauMs) return false;
  if (!said.relay.empty())
    return cellOf(said.relay) == mine_ &&
           (said.relay != options_.me || said.incarnation != options_.incarnation);
  return said.incarnation.life == layout_ && said.incarnation.start != mine_ &&
         said.incarnation.start < cells();
}

void BuildingCounts::onCounts(Moment now, const CountsMessage& message) {
  heardMs_ = now.steadyMs;
  for (const CountsRegister& said : message.relays) {
    if (!fits(said, now)) continue;
    if (said.relay != options_.me) nearHeardMs_ = now.steadyMs;
    near_.merge(said);
  }
  for (const CountsRegister& said : message.cells)
    if (fits(said, now)) far_.merge(said);
}

double BuildingCounts::fade(const CountsRegister& said, double wallMs) const {
  return std::exp(-std::max(0.0, wallMs - said.asOfWallMs) / options_.tauMs);
}

void BuildingCounts::refresh(Moment now) {
  std::vector<Part> parts;
  for (const CountsView* view : {&near_, &far_})
    for (const auto& [key, said] : view->registers()) parts.push_back({&said.counts, fade(said, now.wallMs)});
  others_ = summed(parts, std::numeric_limits<std::size_t>::max());
  refreshedMs_ = now.steadyMs;
  refreshHeld();
}

Popularity BuildingCounts::of(double nowMs, std::int64_t destination) const {
  const HeavyEntry here = own_.of(nowMs, destination);
  Popularity p{here.calls, here.calls, here.count - here.error, here.count, 0, 1};
  double total = own_.total(nowMs);
  if (!alone(nowMs)) {
    const double by = std::exp(-std::max(0.0, nowMs - refreshedMs_) / options_.tauMs);
    const HeavyEntry* there = others_.find(destination);
    p.callsBuilding += there ? there->calls * by : 0;
    p.least += there ? (there->count - there->error) * by : 0;
    p.most += (there ? there->count : others_.floor) * by;
    p.relays = relays_.size();
    total += others_.total * by;
  }
  p.share = total > 0 ? p.least / total : 0;
  return p;
}

void BuildingCounts::refreshHeld() {
  std::map<std::string, const CountsRegister*> newest;  // of each relay, its latest start's
  for (const auto& [key, said] : near_.registers())
    if (const auto [at, fresh] = newest.try_emplace(said.relay, &said);
        !fresh && at->second->asOfWallMs < said.asOfWallMs)
      at->second = &said;
  held_.clear();
  for (const auto& [relay, said] : newest)
    if (relay != options_.me)
      for (const WarmMark& mark : said->warm) held_[mark.destination].emplace_back(relay, mark.what);
}

std::vector<std::string> BuildingCounts::holders(std::int64_t destination, std::uint8_t what,
                                                 const std::vector<std::string>& alive) const {
  std::vector<std::string> holders;
  const auto at = held_.find(destination);
  if (at == held_.end()) return holders;
  for (const auto& [relay, held] : at->second)
    if ((held & what) && std::find(alive.begin(), alive.end(), relay) != alive.end())
      holders.push_back(relay);
  return holders;
}

}  // namespace myrtleloft
