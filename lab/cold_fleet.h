// A day of many forwarders, each with a decision module of its own, and a few receivers, of which one or more
// fail and come back cold. The day is drawn from a seed. Judged is the rule on cold receivers as it is
// worded: N calls are what a receiver takes in fallMs (overloadFactor x present capacity x fallMs; the
// capacity climbs from coldShare to all in coldMs), it falls at more than lab/cold_budget.h says, all that
// reaches it counted, and the rule is broken by a fall of which over two thirds came from forwarders told of
// the outage in an earlier batch. A process that restarts was told nothing.
#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "myrtleloft/dispatcher.h"

namespace myrtleloft::lab {

constexpr double kColdTickMs = 5;
inline double coldTicks(double ms) { return std::ceil(ms / kColdTickMs) * kColdTickMs; }

enum class Outage { kDown, kSilent, kShut, kErrors };
// What a receiver that is shut states as Retry-After, if it states something: a short wait, time and again,
// or how long it stays shut, so that all who were told come back at one moment. Each outage is a shut one
// then.
enum class ShutWait { kShort, kUntilReturn };

struct ColdVerdict {
  Outage outage = Outage::kDown;
  bool rated = false, busy = false, batches = false, clumps = false, restarts = false, several = false;
  bool fell = false, broken = false;
  int handedIn = 0, delivered = 0;
  std::string fall;  // the first that broke the rule
};

class ColdFleet {
 public:
  ColdFleet(int forwarders, std::uint64_t seed, ShutWait shutWait = ShutWait::kShort);
  ColdVerdict run();

 private:
  struct Arrival {
    double atMs = 0, weight = 1;
    bool told = false;
  };
  struct Receiver {
    double perS = 0, tookMs = 150;  // what it takes when warm; how long a call takes
    double lowered = 1;             // its limit, from the return on
    bool tells = false;
    std::int64_t destination = 0;
    std::string name;  // its first endpoint
    double fromMs = 1e18, toMs = 1e18;
    bool out(double t) const { return t >= fromMs && t < toMs; }
    bool returned(double t) const { return t >= toMs; }
    Outage outage = Outage::kDown;
    std::deque<double> taken;  // calls taken in the last second
    std::deque<Arrival> window;
    std::vector<bool> told;  // by forwarder
  };
  struct Place {
    std::string target;
    std::size_t receiver = 0;
  };
  struct Sent {
    SendAction action;
    int attempt = 0;
  };
  struct Fate {
    Outcome outcome = Outcome::kSuccess;
    double tookMs = 0;
    std::int64_t waitMs = 0;
  };

  double between(double low, double high) { return low + (high - low) * unit(); }
  double unit() { return static_cast<double>(random_() >> 11) * 0x1p-53; }
  int below(int n) { return static_cast<int>(unit() * n); }

  void drawSettings();
  void drawReceivers();
  void drawTraffic();
  int someForwarder();
  Receiver& someReceiver();
  void learn(const OutcomeEvent& o);
  void restart(double t, int forwarder);
  void handIn(double atMs, std::int64_t destination, double notAfterMs, int tries);
  double warmth(const Receiver& r, double t) const;
  void batch(int forwarder, double t, const std::vector<Event>& events);
  void call(int forwarder, Place& place, const std::vector<Sent>& items, double t);
  void arrive(Receiver& r, double t, double weight, bool told);
  Fate fate(Receiver& r, double t);
  std::int64_t shutWaitMs(const Receiver& r, double t);
  void put(double atMs, int forwarder, Event e);

  std::mt19937_64 random_;
  ShutWait shutWait_;
  Settings settings_;
  std::vector<Receiver> receivers_;
  std::map<std::string, Place> places_;
  EndpointListEvent list_{ListUpdateKind::kSnapshot, {}};
  std::multimap<double, int> restarts_;
  std::vector<double> upTo_;  // of each forwarder's share in the traffic, summed
  std::vector<std::unique_ptr<Dispatcher>> fleet_;
  std::map<double, std::map<int, std::vector<Event>>> agenda_;
  struct Open {
    RequestEvent event;
    int forwarder = 0, tries = 0;
    double bornMs = 0;
    bool over = false;
    std::string target;  // of its newest attempt
    double sentMs = -1;  // -1: none is out
  };
  std::map<std::string, Open> open_;
  std::set<std::pair<std::string, int>> failing_;  // attempts made during an outage, by message
  double strays_ = 0;                              // share of the calls that fail anywhere
  double endMs_ = 0;
  int lastMessage_ = 0;
  ColdVerdict verdict_;
};

}  // namespace myrtleloft::lab
