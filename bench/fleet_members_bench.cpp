// What membership costs each relay, how soon a crash is known to all, and how often a living one is called
// dead: on the drawn network, under virtual time. The same figures on every machine.
//
//   build-bench/fleet_members_bench            all tables
//   build-bench/fleet_members_bench 3 30       these sizes alone
//
// docs/bench/fleet.md says what the figures came to.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "lab/watched_members.h"

namespace {

using namespace myrtleloft;
using namespace myrtleloft::lab;

struct Rate {
  double messages = 0, bytes = 0, mostBytes = 0;  // a second for each relay; of the busiest
};

Rate rateOver(WatchedMembers& all, double suspicionTimeoutMs) {
  std::vector<DrawnFleet::Sent> before;
  for (int i = 0; i < all.fleet.size(); ++i) before.push_back(all.fleet.sent(i));
  all.fleet.runUntil(all.fleet.nowMs() + suspicionTimeoutMs);
  Rate rate;
  for (int i = 0; i < all.fleet.size(); ++i) {
    const auto& was = before[static_cast<std::size_t>(i)];
    const double s = suspicionTimeoutMs / 1000;
    const double bytes = static_cast<double>(all.fleet.sent(i).bytes - was.bytes) / s;
    rate.messages += static_cast<double>(all.fleet.sent(i).messages - was.messages) / s / all.fleet.size();
    rate.bytes += bytes / all.fleet.size();
    rate.mostBytes = std::max(rate.mostBytes, bytes);
  }
  return rate;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

void costs(int relays) {
  WatchedMembers all(relays, 1, {});
  all.startAll();
  all.fleet.runUntil(30000);
  const Rate calm = rateOver(all, 60000);
  // A tenth of them, one at least, restart every other second.
  Rate busy;
  for (int second = 0; second < 10; ++second) {
    for (int i = 0; i < std::max(1, relays / 10); ++i) {
      const int one = static_cast<int>(all.fleet.drawn() % static_cast<std::uint64_t>(relays));
      all.fleet.crash(one, Folder::kKept);
      all.fleet.start(one);
    }
    const Rate rate = rateOver(all, 2000);
    busy.messages += rate.messages / 10;
    busy.bytes += rate.bytes / 10;
    busy.mostBytes = std::max(busy.mostBytes, rate.mostBytes);
  }
  std::printf("| %d | %.1f | %.0f | %.0f | %.1f | %.0f | %.0f |\n", relays, calm.messages, calm.bytes,
              calm.mostBytes, busy.messages, busy.bytes, busy.mostBytes);
  std::fflush(stdout);
}

void crashes(int relays, bool told, double loss, int seeds) {
  std::vector<double> times;
  int missed = 0;
  double span = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    NetworkTraits traits;
    traits.loss = loss;
    WatchedMembers all(relays, static_cast<std::uint64_t>(seed), traits);
    all.startAll();
    all.fleet.runUntil(8000 + all.fleet.drawn(0, 1000));
    span = all.at(1)->suspicionTimeoutMs();
    all.fleet.crash(0, Folder::kLost, told);
    if (const auto ms = all.untilAllSay(0, MemberState::kDead, 120000, 5)) {
      times.push_back(*ms);
    } else {
      ++missed;
    }
  }
  std::printf("| %d | %s | %.0f%% | %d | %.0f | %.0f | %.0f | %d |\n", relays, told ? "yes" : "no",
              100 * loss, seeds, span, median(times),
              times.empty() ? 0 : *std::max_element(times.begin(), times.end()), missed);
  std::fflush(stdout);
}

void falseDeaths(int relays, double loss, int seeds) {
  std::size_t suspicions = 0, deaths = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    NetworkTraits traits;
    traits.loss = loss;
    traits.slowestMs = 10;
    WatchedMembers all(relays, static_cast<std::uint64_t>(seed), traits);
    all.startAll();
    all.fleet.runUntil(120000);
    suspicions += all.falseSuspicions.size();
    deaths += all.falseDeaths.size();
  }
  const double hours = relays * seeds * 120.0 / 3600;
  std::printf("| %d | %.0f%% | %d | %.1f | %.2f | %zu |\n", relays, 100 * loss, seeds, hours,
              static_cast<double>(suspicions) / hours / relays, deaths);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {3, 9, 30, 100, 300};
  std::puts("| relays | messages/s | bytes/s | busiest | restarts: messages/s | bytes/s | busiest |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- |");
  for (int relays : sizes) costs(relays);
  std::puts("\n| relays | links break | loss | seeds | span | median ms | longest ms | not found |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (int relays : sizes) {
    const int seeds = relays > 100 ? 5 : relays > 30 ? 20 : 50;
    for (const bool told : {true, false}) {
      for (const double loss : {0.0, 0.05}) crashes(relays, told, loss, seeds);
    }
  }
  std::puts("\n| relays | loss | seeds | relay-hours | suspicions an hour, by one of one | false deaths |");
  std::puts("| --- | --- | --- | --- | --- | --- |");
  for (int relays : sizes) {
    const int seeds = relays > 100 ? 1 : relays > 30 ? 5 : 50;
    for (const double loss : {0.01, 0.05, 0.1, 0.2}) falseDeaths(relays, loss, seeds);
  }
}
