#include "lab/auditor_cold_returns.h"

#include <algorithm>

namespace myrtleloft::lab {

void ColdReturns::onStarted(const std::string& relay) {
  for (auto& [name, endpoint] : endpoints_) endpoint.told.erase(relay);
}

void ColdReturns::onOutage(const FleetRecord& outage) {
  Endpoint& endpoint = endpoints_[outage.endpoint];
  const double perSecond = endpoint.perSecond;
  endpoint = Endpoint();
  endpoint.fromMs = outage.atMs;
  endpoint.perSecond = perSecond;
}

void ColdReturns::onOutcome(const FleetRecord& outcome) {
  Endpoint& endpoint = endpoints_[outcome.endpoint];
  const bool isOut = outcome.atMs >= endpoint.fromMs && outcome.atMs < endpoint.backMs;
  if (isOut && outcome.status != 200) endpoint.told.insert(outcome.relay);
}

std::vector<std::size_t> ColdReturns::onArrival(const FleetRecord& arrival, std::size_t line) {
  Endpoint& endpoint = endpoints_[arrival.endpoint];
  const bool isCold = arrival.atMs >= endpoint.backMs && arrival.atMs <= endpoint.backMs + rules_.coldMs;
  const bool wasShort = endpoint.backMs - endpoint.fromMs < rules_.shortOutageMs;
  if (!isCold || wasShort || endpoint.found) return {};
  const auto atMs = [this](std::size_t of) { return history_.records[of].atMs; };
  endpoint.arrived.push_back(line);
  std::erase_if(endpoint.arrived, [&](std::size_t of) { return atMs(of) <= arrival.atMs - rules_.fallMs; });
  const double excusedMs = time_.excusedMs("", arrival.atMs - rules_.fallMs, arrival.atMs);
  const double spanMs = rules_.fallMs + rules_.slackMs + excusedMs;
  const double budget = rules_.overload * endpoint.perSecond * spanMs / 1000 + rules_.coldSlackCalls;
  if (static_cast<double>(endpoint.arrived.size()) <= budget) return {};
  const auto told = std::ranges::count_if(
      endpoint.arrived, [&](std::size_t of) { return endpoint.told.count(history_.records[of].relay) > 0; });
  if (3 * static_cast<std::size_t>(told) < 2 * endpoint.arrived.size()) return {};
  endpoint.found = true;
  return endpoint.arrived;
}

}  // namespace myrtleloft::lab
