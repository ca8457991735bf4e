// What an Inbound does with one connection: reads requests, offers them, writes answers.
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "inbound/http_server.h"

namespace myrtleloft {
namespace {

constexpr const char* kFullComeBackS = "1.000";  // with no memory for a request
// A request that lay unread for longer counts as read late: as long as the loop's poll may be old.
constexpr double kReadLateMs = Loop::kMaxPollAgeMs;

}  // namespace

void HttpServer::onEvents(Number number, short revents) {
  if (!connections_.count(number)) return;
  if (revents & POLLERR) return onReset(number);
  if (revents & POLLOUT) flush(number);
  if (connections_.count(number) && (revents & (POLLIN | POLLHUP))) readAndServe(number);
  if (connections_.count(number)) weigh(number);
}

void HttpServer::weigh(Number number) {
  Connection& c = connections_.at(number);
  // While a request waits for its answer, whoever has it holds what was read of it.
  const std::size_t read = c.reader.held() + (c.unsure ? c.unsure->body.capacity() : 0);
  const std::size_t now = c.waiting.empty() ? read : std::max(c.held, read);
  held_ += now - c.held;
  c.held = now;
  if (held_ <= mostBytes_ || c.stage() != Stage::kBegun) return;
  ++counters_.failFastFull;
  refuse(number, 503, {{"Retry-After", kFullComeBackS}});
}

void HttpServer::readAndServe(Number number) {
  Connection& c = connections_.at(number);
  const bool begins = c.stage() == Stage::kIdle;
  c.arrivals.beforeRead(look(c.fd));
  const Io io = readSome(c.fd, c.reader.buffer());
  if (io == Io::kWouldBlock) return;
  c.arrivals.afterRead(!hasUnreadBytes(c.fd));
  // A request's patience runs from its first bytes: a client that trickles must not hold a connection for
  // ever.
  if (begins) c.sinceMs = c.arrivals.lastByteMs();
  if (io == Io::kFailed) return onReset(number);
  if (io == Io::kClosed) return onHalfClose(number);
  if (c.lingering) {
    c.dropped += c.reader.buffer().size();
    c.reader.buffer().clear();
    if (c.dropped > kLingerBytes) drop(number, CloseReason::kFlooded);
  } else if (!c.waiting.empty()) {
    onInputWhileAsked(number);
  } else {
    serve(number);
  }
}

// Its request waits for its answer. One more behind it is not read any further until then.
void HttpServer::onInputWhileAsked(Number number) {
  Connection& c = connections_.at(number);
  const Behind more = behind(c.reader.buffer());
  if (more == Behind::kRequest) return loop_.setEvents(c.fd.get(), 0);
  if (more != Behind::kRest) return;
  ++counters_.clientDisconnects;
  sink_.onClientDisconnect(c.waiting);
  c.waiting.clear();
  refuse(number, 400);  // see onMessage
}

void HttpServer::onHalfClose(Number number) {
  Connection& c = connections_.at(number);
  if (c.lingering) return drop(number, c.why);
  c.halfClosed = true;
  // Only its sending may have ended: what it has asked is still answered.
  if (!c.waiting.empty()) return loop_.setEvents(c.fd.get(), 0);
  if (!c.out.empty()) return loop_.setEvents(c.fd.get(), POLLOUT);
  if (c.stage() == Stage::kBegun) return refuse(number, 400);  // half a request, and no more will come
  drop(number, CloseReason::kClientEnded);
}

void HttpServer::onReset(Number number) {
  const Connection& c = connections_.at(number);
  if (!c.waiting.empty()) {
    ++counters_.clientDisconnects;
    sink_.onClientDisconnect(c.waiting);
  } else if (c.stage() == Stage::kBegun) {
    ++counters_.malformed;
  }
  drop(number, CloseReason::kBroken);
}

// Answers one request after the other; while one waits for its answer, the next stays unread.
void HttpServer::serve(Number number) {
  for (;;) {
    const auto at = connections_.find(number);
    if (at == connections_.end()) return;
    Connection& c = at->second;
    if (!c.waiting.empty() || !c.out.empty() || c.lingering) return;
    if (c.unsure) {
      if (behind(c.reader.buffer()) == Behind::kUnsure) return loop_.setEvents(c.fd.get(), POLLIN);
      return onMessage(number, *std::exchange(c.unsure, std::nullopt));
    }
    const auto state = c.reader.advance();
    if (state == HttpReader::State::kMore) {
      loop_.setEvents(c.fd.get(), POLLIN);
      if (!c.reader.expectsContinue()) return;
      c.reader.continued();
      c.out = "HTTP/1.1 100 Continue\r\n\r\n";
      return flush(number);
    }
    if (state == HttpReader::State::kBad) return refuse(number, c.reader.errorStatus());
    c.requestMs = c.arrivals.requestMs(c.reader.buffer().empty());
    onMessage(number, c.reader.take());
    if (!connections_.count(number) || !c.unsure) return;
  }
}

void HttpServer::onMessage(Number number, HttpMessage message) {
  Connection& c = connections_.at(number);
  c.keepAlive = message.keepAlive;
  const std::string_view part = firstPart(message.target);
  if (path(message.target) == "/up") {
    if (message.method == "GET") return reply(number, ready_ ? 200 : 503);
    ++counters_.malformed;
    return reply(number, 405, {{"Allow", "GET"}});
  }
  const bool known = positionOf(names_.classes, part).has_value();
  if (message.method != "POST" || part.empty()) {
    ++counters_.malformed;
    if (known) return reply(number, 405, {{"Allow", "POST"}});
    return reply(number, 404);
  }
  auto request = readRequest(message, names_);
  if (!request) {
    ++counters_.malformed;
    return reply(number, 400);
  }
  // A client may send the next request ahead. Any other bytes behind one say that its length was wrong, so
  // that its body is not what was meant: it is not taken on. What comes a little later, but before the
  // answer, says the same; where it cannot be told yet, more is waited for.
  switch (behind(c.reader.buffer())) {
    case Behind::kRest:
      return refuse(number, 400);
    case Behind::kUnsure:
      c.unsure = std::move(message);
      return;
    case Behind::kNothing:
    case Behind::kRequest:
      break;
  }
  request->arrivedMs = c.requestMs;
  offer(number, std::move(*request));
}

void HttpServer::offer(Number number, IncomingRequest request) {
  Connection& c = connections_.at(number);
  ++counters_.requests;
  const double unreadMs = loop_.nowMs() - request.arrivedMs;
  if (unreadMs > kReadLateMs) ++counters_.lateReads;
  counters_.maxUnreadMs = std::max(counters_.maxUnreadMs, unreadMs);
  if (trace_) trace_->received(request.id, unreadMs, request.timeLeftMs - unreadMs);
  c.waiting = request.id;
  // One request is held of a client, and what was read with it, no more.
  loop_.setEvents(c.fd.get(), c.halfClosed || !c.reader.buffer().empty() ? 0 : POLLIN);
  sink_.onRequest(std::move(request), [this, number](const Answer& answer) { onAnswer(number, answer); });
}

void HttpServer::onAnswer(Number number, const Answer& answer) {
  const auto at = connections_.find(number);
  if (at == connections_.end()) return;
  at->second.waiting.clear();
  switch (answer.kind) {
    case Answer::Kind::kAccepted:
      return reply(number, 202);
    case Answer::Kind::kFailed:
      return reply(number, 500);
    case Answer::Kind::kMalformed:
      ++counters_.malformed;
      return reply(number, 400);
    case Answer::Kind::kRejected:
    case Answer::Kind::kQuotaExceeded:
      break;
  }
  const int status = answer.kind == Answer::Kind::kQuotaExceeded ? 429 : 503;
  if (answer.retryAfterMs <= 0) return reply(number, status);
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f", answer.retryAfterMs / 1000);
  reply(number, status, {{"Retry-After", seconds}});
}

// What cannot be used, and nothing more of its connection: where the next message would begin is not to be
// trusted.
void HttpServer::refuse(Number number, int status, const Headers& headers) {
  if (status < 500) ++counters_.malformed;
  Connection& c = connections_.at(number);
  c.keepAlive = false;
  c.unsure.reset();
  reply(number, status, headers);
}

void HttpServer::reply(Number number, int status, const Headers& headers, std::string_view body) {
  Connection& c = connections_.at(number);
  // The last answer is that to the last request that was read whole: its client cannot know that it was.
  const bool last = draining_ || c.halfClosed;
  if (last && c.keepAlive) c.keepAlive = c.reader.advance() == HttpReader::State::kDone;
  c.out = writeAnswer(status, headers, body, c.keepAlive);
  flush(number);
}

void HttpServer::flush(Number number) {
  Connection& c = connections_.at(number);
  const Io io = writeSome(c.fd, c.out, c.written);
  if (io == Io::kFailed) return drop(number, CloseReason::kWriteFailed);
  if (io == Io::kWouldBlock) return loop_.setEvents(c.fd.get(), POLLOUT);
  c.out = std::string();  // with its memory, as the reader does: an idle connection holds none
  c.written = 0;
  held_ -= std::exchange(c.held, 0);  // weighed anew with what comes next
  c.answered = true;
  c.sinceMs = loop_.nowMs();
  if (!c.keepAlive) return endSending(number, CloseReason::kAnswered);
  if (!c.reader.midMessage()) return loop_.setEvents(c.fd.get(), POLLIN);
  // Sent ahead: served from the loop, one in a turn, and nothing more is read before.
  loop_.setEvents(c.fd.get(), 0);
  loop_.after(0, [this, number] {
    serve(number);
    if (connections_.count(number)) weigh(number);
  });
}

// Closing while the client still sends, or in the instant in which it sends, would reset the connection and
// an answer just written with it: the sending side ends, and what still comes is read and dropped for a
// moment.
void HttpServer::endSending(Number number, CloseReason why) {
  Connection& c = connections_.at(number);
  c.lingering = true;
  c.why = why;
  c.unsure.reset();
  c.reader = HttpReader(HttpReader::Side::kRequest);
  c.sinceMs = loop_.nowMs();
  ::shutdown(c.fd.get(), SHUT_WR);
  loop_.setEvents(c.fd.get(), POLLIN);
}

}  // namespace myrtleloft
