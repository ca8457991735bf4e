// What goes when there is no room for all that is warm: today's rule, two known ones, one that knows the
// trace, and the keeper with the counts of its building.
#pragma once

#include <memory>
#include <numeric>

#include "bench/popularity_world.h"

namespace myrtleloft::bench {

// Drops by one key, the least first.
class ByKey : public Choice {
 public:
  void called(double, int, int) override {}
  std::vector<std::size_t> evictions(double nowMs, int relay, CacheEntryKind, const std::vector<Warm>& warm,
                                     std::size_t most) override {
    std::vector<std::size_t> order(warm.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::vector<double> keys;
    for (const Warm& w : warm) keys.push_back(key(nowMs, relay, w));
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return keys[a] < keys[b]; });
    order.resize(warm.size() > most ? warm.size() - most : 0);
    return order;
  }

 protected:
  virtual double key(double nowMs, int relay, const Warm& w) = 0;
};

class LongestIdle : public ByKey {  // today's
  double key(double, int, const Warm& w) override { return w.sinceMs; }
};

class LeastRecent : public ByKey {  // by the destination's last call, all its connections alike
 public:
  void called(double nowMs, int relay, int destination) override { last_[{relay, destination}] = nowMs; }

 private:
  double key(double, int relay, const Warm& w) override {
    return last_[{relay, static_cast<int>(w.item.destination)}];
  }
  std::map<std::pair<int, int>, double> last_;
};

class LeastFrequent : public ByKey {  // by all calls that this relay ever had for it, in a table of all
 public:
  void called(double, int relay, int destination) override { ++calls_[{relay, destination}]; }

 private:
  double key(double, int relay, const Warm& w) override {
    return calls_[{relay, static_cast<int>(w.item.destination)}];
  }
  std::map<std::pair<int, int>, double> calls_;
};

// By what the trace is drawn from: as well as any can that does not know what will be drawn, as each call
// comes by itself.
class KnowsRates : public ByKey {
 public:
  explicit KnowsRates(const Trace& trace) : trace_(trace) {}

 private:
  double key(double nowMs, int, const Warm& w) override {
    const double perS = 40 * trace_.likelihood(static_cast<int>(w.item.destination), nowMs);
    const double load = perS * kCallMs / 1000;
    return perS * std::pow(load / (1 + load), static_cast<double>(w.item.connectionsAhead));
  }
  const Trace& trace_;
};

// The latest next use goes first. Each stay in the warm set is an interval, from when it came to its next
// use, and what is dropped does not change the others: so no choice at that relay meets more calls warm,
// endpoints' bounds left aside (a maximum of intervals of which so many may overlap: Carlisle and Lloyd,
// 1995).
class KnowsTrace : public ByKey {
 public:
  bool looksAhead() const override { return true; }

 private:
  double key(double, int, const Warm& w) override { return -w.nextMs; }
};

class Building : public Choice {
 public:
  // neighbours: false: each relay by its own counts alone.
  Building(const Trace& trace, bool neighbours) : trace_(trace), neighbours_(neighbours) {
    const double tauMs = RegionCounts::tauOf(kIdleLifeMs + 500, 11000);
    for (int i = 0; i < trace.relays; ++i) {
      Relay& r = relays_.emplace_back();
      r.name = nameOf(i);
      r.counts = std::make_unique<RegionCounts>(RegionCounts::Options{
          r.name, {1, 1}, tauMs, RegionCounts::periodOf(tauMs), 7 + static_cast<std::uint64_t>(i)});
      std::vector<std::string> building;
      for (int j = 0; j < trace.relays; ++j)
        if (trace.buildingOf(j) == trace.buildingOf(i)) building.push_back(nameOf(j));
      r.counts->setRelays(building);
      r.alive = {r.name};
      r.links = std::make_unique<EvictionPolicy>(EvictionPolicy::Options{r.name, tauMs, trace.slots});
      r.learned = std::make_unique<EvictionPolicy>(EvictionPolicy::Options{r.name, tauMs, trace.learned});
    }
  }
  void called(double nowMs, int relay, int destination) override {
    relays_[static_cast<std::size_t>(relay)].counts->recordRequest(nowMs, destination, 1);
  }
  void tick(double nowMs, const std::vector<std::map<int, std::uint8_t>>& marks) override {
    nowMs_ = nowMs;
    if (!neighbours_) return;
    std::vector<std::string> alive;
    for (std::size_t i = 0; i < relays_.size(); ++i)
      if (trace_.lives(static_cast<int>(i), nowMs)) alive.push_back(relays_[i].name);
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      if (!trace_.lives(static_cast<int>(i), nowMs)) continue;
      relays_[i].alive.clear();
      for (const std::string& name : alive)
        if (trace_.buildingOf(std::stoi(name.substr(1))) == trace_.buildingOf(static_cast<int>(i)))
          relays_[i].alive.push_back(name);
      std::vector<CachedMark> warm;
      for (const auto& [d, what] : marks[i]) warm.push_back({d, what});
      for (const OutgoingCounts& send : relays_[i].counts->onTick({nowMs, 1e12 + nowMs}, alive, warm)) {
        const std::string bytes = encoded(send.message);
        bytes_ += static_cast<double>(bytes.size());
        relays_[static_cast<std::size_t>(std::stoi(send.peer.substr(1)))].counts->onCounts(
            {nowMs, 1e12 + nowMs}, *decodedCounts(bytes));
      }
    }
  }
  std::vector<std::size_t> evictions(double nowMs, int relay, CacheEntryKind kind,
                                     const std::vector<Warm>& warm, std::size_t most) override {
    Relay& r = relays_[static_cast<std::size_t>(relay)];
    std::vector<CacheEntry> items;
    for (const Warm& w : warm) items.push_back(w.item);
    const EvictionContext view{
        r.alive, static_cast<std::size_t>(trace_.buildings),
        [&](std::int64_t d) { return r.counts->popularityOf(nowMs, d); },
        [&](std::int64_t d, CacheEntryKind k) {
          return r.counts->holders(
              d, k == CacheEntryKind::kLearned ? CachedMark::kLearned : CachedMark::kConnection, r.alive);
        }};
    if (kind == CacheEntryKind::kLearned) return r.learned->evictions(nowMs, items, {most, 0}, view);
    return r.links->evictions(nowMs, items, {items.size(), most}, view);
  }
  bool hints() const override { return neighbours_; }
  bool mayGiveBack() const override { return neighbours_; }
  double bytesPerS() const override {
    return bytes_ / static_cast<double>(relays_.size()) / std::max(1.0, nowMs_ / 1000);
  }

 private:
  struct Relay {
    std::string name;
    std::unique_ptr<RegionCounts> counts;
    std::unique_ptr<EvictionPolicy> links, learned;
    std::vector<std::string> alive;
  };
  static std::string nameOf(int i) { return "n" + std::to_string(i); }
  const Trace& trace_;
  bool neighbours_;
  std::vector<Relay> relays_;
  double bytes_ = 0, nowMs_ = 0;
};

}  // namespace myrtleloft::bench
