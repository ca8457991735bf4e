// Asks neighbours for what they learned, and says which answers were asked for. Without I/O.
//
//   if (auto ask = desk.met(nowMs, destination, holders, keepers)) send(ask->peer, ask->ask);
//   ... if (desk.take(nowMs, peer, told)) for (const Hint& hint : told.hints) ... applied(hint, ...)
//
// One question a destination at a time, kMostOut at once; one that stays without an answer for kAnswerMs is
// over, and the same destination is asked for again only after kAgainMs. What nobody asked for is not taken.
// Bounded: kMostAsked destinations are remembered. One thread; O(log).
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "popularity/messages.h"

namespace myrtleloft {

class HintDesk {
 public:
  static constexpr std::size_t kMostOut = 16, kMostAsked = 256;
  // As long as an endpoint has for the rest of an answer; a twelfth of the usual time constant, in which
  // counts are told anew, and with them who knows of what.
  static constexpr double kAnswerMs = 500, kAgainMs = 5000;
  struct Ask {
    std::string peer;
    HintAsk ask;
  };

  // A message for a destination came of which nothing is learned here. `holders` said that they know of it;
  // where none did, the first of `keepers` may. Nothing: nobody to ask, or not now.
  std::optional<Ask> met(double nowMs, std::int64_t destination, const std::vector<std::string>& holders,
                         const std::vector<std::string>& keepers) {
    std::erase_if(asked_, [&](const auto& a) { return nowMs - a.second.atMs >= kAgainMs; });
    const std::string* peer = !holders.empty()   ? &holders.front()
                              : !keepers.empty() ? &keepers.front()
                                                 : nullptr;
    if (!peer || asked_.count(destination) || asked_.size() >= kMostAsked || out(nowMs) >= kMostOut)
      return std::nullopt;
    asked_[destination] = {++last_, *peer, nowMs, true};
    return Ask{*peer, {last_, destination}};
  }

  // Whether it answers a question that is still out.
  bool take(double nowMs, const std::string& peer, const HintTold& told) {
    const auto at = asked_.find(told.destination);
    if (at == asked_.end() || !at->second.out || at->second.number != told.number || at->second.peer != peer)
      return false;
    at->second.out = false;
    return nowMs - at->second.atMs < kAnswerMs;
  }

 private:
  struct Asked {
    std::uint64_t number = 0;
    std::string peer;
    double atMs = 0;
    bool out = false;
  };
  std::size_t out(double nowMs) const {
    return static_cast<std::size_t>(std::count_if(asked_.begin(), asked_.end(), [&](const auto& a) {
      return a.second.out && nowMs - a.second.atMs < kAnswerMs;
    }));
  }
  std::map<std::int64_t, Asked> asked_;
  std::uint64_t last_ = 0;
};

}  // namespace myrtleloft
