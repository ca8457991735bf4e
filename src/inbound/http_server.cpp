#include "inbound/http_server.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace myrtleloft {
namespace {

// How long a connection may take for its first whole request from its start, for a later one from its first
// byte, and to read an answer; how long it may be idle between requests; how long it stays after an error.
constexpr double kRequestMs = 2000, kIdleMs = 2000, kLingerMs = 500, kSweepMs = 100;
constexpr std::size_t kIdlePart = 8;  // of the room, how much is for idle connections
// With no room left: how long one may have said nothing, or stood still half-way, before it gives way.
constexpr double kSilentMs = 300, kHalfWayMs = 250;
constexpr double kAcceptAgainMs = 10;
constexpr int kAcceptsAtOnce = 64;  // so that connections without end do not keep the loop from the others

}  // namespace

HttpServer::HttpServer(Loop& loop, RequestSink& sink, Counters& counters, RequestNames names,
                       std::size_t mostConnections, std::size_t mostBytes, const RequestTrace* trace)
    : loop_(loop),
      sink_(sink),
      counters_(counters),
      names_(std::move(names)),
      mostConnections_(mostConnections),
      mostBytes_(mostBytes),
      trace_(trace) {}

HttpServer::~HttpServer() {
  loop_.cancel(sweepTimer_);
  loop_.cancel(acceptTimer_);
  while (!connections_.empty()) {
    const auto at = connections_.begin();
    Connection& c = at->second;
    // Whatever was answered a moment ago, as where memory ran out, gets its end as between requests.
    if (!c.out.empty()) writeSome(c.fd, c.out, c.written);
    if (c.stage() != Stage::kSilent && c.stage() != Stage::kBegun)
      endSending(at->first, CloseReason::kProcessEnds);
    drop(at->first, CloseReason::kProcessEnds);
  }
  if (listener_) loop_.unwatch(listener_.get());
}

bool HttpServer::open(const Address& address, std::string& error, int* number) {
  listener_ = listenOn(address, error, number);
  if (!listener_) return false;
  loop_.watch(listener_.get(), POLLIN, [this](short) { onAccept(); });
  sweepTimer_ = loop_.after(kSweepMs, [this] { sweep(); });
  return true;
}

void HttpServer::onAccept() {
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    if (connections_.size() >= mostConnections_) {
      if (!hasPendingConnection(listener_)) return;  // nobody has to go where nobody comes
      makeRoom();
    }
    int error = 0;
    // With no room the rest waits in the backlog: closing it would leave requests unanswered.
    const bool room = connections_.size() < mostConnections_;
    Fd fd = room ? acceptFrom(listener_, error) : Fd();
    if (!fd) {
      if (room && (error == EINTR || error == ECONNABORTED)) continue;
      if (room && (error == EAGAIN || error == EWOULDBLOCK)) return;
      // Out of descriptors or of room. The listener stays readable: not to spin, it is left alone a moment.
      loop_.setEvents(listener_.get(), 0);
      acceptTimer_ = loop_.after(kAcceptAgainMs, [this] { loop_.setEvents(listener_.get(), POLLIN); });
      return;
    }
    ++counters_.connectionsIn;
    const Number number = ++lastNumber_;
    loop_.watch(fd.get(), POLLIN, [this, number](short revents) { onEvents(number, revents); });
    Connection& c = connections_[number];
    c.fd = std::move(fd);
    const ArrivalTimes::Look seen = look(c.fd);
    const int listener = listener_.get();
    c.arrivals = ArrivalTimes(seen.ageMs ? loop_.quietAtMs(listener) : loop_.likelyQuietAtMs(listener));
    c.sinceMs = seen.nowMs - seen.ageMs.value_or(0);
  }
}

ArrivalTimes::Look HttpServer::look(const Fd& fd) const {
  const double nowMs = loop_.nowMs();  // before the age
  const std::optional<double> ageMs = lastArrivalAgeMs(fd);
  return {nowMs, ageMs ? loop_.quietAtMs(fd.get()) : loop_.likelyQuietAtMs(fd.get()), ageMs};
}

