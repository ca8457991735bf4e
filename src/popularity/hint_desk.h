// Requests hints from other relays of the region and matches responses to requests. Does no I/O.
//
//   if (auto outgoing = requester.requestFor(nowMs, destination, holders, retainers)) send(outgoing->peer,
//   ...);
//   ... if (requester.accept(nowMs, peer, response)) for (const Hint& hint : response.hints) applyHint(hint,
//   ...)
//
// One request per destination and at most kMaxInFlight overall are in flight. A request times out after
// kResponseTimeoutMs, and the same destination is requested again only after kRepeatAfterMs. Responses that
// were not requested are rejected. At most kMaxRemembered destinations are remembered. Not thread-safe.
// requestFor costs O(remembered), accept O(log remembered).
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "popularity/messages.h"

namespace myrtleloft {

class HintRequester {
 public:
  static constexpr std::size_t kMaxInFlight = 16, kMaxRemembered = 256;
  // The timeout equals the time an endpoint has to complete a started response. The repeat interval is a
  // twelfth of the usual time constant: in that time counts, and with them the holders of each entry, are
  // reported again.
  static constexpr double kResponseTimeoutMs = 500, kRepeatAfterMs = 5000;
  struct Outgoing {
    std::string peer;
    HintRequest request;
  };

  // Called when a request arrives for a destination of which this relay has learned nothing. Asks the first
  // of `holders`, which reported that they know the destination; if there are none, the first of `retainers`.
  // Returns std::nullopt if there is no relay to ask or no request may be sent now.
  std::optional<Outgoing> requestFor(double nowMs, std::int64_t destination,
                                     const std::vector<std::string>& holders,
                                     const std::vector<std::string>& retainers) {
    std::erase_if(requests_, [&](const auto& r) { return nowMs - r.second.sentMs >= kRepeatAfterMs; });
    const std::string* peer = !holders.empty()     ? &holders.front()
                              : !retainers.empty() ? &retainers.front()
                                                   : nullptr;
    if (!peer || requests_.count(destination) || requests_.size() >= kMaxRemembered ||
        inFlight(nowMs) >= kMaxInFlight)
      return std::nullopt;
    requests_[destination] = {++lastRequestId_, *peer, nowMs, true};
    return Outgoing{*peer, {lastRequestId_, destination}};
  }

  // Returns whether the response belongs to a request in flight.
  bool accept(double nowMs, const std::string& peer, const HintResponse& response) {
    const auto found = requests_.find(response.destination);
    if (found == requests_.end() || !found->second.inFlight ||
        found->second.requestId != response.requestId || found->second.peer != peer)
      return false;
    found->second.inFlight = false;
    return nowMs - found->second.sentMs < kResponseTimeoutMs;
  }

 private:
  struct Sent {
    std::uint64_t requestId = 0;
    std::string peer;
    double sentMs = 0;
    bool inFlight = false;
  };
  std::size_t inFlight(double nowMs) const {
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [&](const auto& r) {
      return r.second.inFlight && nowMs - r.second.sentMs < kResponseTimeoutMs;
    }));
  }
  std::map<std::int64_t, Sent> requests_;
  std::uint64_t lastRequestId_ = 0;
};

}  // namespace myrtleloft
