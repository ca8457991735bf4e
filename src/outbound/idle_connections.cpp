#include "outbound/idle_connections.h"

#include <algorithm>
#include <utility>

namespace myrtleloft {
namespace {

// An endpoint closes idle connections itself at the told age; a call must not cross that close on its way.
constexpr double kRetireEarlyMs = 500, kIdleFallbackMs = 10000;

}  // namespace

std::unique_ptr<ClientConnection> IdleConnections::take(const std::string& uid, const Address& address) {
  trim();
  const auto at = idle_.find(uid);
  while (at != idle_.end() && !at->second.empty()) {
    Idle last = std::move(at->second.back());
    at->second.pop_back();
    if (last.address == address.text && last.connection->reusable()) return std::move(last.connection);
  }
  return nullptr;
}

void IdleConnections::keep(const std::string& uid, const Address& address,
                           std::unique_ptr<ClientConnection> connection) {
  if (!connection->reusable()) return;
  idle_[uid].push_back({std::move(connection), address.text, loop_.nowMs()});
  trim();
}

void IdleConnections::trim() {
  const double told = endpointIdleMs_ > 0 ? endpointIdleMs_ : kIdleFallbackMs;
  const double since = loop_.nowMs() - std::max(told / 2, told - kRetireEarlyMs);
  std::size_t count = 0;
  for (auto at = idle_.begin(); at != idle_.end();) {
    std::erase_if(at->second,
                  [since](const Idle& idle) { return idle.sinceMs < since || !idle.connection->open(); });
    count += at->second.size();
    at = at->second.empty() ? idle_.erase(at) : std::next(at);
  }
  for (; count > most_; --count) {
    const auto longest =
        std::min_element(idle_.begin(), idle_.end(), [](const auto& left, const auto& right) {
          return left.second.front().sinceMs < right.second.front().sinceMs;
        });
    longest->second.erase(longest->second.begin());
    if (longest->second.empty()) idle_.erase(longest);
  }
}

void IdleConnections::reconsider(const EndpointTable& set) {
  for (auto& [uid, idle] : idle_) {
    const EndpointRecord* endpoint = set.find(uid);
    std::erase_if(idle,
                  [&](const Idle& each) { return !endpoint || each.address != endpoint->address.text; });
  }
}

bool IdleConnections::clear() {
  const bool any = !idle_.empty();
  idle_.clear();
  return any;
}

}  // namespace myrtleloft