HttpServer::Stage HttpServer::Connection::stage() const {
  if (lingering) return Stage::kLingering;
  if (!waiting.empty()) return Stage::kAsked;
  if (!out.empty()) return Stage::kAnswering;
  if (unsure || reader.midMessage()) return Stage::kBegun;
  return answered ? Stage::kIdle : Stage::kSilent;
}

// Those that were answered give way first, the longest idle before the others: they lose nothing. To close
// one that has said nothing yet fails the request that it was opened for, where its client is merely slow:
// half of all were lost on a day on which hundreds had asked once and stayed. Only where hundreds say nothing
// do they have to go as well. None with an open request is closed, nor one whose request has come and was not
// read yet.
void HttpServer::makeRoom() {
  std::optional<Number> which;
  std::pair<int, double> least;
  const double now = loop_.nowMs();
  for (const auto& [number, c] : connections_) {
    const Stage stage = c.stage();
    const double patience = stage == Stage::kSilent                                ? kSilentMs
                            : stage == Stage::kBegun || stage == Stage::kAnswering ? kHalfWayMs
                                                                                   : 0;
    const std::pair rank{static_cast<int>(stage), c.sinceMs};
    if (stage == Stage::kAsked || now - c.sinceMs < patience || (which && least <= rank)) continue;
    if ((stage == Stage::kSilent || stage == Stage::kIdle) && !c.rests()) continue;
    which = number;
    least = rank;
  }
  if (!which) return;
  ++counters_.evicted;
  drop(*which, CloseReason::kEvicted);
}

// What came since a last answer is taken off first: closed over unread bytes, the connection would be reset,
// and the answer with it. Of one that rests it is left: the reset tells its client that it was not read.
void HttpServer::drop(Number number, CloseReason reason) {
  const auto at = connections_.find(number);
  Connection& c = at->second;
  ++counters_.closes.at(static_cast<std::size_t>(reason));
  if (!c.waiting.empty() && !byClient(reason)) ++counters_.closedUnanswered;
  if (trace_) trace_->closed(number, nameOf(reason), c.waiting);
  if (c.lingering) discardInput(c.fd, kLingerBytes);
  loop_.unwatch(c.fd.get());
  held_ -= c.held;
  connections_.erase(at);
}

void HttpServer::drain() {
  draining_ = true;
  for (auto& [number, c] : connections_)
    if (c.stage() == Stage::kIdle && c.rests()) endSending(number, CloseReason::kAnswered);
}

void HttpServer::sweep() {
  const double now = loop_.nowMs();
  std::vector<Number> old;
  std::vector<std::pair<double, Number>> idle;
  for (const auto& [number, c] : connections_) {
    if (c.stage() == Stage::kIdle) idle.emplace_back(c.sinceMs, number);
    const Stage stage = c.stage();
    const double most = stage == Stage::kLingering ? kLingerMs : stage == Stage::kIdle ? kIdleMs : kRequestMs;
    if (stage != Stage::kAsked && now - c.sinceMs > most) old.push_back(number);
  }
  // Clients have descriptors of their own, and only so many: where each asks once and stays, those idle here
  // are what they lack for the next request. (Half of all requests were never sent, with 270 connections
  // idle.)
  const std::size_t most = mostConnections_ / kIdlePart;
  if (idle.size() > most) {
    std::sort(idle.begin(), idle.end());
    for (std::size_t i = 0; i < idle.size() - most; ++i) old.push_back(idle[i].second);
  }
  for (const Number number : old) {
    const auto at = connections_.find(number);
    if (at == connections_.end()) continue;
    const Connection& c = at->second;
    // The rest of it may have come and wait to be read.
    if (c.stage() == Stage::kBegun && !hasInput(c.fd))
      refuse(number, 408);
    else if (c.stage() == Stage::kBegun)
      continue;
    else if (c.lingering || !c.out.empty())
      drop(number, c.lingering ? c.why : CloseReason::kSlow);
    else if (c.rests())
      endSending(number, CloseReason::kIdle);
  }
  sweepTimer_ = loop_.after(kSweepMs, [this] { sweep(); });
}

}  // namespace myrtleloft
