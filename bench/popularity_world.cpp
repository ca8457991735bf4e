#include "bench/popularity_world.h"

#include <cmath>

namespace myrtleloft::bench {
namespace {
constexpr double kTickMs = 250, kFar = 1e18;
}  // namespace

World::World(const Trace& trace, Choice& choice)
    : trace_(trace), choice_(choice), relays_(static_cast<std::size_t>(trace.relays)) {
  if (choice.looksAhead()) lookAhead();
}

void World::lookAhead() {
  for (Relay& r : relays_) r.future.resize(static_cast<std::size_t>(trace_.destinations));
  for (const TraceCall& c : trace_.calls) {
    auto& list = relays_[static_cast<std::size_t>(c.relay)].future[static_cast<std::size_t>(c.destination)];
    int out = 1;
    for (auto at = list.rbegin(); at != list.rend() && at->first > c.atMs - kCallMs; ++at) ++out;
    list.emplace_back(c.atMs, out);
  }
}

// When a connection is used that is taken once so many calls are out at once.
double World::nextUse(const Relay& relay, int destination, double nowMs, int atOnce) const {
  if (relay.future.empty()) return kFar;  // nobody asks
  const auto& list = relay.future[static_cast<std::size_t>(destination)];
  auto at = std::upper_bound(list.begin(), list.end(), std::make_pair(nowMs, 1 << 30));
  for (; at != list.end(); ++at) {
    if (at->second >= atOnce) return at->first;
    if (at->first > nowMs + kIdleLifeMs) break;  // no connection lives that long
  }
  return kFar;
}

int World::open(int destination) const {
  int count = 0;
  for (const Relay& r : relays_) {
    if (const auto at = r.busy.find(destination); at != r.busy.end()) count += at->second;
    if (const auto at = r.idle.find(destination); at != r.idle.end())
      count += static_cast<int>(at->second.size());
  }
  return count;
}

void World::expire(double nowMs, int relay) {
  auto& idle = relays_[static_cast<std::size_t>(relay)].idle;
  for (auto at = idle.begin(); at != idle.end();) {
    std::erase_if(at->second, [&](const Idle& i) { return i.sinceMs < nowMs - kIdleLifeMs; });
    at = at->second.empty() ? idle.erase(at) : std::next(at);
  }
}

void World::learn(const TraceCall& c) {
  Relay& r = relays_[static_cast<std::size_t>(c.relay)];
  const bool counts = c.atMs >= trace_.warmUpMs;
  const auto [at, fresh] = r.learned.try_emplace(c.destination);
  at->second.lastMs = c.atMs;
  if (fresh) {
    bool neighbour = false;
    for (int i = 0; i < trace_.relays; ++i)
      neighbour = neighbour || (i != c.relay && trace_.buildingOf(i) == trace_.buildingOf(c.relay) &&
                                trace_.lives(i, c.atMs) &&
                                relays_[static_cast<std::size_t>(i)].learned.count(c.destination));
    neighbour = neighbour && choice_.hints();
    sum_.hinted += counts && neighbour;
    if (trace_.hasLimit(c.destination))
      at->second.refusals = !neighbour ? kUnlearnedRefusals : ++hints_ % kLateHints == 0;
  } else {
    sum_.known += counts;
  }
  if (at->second.refusals > 0) {
    --at->second.refusals;
    sum_.refusedUnlearned += counts;
  }
  if (!fresh || r.learned.size() <= trace_.learned) return;
  std::vector<Warm> warm;
  for (const auto& [destination, known] : r.learned) {
    Warm w{{}, known.lastMs, nextUse(r, destination, c.atMs, 1)};
    w.item.destination = destination;
    w.item.kind = CacheEntryKind::kLearned;
    w.item.bytes = 1;
    w.item.isNew = destination == c.destination;
    warm.push_back(w);
  }
  for (const std::size_t gone :
       choice_.evictions(c.atMs, c.relay, CacheEntryKind::kLearned, warm, trace_.learned))
    r.learned.erase(static_cast<int>(warm[gone].item.destination));
}

void World::call(const TraceCall& c) {
  Relay& r = relays_[static_cast<std::size_t>(c.relay)];
  const bool counts = c.atMs >= trace_.warmUpMs;
  choice_.called(c.atMs, c.relay, c.destination);
  learn(c);
  expire(c.atMs, c.relay);
  sum_.calls += counts;
  const auto at = r.idle.find(c.destination);
  bool fresh = false;
  if (at != r.idle.end()) {
    fresh = at->second.back().fresh;
    at->second.pop_back();
    if (at->second.empty()) r.idle.erase(at);
    sum_.warm += counts;
  } else {
    fresh = true;
    if (trace_.holdsFew(c.destination)) {
      for (int i = 0; i < trace_.relays; ++i) expire(c.atMs, i);
      if (open(c.destination) >= static_cast<int>(kFewConnections)) {
        sum_.refusedFull += counts;
        return;
      }
    }
    sum_.handshakes += counts;
  }
  ++r.busy[c.destination];
  ends_.push({c.atMs + kCallMs, c.relay, c.destination, fresh});
}

void World::end(const End& e) {
  Relay& r = relays_[static_cast<std::size_t>(e.relay)];
  --r.busy[e.destination];
  expire(e.atMs, e.relay);
  r.idle[e.destination].push_back({e.atMs, e.fresh});
  std::size_t count = 0;
  for (const auto& [destination, idle] : r.idle) count += idle.size();
  if (count <= trace_.slots && !(choice_.mayGiveBack() && trace_.holdsFew(e.destination))) {
    r.idle[e.destination].back().fresh = false;
    return;
  }
  std::vector<Warm> warm;
  std::vector<std::pair<int, std::size_t>> places;
  for (const auto& [destination, idle] : r.idle)
    for (std::size_t i = 0; i < idle.size(); ++i) {
      const std::size_t behind = idle.size() - 1 - i;
      const int busy = r.busy.count(destination) ? r.busy.at(destination) : 0;
      Warm w{{}, idle[i].sinceMs, nextUse(r, destination, e.atMs, busy + static_cast<int>(behind) + 1)};
      if (w.nextMs > idle[i].sinceMs + kIdleLifeMs) w.nextMs = kFar;
      w.item.destination = destination;
      w.item.bytes = 1;
      w.item.connectionsAhead = behind;
      w.item.typicalLatencyMs = kCallMs;
      w.item.isNew = idle[i].fresh && destination == e.destination && behind == 0;
      w.item.endpointConnectionLimit = trace_.holdsFew(destination) ? kFewConnections : 0;
      warm.push_back(w);
      places.emplace_back(destination, i);
    }
  std::vector<std::size_t> gone =
      choice_.evictions(e.atMs, e.relay, CacheEntryKind::kConnection, warm, trace_.slots);
  std::sort(gone.rbegin(), gone.rend());
  for (const std::size_t g : gone) {
    auto& idle = r.idle[places[g].first];
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(places[g].second));
    if (idle.empty()) r.idle.erase(places[g].first);
  }
  if (const auto at = r.idle.find(e.destination); at != r.idle.end()) at->second.back().fresh = false;
}

Tally World::run() {
  double tickMs = 0;
  std::vector<std::map<int, std::uint8_t>> marks;
  for (const TraceCall& c : trace_.calls) {
    for (; tickMs <= c.atMs; tickMs += kTickMs) {
      marks.assign(relays_.size(), {});
      for (std::size_t i = 0; i < relays_.size(); ++i) {
        if (!trace_.lives(static_cast<int>(i), tickMs)) relays_[i].idle.clear();
        for (const auto& [d, known] : relays_[i].learned) marks[i][d] |= CachedMark::kLearned;
        for (const auto& [d, idle] : relays_[i].idle) marks[i][d] |= CachedMark::kConnection;
      }
      choice_.tick(tickMs, marks);
    }
    for (; !ends_.empty() && ends_.top().atMs <= c.atMs; ends_.pop())
      if (trace_.lives(ends_.top().relay, ends_.top().atMs)) end(ends_.top());
    call(c);
  }
  sum_.bytesPerS = choice_.bytesPerS();
  return sum_;
}

}  // namespace myrtleloft::bench
