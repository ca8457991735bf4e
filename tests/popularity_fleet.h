// Simulates the relays of several regions in virtual time, with a random network between them: messages are
// delayed, lost, duplicated and reordered, links are cut, relays restart and stop, and clocks differ. Records
// the exact requests for comparison. Every message is encoded and decoded.
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

class SimulatedFleet {
 public:
  struct Options {
    int relays = 3, regions = 1;
    double tauMs = 60000;
    double skewMs = 0;  // maximum offset of a relay's wall clock
    double lossProbability = 0, duplicateProbability = 0, maxDelayMs = 20;
    std::uint64_t seed = 1;
  };
  struct Request {
    double atMs = 0;
    std::int64_t destination = 0;
    double worth = 1;
    std::size_t relay = 0;
    std::uint64_t start = 0;
  };
  struct Relay {
    std::string name;
    int region = 0;
    std::uint64_t start = 0;
    double skewMs = 0, stoppedMs = -1;  // -1 while the relay is running
    bool disconnected = false;          // from all other relays
    std::unique_ptr<RegionCounts> counts;
    std::vector<CachedMark> cached;
    std::uint64_t bytesOut = 0, bytesIn = 0, messagesOut = 0, maxMessageBytes = 0;
  };

  explicit SimulatedFleet(Options options) : options_(options), random_(options.seed) {
    relays_.resize(static_cast<std::size_t>(options.relays));
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      Relay& r = relays_[i];
      r.region = static_cast<int>(i) % options.regions;
      r.name = "n" + std::to_string(i);
      r.skewMs = options.skewMs * (2 * uniform(random_) - 1);
    }
    for (std::size_t i = 0; i < relays_.size(); ++i) start(i);
  }

  // Starts the relay without any counts, as the next start of the same data folder.
  void start(std::size_t i) {
    Relay& r = relays_[i];
    ++r.start;
    r.stoppedMs = -1;
    r.counts = std::make_unique<RegionCounts>(RegionCounts::Options{
        r.name, {100 + i, r.start}, options_.tauMs, RegionCounts::periodOf(options_.tauMs), random_()});
    std::vector<std::string> names;
    for (const Relay& other : relays_)
      if (other.region == r.region) names.push_back(other.name);
    r.counts->setRelays(names);
  }
  void stop(std::size_t i) { relays_[i].stoppedMs = nowMs_; }
  void setFaults(double lossProbability, double duplicateProbability, double maxDelayMs) {
    options_.lossProbability = lossProbability, options_.duplicateProbability = duplicateProbability,
    options_.maxDelayMs = maxDelayMs;
  }
  // Whether messages between two relays arrive; all do by default.
  std::function<bool(const Relay&, const Relay&)> links = [](const Relay&, const Relay&) { return true; };

  void recordRequest(std::size_t i, std::int64_t destination, double worth) {
    relays_[i].counts->recordRequest(nowMs_, destination, worth);
    requests_.push_back({nowMs_, destination, worth, i, relays_[i].start});
  }
  // Advances the virtual time, with ticks and deliveries.
  void run(double spanMs, double stepMs = 250) {
    for (const double endMs = nowMs_ + spanMs; nowMs_ < endMs;) {
      nowMs_ += stepMs;
      while (!pending_.empty() && pending_.top().atMs <= nowMs_) {
        deliver(pending_.top());
        pending_.pop();
      }
      alive_.clear();
      for (const Relay& r : relays_)
        if (r.stoppedMs < 0) alive_.push_back(r.name);
      for (std::size_t i = 0; i < relays_.size(); ++i)
        if (relays_[i].stoppedMs < 0) tick(i);
    }
  }

  double nowMs() const { return nowMs_; }
  std::vector<Relay>& relays() { return relays_; }
  bool isAlive(std::size_t i) const { return relays_[i].stoppedMs < 0; }
  // Returns the exact decayed worth of the requests of a region, by destination. Requests to a start of a
  // relay that has ended are known up to the latest register of it that a running relay holds; with
  // `knownOnly`, later ones are left out.
  std::map<std::int64_t, double> exact(int region, bool knownOnly = true) const {
    std::map<std::int64_t, double> sums;
    for (const Request& request : requests_) {
      const Relay& r = relays_[request.relay];
      if (r.region != region) continue;
      const bool ended = r.stoppedMs >= 0 || r.start != request.start;
      if (knownOnly && ended && request.atMs > knownUntilMs(request.relay, request.start)) continue;
      sums[request.destination] += request.worth * std::exp(-(nowMs_ - request.atMs) / options_.tauMs);
    }
    return sums;
  }
  double knownUntilMs(std::size_t i, std::uint64_t start) const {
    double until = -1;
    for (const Relay& r : relays_) {
      if (r.stoppedMs >= 0) continue;
      const auto found = r.counts->cellRelays().registers().find({relays_[i].name, 100 + i, start});
      if (found != r.counts->cellRelays().registers().end())
        until = std::max(until, found->second.asOfWallMs - kEpochMs - relays_[i].skewMs);
    }
    return until - 1e-3;  // requests of the same instant were recorded after the register was sent
  }

 private:
  static constexpr double kEpochMs = 1e12;
  struct PendingMessage {
    double atMs = 0;
    std::size_t from = 0, to = 0;
    std::string bytes;
    // Puts the earliest message at the top of the queue.
    bool operator<(const PendingMessage& other) const { return atMs > other.atMs; }
  };

  ClockReading clockOf(const Relay& r) const { return {nowMs_, nowMs_ + kEpochMs + r.skewMs}; }
  void tick(std::size_t i) {
    Relay& r = relays_[i];
    // A disconnected relay considers all others dead.
    const std::vector<std::string>& alive = r.disconnected ? noRelays_ : alive_;
    for (const OutgoingCounts& send : r.counts->onTick(clockOf(r), alive, r.cached)) {
      PendingMessage message{nowMs_, i, static_cast<std::size_t>(std::stoi(send.peer.substr(1))),
                             encoded(send.message)};
      r.bytesOut += message.bytes.size();
      r.maxMessageBytes = std::max<std::uint64_t>(r.maxMessageBytes, message.bytes.size());
      ++r.messagesOut;
      for (int copies = uniform(random_) < options_.duplicateProbability ? 2 : 1; copies-- > 0;) {
        message.atMs = nowMs_ + options_.maxDelayMs * uniform(random_);
        if (uniform(random_) >= options_.lossProbability) pending_.push(message);
      }
    }
  }
  void deliver(const PendingMessage& message) {
    Relay& to = relays_[message.to];
    if (to.stoppedMs >= 0 || to.disconnected || relays_[message.from].disconnected ||
        !links(relays_[message.from], to))
      return;
    const auto counts = decodedCounts(message.bytes);
    if (!counts) std::abort();
    to.bytesIn += message.bytes.size();
    to.counts->onCounts(clockOf(to), *counts);
  }

  Options options_;
  std::mt19937_64 random_;
  double nowMs_ = 0;
  std::vector<Relay> relays_;
  std::vector<std::string> alive_, noRelays_;
  std::vector<Request> requests_;
  std::priority_queue<PendingMessage> pending_;
};

}  // namespace myrtleloft::testing
