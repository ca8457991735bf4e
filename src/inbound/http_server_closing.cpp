// HttpServer: when connections are closed, to make room for others, after a timeout and at the end.
#include <algorithm>
#include <utility>

#include "inbound/http_server.h"

namespace myrtleloft {
namespace {

// kRequestMs limits the first request (from the start of the connection), each later one (from its first
// byte), and the time to write an answer. kIdleMs limits the time between requests. After kLingerMs, a
// half-closed connection is closed.
constexpr double kRequestMs = 2000, kIdleMs = 2000, kLingerMs = 500, kExpiryIntervalMs = 100;
constexpr std::size_t kIdleDivisor = 8;  // at most one in kIdleDivisor connections may be idle
// Minimum age before a connection is evicted: of one without any input, and of one with an incomplete
// request.
constexpr double kNewConnectionMs = 300, kStalledMs = 250;

}  // namespace

// Connections whose requests were answered are evicted first, the longest idle one before the others, because
// their clients lose nothing. Closing a connection without any input fails the request for which a slow
// client opened it; when hundreds of clients kept idle connections open, this lost half of all requests. Such
// connections are evicted only if none of the first kind are left, and a client that stalls within a request
// only after them: it is told that its request is rejected.
void HttpServer::evictOne() {
  const std::optional<ConnectionId> victim = findEvictable();
  if (!victim) return;
  ++counters_.evicted;
  if (connections_.at(*victim).stage() == Stage::kReadingRequest) {
    rejectOverloaded(*victim);
    const auto at = connections_.find(*victim);
    if (at == connections_.end() || !at->second.lingering) return;  // the answer failed or is not written yet
  }
  close(*victim, CloseReason::kEvicted);
}

// Returns the connection that can be evicted at the least harm. Never returned: one with an unanswered or
// partially answered request, and one whose socket holds unread input, because that may be the rest of a
// request, which its client has sent completely.
std::optional<HttpServer::ConnectionId> HttpServer::findEvictable() const {
  std::optional<ConnectionId> best;
  std::pair<int, double> lowestRank;
  const double now = loop_.nowMs();
  for (const auto& [id, client] : connections_) {
    const Stage stage = client.stage();
    if (stage == Stage::kAwaitingAnswer || stage == Stage::kWritingAnswer) continue;
    const std::pair rank{static_cast<int>(stage), client.sinceMs};
    if (now - client.sinceMs < minimumAgeMs(stage) || (best && lowestRank <= rank)) continue;
    if (stage != Stage::kLingering && hasInput(client.fd)) continue;
    best = id;
    lowestRank = rank;
  }
  return best;
}

double HttpServer::minimumAgeMs(Stage stage) {
  if (stage == Stage::kNew) return kNewConnectionMs;
  return stage == Stage::kReadingRequest ? kStalledMs : 0;
}

// Input after the last answer is discarded first: closing a socket with unread bytes resets the connection,
// and the client could lose the answer. On other connections it is left, because the reset tells the client
// that its bytes were not read.
void HttpServer::close(ConnectionId id, CloseReason reason) {
  const auto at = connections_.find(id);
  Connection& client = at->second;
  ++counters_.closes.at(static_cast<std::size_t>(reason));
  if (!client.requestId.empty() && !byClient(reason)) ++counters_.closedUnanswered;
  if (trace_) trace_->closed(id, nameOf(reason), client.requestId);
  if (client.lingering) discardInput(client.fd, kLingerBytes);
  loop_.unwatch(client.fd.get());
  heldBytes_ -= client.heldBytes;
  connections_.erase(at);
}

void HttpServer::drain() {
  draining_ = true;
  for (auto& [id, client] : connections_)
    if (client.stage() == Stage::kIdle && client.isQuiescent()) halfClose(id, CloseReason::kAnswered);
}

void HttpServer::closeExpired() {
  const double now = loop_.nowMs();
  std::vector<ConnectionId> expired;
  std::vector<std::pair<double, ConnectionId>> idle;
  for (const auto& [id, client] : connections_) {
    if (client.stage() == Stage::kIdle) idle.emplace_back(client.sinceMs, id);
    const Stage stage = client.stage();
    const double maxAgeMs = stage == Stage::kLingering ? kLingerMs
                            : stage == Stage::kIdle    ? kIdleMs
                                                       : kRequestMs;
    if (stage != Stage::kAwaitingAnswer && now - client.sinceMs > maxAgeMs) expired.push_back(id);
  }
  // Idle connections also occupy descriptors of the clients, which may have too few left for the next
  // request. (With 270 idle connections, half of all requests were never sent.)
  const std::size_t maxIdle = maxConnections_ / kIdleDivisor;
  if (idle.size() > maxIdle) {
    std::sort(idle.begin(), idle.end());
    for (std::size_t i = 0; i < idle.size() - maxIdle; ++i) expired.push_back(idle[i].second);
  }
  for (const ConnectionId id : expired) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) continue;
    const Connection& client = at->second;
    // The rest of the request may have arrived and not been read yet.
    if (client.stage() == Stage::kReadingRequest && !hasInput(client.fd))
      rejectAndClose(id, 408);
    else if (client.stage() == Stage::kReadingRequest)
      continue;
    else if (client.lingering || !client.out.empty())
      close(id, client.lingering ? client.closeReason : CloseReason::kSlow);
    else if (client.isQuiescent())
      halfClose(id, CloseReason::kIdle);
  }
  scheduleExpiry();
}

void HttpServer::scheduleExpiry() {
  expiryTimer_ = loop_.after(kExpiryIntervalMs, [this] { closeExpired(); });
}

}  // namespace myrtleloft
