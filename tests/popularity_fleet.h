// Relays of a few buildings in virtual time, with a drawn network between them: messages are late, lost,
// doubled and out of order, links are cut, relays restart and go, clocks are apart. What was asked for is
// kept to the digit beside it. Every message goes through its bytes.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "popularity/building_counts.h"
#include "tests/popularity_traces.h"

namespace myrtleloft::testing {

class DrawnFleet {
 public:
  struct Options {
    int relays = 3, buildings = 1;
    double tauMs = 60000;
    double skewMs = 0;  // clocks are apart from the true one by so much at the most
    double lost = 0, doubled = 0, mostLateMs = 20;
    std::uint64_t seed = 1;
  };
  struct Ask {
    double atMs = 0;
    std::int64_t destination = 0;
    double worth = 1;
    std::size_t relay = 0;
    std::uint64_t start = 0;
  };
  struct Relay {
    std::string name;
    int building = 0;
    std::uint64_t start = 0;
    double skewMs = 0, diedMs = -1;  // -1: it lives
    bool stranger = false;           // cut off from all others
    std::unique_ptr<BuildingCounts> counts;
    std::vector<WarmMark> warm;
    std::uint64_t bytesOut = 0, bytesIn = 0, messagesOut = 0, mostOut = 0;
  };

  explicit DrawnFleet(Options options) : options_(options), random_(options.seed) {
    relays_.resize(static_cast<std::size_t>(options.relays));
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      Relay& r = relays_[i];
      r.building = static_cast<int>(i) % options.buildings;
      r.name = "n" + std::to_string(i);
      r.skewMs = options.skewMs * (2 * unit(random_) - 1);
    }
    for (std::size_t i = 0; i < relays_.size(); ++i) start(i);
  }

  // From nothing, with the next start of the same folder.
  void start(std::size_t i) {
    Relay& r = relays_[i];
    ++r.start;
    r.diedMs = -1;
    r.counts = std::make_unique<BuildingCounts>(BuildingCounts::Options{
        r.name, {100 + i, r.start}, options_.tauMs, BuildingCounts::periodOf(options_.tauMs), random_()});
    std::vector<std::string> names;
    for (const Relay& other : relays_)
      if (other.building == r.building) names.push_back(other.name);
    r.counts->building(names);
  }
  void stop(std::size_t i) { relays_[i].diedMs = nowMs_; }
  void faults(double lost, double doubled, double mostLateMs) {
    options_.lost = lost, options_.doubled = doubled, options_.mostLateMs = mostLateMs;
  }
  // Whether messages between two relays arrive; all do by default.
  std::function<bool(const Relay&, const Relay&)> links = [](const Relay&, const Relay&) { return true; };

  void ask(std::size_t i, std::int64_t destination, double worth) {
    relays_[i].counts->asked(nowMs_, destination, worth);
    asks_.push_back({nowMs_, destination, worth, i, relays_[i].start});
  }
  // Moves on, telling and hearing.
  void run(double spanMs, double stepMs = 250) {
    for (const double endMs = nowMs_ + spanMs; nowMs_ < endMs;) {
      nowMs_ += stepMs;
      while (!onTheWay_.empty() && onTheWay_.top().atMs <= nowMs_) {
        arrive(onTheWay_.top());
        onTheWay_.pop();
      }
      alive_.clear();
      for (const Relay& r : relays_)
        if (r.diedMs < 0) alive_.push_back(r.name);
      for (std::size_t i = 0; i < relays_.size(); ++i)
        if (relays_[i].diedMs < 0) tick(i);
    }
  }

  double nowMs() const { return nowMs_; }
  std::vector<Relay>& relays() { return relays_; }
  bool lives(std::size_t i) const { return relays_[i].diedMs < 0; }
  // All that was asked for in a building and could be known: a start that is over is known up to what it said
  // last to any that still knows it. `told`: whether to leave out what is not.
  std::map<std::int64_t, double> exact(int building, bool told = true) const {
    std::map<std::int64_t, double> sums;
    for (const Ask& a : asks_) {
      const Relay& r = relays_[a.relay];
      if (r.building != building) continue;
      const bool over = r.diedMs >= 0 || r.start != a.start;
      if (told && over && a.atMs > knownUntilMs(a.relay, a.start)) continue;
      sums[a.destination] += a.worth * std::exp(-(nowMs_ - a.atMs) / options_.tauMs);
    }
    return sums;
  }
  double knownUntilMs(std::size_t i, std::uint64_t start) const {
    double until = -1;
    for (const Relay& r : relays_) {
      if (r.diedMs >= 0) continue;
      const auto at = r.counts->near().registers().find({relays_[i].name, 100 + i, start});
      if (at != r.counts->near().registers().end())
        until = std::max(until, at->second.asOfWallMs - kEpochMs - relays_[i].skewMs);
    }
    return until - 1e-3;  // what came in that very moment came after it was told
  }

 private:
  static constexpr double kEpochMs = 1e12;
  struct Letter {
    double atMs = 0;
    std::size_t from = 0, to = 0;
    std::string bytes;
    bool operator<(const Letter& other) const { return atMs > other.atMs; }  // the earliest is on top
  };

  Moment momentOf(const Relay& r) const { return {nowMs_, nowMs_ + kEpochMs + r.skewMs}; }
  void tick(std::size_t i) {
    Relay& r = relays_[i];
    // One that is cut off takes the others for dead.
    const std::vector<std::string>& alive = r.stranger ? nobody_ : alive_;
    for (const CountsSend& send : r.counts->onTick(momentOf(r), alive, r.warm)) {
      Letter letter{nowMs_, i, static_cast<std::size_t>(std::stoi(send.peer.substr(1))),
                    encoded(send.message)};
      r.bytesOut += letter.bytes.size();
      r.mostOut = std::max<std::uint64_t>(r.mostOut, letter.bytes.size());
      ++r.messagesOut;
      for (int copies = unit(random_) < options_.doubled ? 2 : 1; copies-- > 0;) {
        letter.atMs = nowMs_ + options_.mostLateMs * unit(random_);
        if (unit(random_) >= options_.lost) onTheWay_.push(letter);
      }
    }
  }
  void arrive(const Letter& letter) {
    Relay& to = relays_[letter.to];
    if (to.diedMs >= 0 || to.stranger || relays_[letter.from].stranger || !links(relays_[letter.from], to))
      return;
    const auto message = decodedCounts(letter.bytes);
    if (!message) std::abort();
    to.bytesIn += letter.bytes.size();
    to.counts->onCounts(momentOf(to), *message);
  }

  Options options_;
  std::mt19937_64 random_;
  double nowMs_ = 0;
  std::vector<Relay> relays_;
  std::vector<std::string> alive_, nobody_;
  std::vector<Ask> asks_;
  std::priority_queue<Letter> onTheWay_;
};

}  // namespace myrtleloft::testing
