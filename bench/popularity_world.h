// Relays of three buildings that call destinations in virtual time, with idle connections, what was learned,
// and endpoints that hold few connections. Which of what is warm goes, a `Choice` says.
//
// A call takes kCallMs. It goes out on the connection that became idle last, or on a new one; an endpoint
// that holds few refuses what is beyond. Of what was learned a relay keeps so much as fits; at a destination
// with a limit, a start that knows nothing is refused kUnlearnedRefusals calls, one with a neighbour's hint
// the first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "popularity/keeper.h"
#include "tests/popularity_traces.h"

namespace myrtleloft::bench {

inline constexpr double kCallMs = 150, kIdleLifeMs = 9500;
inline constexpr std::size_t kUnlearnedRefusals = 3, kLateHints = 5, kFewConnections = 12;

struct TraceCall {
  double atMs = 0;
  int relay = 0, destination = 0;
};
struct Trace {
  std::string name;
  int relays = 9, buildings = 3, destinations = 600;
  std::size_t slots = 32, learned = 128;  // a relay of 32 MB and 256 descriptors
  double warmUpMs = 90000, endMs = 330000;
  double buildingDiesMs = 1e18;  // building 0
  std::vector<TraceCall> calls;

  int buildingOf(int relay) const { return relay % buildings; }
  int fewOf = 10;  // one destination in so many stands at an endpoint that holds few connections
  std::function<double(int destination, double atMs)> likelihood;  // what the calls were drawn by

  bool holdsFew(int destination) const { return destination % fewOf == 1; }
  bool hasLimit(int destination) const { return destination % 5 == 2; }
  bool lives(int relay, double nowMs) const { return nowMs < buildingDiesMs || buildingOf(relay) != 0; }
};

enum class Shape { kZipf, kShifting, kClump, kBuildingDies };

inline Trace drawnTrace(const std::string& name, Shape shape, double exponent, std::uint64_t seed) {
  Trace t;
  t.name = name;
  std::mt19937_64 random(seed);
  const testing::Zipf zipf(t.destinations, exponent);
  std::vector<int> order(static_cast<std::size_t>(t.destinations));
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = static_cast<int>(i);
  std::shuffle(order.begin(), order.end(), random);
  if (shape == Shape::kBuildingDies) t.buildingDiesMs = 180000;
  std::vector<std::size_t> rankOf(order.size());
  for (std::size_t i = 0; i < order.size(); ++i) rankOf[static_cast<std::size_t>(order[i])] = i;
  const auto moved = [shape](double at) {  // all ranks move on by five each half minute
    return shape == Shape::kShifting ? 5 * static_cast<std::size_t>(at / 30000) : 0;
  };
  const auto clumped = [shape](double at) { return shape == Shape::kClump && at > 180000 && at < 240000; };
  t.likelihood = [=](int destination, double at) {
    const std::size_t n = rankOf.size(), rank = rankOf[static_cast<std::size_t>(destination)];
    const double usual = zipf.likelihood((rank + n - moved(at) % n) % n);
    return clumped(at) ? usual / 2 + (rank >= 500 && rank < 520 ? 0.5 / 20 : 0) : usual;
  };
  const double perS = 40.0 * t.relays;
  for (double at = 0; at < t.endMs; at += -std::log(1 - testing::uniform(random)) * 1000 / perS) {
    std::size_t rank = (static_cast<std::size_t>(zipf.sample(random)) + moved(at)) % order.size();
    if (clumped(at) && testing::uniform(random) < 0.5) rank = 500 + random() % 20;
    int relay = static_cast<int>(random() % static_cast<unsigned>(t.relays));
    while (!t.lives(relay, at)) relay = static_cast<int>(random() % static_cast<unsigned>(t.relays));
    t.calls.push_back({at, relay, order[rank]});
  }
  return t;
}

// Something warm at one relay, and all that any choice may want to know of it.
struct Warm {
  CacheEntry item;
  double sinceMs = 0;  // idle since, or last called
  double nextMs = 0;   // when it would be used, by who knows the trace; far: not while it lives
};

class Choice {
 public:
  virtual ~Choice() = default;
  virtual void called(double nowMs, int relay, int destination) = 0;
  virtual void tick(double, const std::vector<std::map<int, std::uint8_t>>&) {}
  // Indexes of `warm` that go, so that no more than `most` are left.
  virtual std::vector<std::size_t> evictions(double nowMs, int relay, CacheEntryKind kind,
                                             const std::vector<Warm>& warm, std::size_t most) = 0;
  virtual bool hints() const { return false; }
  virtual bool looksAhead() const { return false; }
  // Whether it has a say while there is room.
  virtual bool mayGiveBack() const { return false; }
  virtual double bytesPerS() const { return 0; }
};

struct Tally {
  double calls = 0, warm = 0, handshakes = 0, refusedFull = 0, refusedUnlearned = 0, known = 0, hinted = 0;
  double bytesPerS = 0;
};

class World {
 public:
  World(const Trace& trace, Choice& choice);
  Tally run();

 private:
  struct Idle {
    double sinceMs = 0;
    bool fresh = false;
  };
  struct Relay {
    std::map<int, std::vector<Idle>> idle;
    std::map<int, int> busy;
    struct Known {
      double lastMs = 0;
      std::size_t refusals = 0;  // still to come
    };
    std::map<int, Known> learned;
    // Of each destination: when it is called, and how many calls are then out with this one.
    std::vector<std::vector<std::pair<double, int>>> future;
  };
  struct End {
    double atMs = 0;
    int relay = 0, destination = 0;
    bool fresh = false;
    bool operator<(const End& other) const { return atMs > other.atMs; }
  };
  void lookAhead();
  void call(const TraceCall& call);
  void learn(const TraceCall& call);
  void end(const End& end);
  void expire(double nowMs, int relay);
  double nextUse(const Relay& relay, int destination, double nowMs, int atOnce) const;
  int open(int destination) const;

  const Trace& trace_;
  Choice& choice_;
  std::vector<Relay> relays_;
  std::priority_queue<End> ends_;
  Tally sum_;
  std::size_t hints_ = 0;
};

}  // namespace myrtleloft::bench
