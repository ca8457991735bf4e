#include "inbound/http_server.h"

#include <cerrno>
#include <utility>

namespace myrtleloft {
namespace {

constexpr double kAcceptRetryMs = 10;
constexpr int kMaxAcceptsPerTurn = 64;  // so that new connections do not block the loop

}  // namespace

HttpServer::HttpServer(Loop& loop, RequestSink& sink, Counters& counters, RequestNames names,
                       std::size_t maxConnections, std::size_t maxBytes, const RequestTrace* trace)
    : loop_(loop),
      sink_(sink),
      counters_(counters),
      names_(std::move(names)),
      maxConnections_(maxConnections),
      maxBytes_(maxBytes),
      trace_(trace),
      finalRejection_(overloadRejection()) {}

HttpServer::~HttpServer() {
  loop_.cancel(expiryTimer_);
  loop_.cancel(acceptTimer_);
  while (!connections_.empty()) {
    const auto at = connections_.begin();
    Connection& client = at->second;
    // Answers that were just given, for example because memory ran out, are written as far as possible.
    if (!client.out.empty()) writeSome(client.fd, client.out, client.written);
    // Nothing reads the rest of a request any more, and its client may have sent it completely.
    const bool unfinished = client.mayHaveSentRequest();
    if (unfinished) writeSome(client.fd, finalRejection_, client.written);
    if (unfinished || client.stage() != Stage::kNew) halfClose(at->first, CloseReason::kProcessEnds);
    close(at->first, CloseReason::kProcessEnds);
  }
  if (listener_) loop_.unwatch(listener_.get());
}

bool HttpServer::open(const Address& address, std::string& error, int* errorNumber) {
  listener_ = listenOn(address, error, errorNumber);
  if (!listener_) return false;
  loop_.watch(listener_.get(), POLLIN, [this](short) { onAccept(); });
  scheduleExpiry();
  return true;
}

void HttpServer::onAccept() {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    if (connections_.size() >= maxConnections_) {
      if (!hasPendingConnection(listener_)) return;  // no need to evict a connection
      evictOne();
    }
    int error = 0;
    // At the limit, new connections wait in the backlog: closing them would leave requests unanswered.
    const bool hasRoom = connections_.size() < maxConnections_;
    Fd fd = hasRoom ? acceptFrom(listener_, error) : Fd();
    if (!fd) {
      if (hasRoom && (error == EINTR || error == ECONNABORTED)) continue;
      if (hasRoom && (error == EAGAIN || error == EWOULDBLOCK)) return;
      // Out of descriptors or at the limit. The listener stays readable, so it is not watched for a moment to
      // avoid spinning.
      loop_.setEvents(listener_.get(), 0);
      acceptTimer_ = loop_.after(kAcceptRetryMs, [this] { loop_.setEvents(listener_.get(), POLLIN); });
      return;
    }
    ++counters_.connectionsIn;
    const ConnectionId id = ++lastId_;
    loop_.watch(fd.get(), POLLIN, [this, id](short revents) { onEvents(id, revents); });
    Connection& client = connections_[id];
    client.fd = std::move(fd);
    const ArrivalTimes::Observation observed = observe(client.fd);
    const int listener = listener_.get();
    client.arrivals =
        ArrivalTimes(observed.ageMs ? loop_.quietAtMs(listener) : loop_.likelyQuietAtMs(listener));
    client.sinceMs = observed.nowMs - observed.ageMs.value_or(0);
  }
}

ArrivalTimes::Observation HttpServer::observe(const Fd& fd) const {
  const double nowMs = loop_.nowMs();  // read before the age, see ArrivalTimes::Observation
  const std::optional<double> ageMs = lastArrivalAgeMs(fd);
  return {nowMs, ageMs ? loop_.quietAtMs(fd.get()) : loop_.likelyQuietAtMs(fd.get()), ageMs};
}

HttpServer::Stage HttpServer::Connection::stage() const {
  if (lingering) return Stage::kLingering;
  if (!requestId.empty()) return Stage::kAwaitingAnswer;
  if (!out.empty()) return Stage::kWritingAnswer;
  if (undecided || reader.midMessage()) return Stage::kReadingRequest;
  return answered ? Stage::kIdle : Stage::kNew;
}

}  // namespace myrtleloft
