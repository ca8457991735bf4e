// What the decision module (policy.cpp) keeps: plain state, no decision and no tuned value.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace myrtleloft {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

struct Rate {  // events a second, decayed with a time constant
  double sum = 0, lastMs = 0, sinceMs = -1;
  void add(double nowMs, double tauMs, double n = 1) {
    if (sinceMs < 0) sinceMs = nowMs;
    sum = sum * std::exp(-(nowMs - lastMs) / tauMs) + n;
    lastMs = nowMs;
  }
  double perS(double nowMs, double tauMs, double leastSeenMs) const {
    if (sinceMs < 0) return 0;
    const double seen = std::max(nowMs - sinceMs, leastSeenMs);
    return sum * std::exp(-(nowMs - lastMs) / tauMs) / (tauMs * (1 - std::exp(-seen / tauMs))) * 1000;
  }
};

struct Destination;
// What one limit covers: a route apart, or a whole destination. Pace, waits, coldness and health live here.
struct Scope {
  double waitUntilMs = -kNever;  // told wait
  double restUntilMs = -kNever;  // own rest after refusals
  double pacePerS = kNever, ceilingPerS = kNever, tokens = 1, refilledMs = 0, cutMs = -kNever, grownMs = 0;
  double ratingPerS = 0, limitPerS = 0;
  double ill = 0, seenMs = 0, firstFullMs = 0;
  int fulls = 0, callsOut = 0;
  std::int64_t goods = 0;  // in a row, for months
  Destination* dest = nullptr;
  bool apart = false;
  bool cold = false;
  double coldFromMs = -1;  // first success after the last failure; -1: none yet
  double healthyPerS = 0, chilledMs = 0;
  double toldMs = -1, troubleMs = 0;  // newest and first failure since last shown well; -1: none
  double failedMs = -kNever;          // when the last sent of the failed calls was sent
  double boundMs = 0;                 // from then on the pace is bounded
  double turn = 1;                    // tokens that the next call takes while calls are rare
  bool rare = false, earned = false;  // ... or none: a call was answered since the newest failure
  Rate sent, delivered;
};

struct Route;
struct Call {
  Route* route = nullptr;
  double sentMs = 0, linkAgeMs = -1;  // of the idle link that it went out on; -1: a new one
  int left = 0, size = 0;
  bool judged = false, calledOff = false, unsafe = false;
  std::vector<std::string> members;
};

struct Route {
  std::string id;
  int zone = 0, kind = 0;
  bool apart = false, open = false;
  double closedMs = 0;  // when it left the list, or began to
  double rating = 0;
  Scope own;
  Scope* scope = nullptr;
  std::set<std::int64_t> calls;  // calls out, oldest first
  double usualMs = 0, lastGoodMs = -kNever, goodSentMs = -kNever, refusedShare = 0;
  int connCap = std::numeric_limits<int>::max();
  std::vector<double> idleLinks;  // since when each idle link is idle, oldest first
};

struct Message {
  std::string id, orderKey;
  std::uint64_t seq = 0;
  int cls = 0;
  double notAfterMs = 0, aimMs = 0, aimSpanMs = 0;
  Destination* dest = nullptr;
  int attempts = 0, failures = 0, lates = 0;
  bool mayHaveRun = false, over = false, held = false;
  double firstDoubtMs = 0;
  std::vector<int> doubtZones;
  std::int64_t call = -1;     // -1: none is out
  std::vector<Route*> tried;  // each once
};

struct Destination {
  std::int64_t id = 0;
  Scope shared;
  std::vector<Route*> routes;
  std::map<std::uint64_t, Message*> queue;
  std::size_t messages = 0;  // that are not forgotten, those over with a call out included
  Rate arrived;
  double suspectAgeMs = kNever;  // idle age of a link on which a call broke, till another call's outcome
};

struct KeyLine {  // messages of one order key, in the order taken
  std::deque<std::uint64_t> line;
  double restUntilMs = -kNever;
};

}  // namespace myrtleloft
