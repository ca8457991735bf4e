// A drawn world of copies under virtual time: relays that crash with and without their folder, stall, lose
// links both ways or one; messages late, lost, doubled and out of order; clocks that run apart. All from a
// seed.
//
//   CopiesWorld world({3, 2}, seed);
//   world.run();
//   world.referee().broken             // what rules were broken; empty
//
// A folder is lost only while all else is whole: every relay up and voting, every ledger on all its holders.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/copies_site.h"

namespace myrtleloft {

class CopiesWorld {
 public:
  struct Plan {
    std::size_t relays = 3, copies = 2;
    double faultsMs = 9000, quietMs = 7000;
  };
  CopiesWorld(Plan plan, std::uint32_t seed);

  void run();
  const CopiesReferee& referee() const { return referee_; }
  int lostFolders() const { return lostFolders_; }

 private:
  struct Event {
    double atMs;
    std::uint64_t number;
    std::string relay;  // waits while it stalls; empty: of the world
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::pair(atMs, number) > std::pair(other.atMs, other.number);
    }
  };

  void later(const std::string& relay, double inMs, std::function<void()> what);
  void send(const std::string& from, CopySend send);
  void tick(const std::string& relay);
  void fault();
  bool cut(const std::string& from, const std::string& to) const {
    return cuts_.contains({from, to}) && nowMs() < cuts_.at({from, to});
  }
  double nowMs() const { return referee_.nowMs; }
  std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(random_()) % bound; }

  Plan plan_;
  std::mt19937 random_;
  CopiesReferee referee_;
  std::vector<std::string> names_;
  std::map<std::string, std::unique_ptr<CopiesSite>> sites_;
  std::priority_queue<Event> events_;
  std::uint64_t number_ = 0;
  std::map<std::string, double> stalledUntil_;
  std::map<std::pair<std::string, std::string>, double> cuts_;
  std::map<std::pair<std::string, std::string>, double> lastMs_;  // when the last one comes
  int requests_ = 0, lostFolders_ = 0;
};

}  // namespace myrtleloft
