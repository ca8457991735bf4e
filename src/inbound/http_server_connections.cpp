// HttpServer: how requests are read from a connection.
#include <algorithm>
#include <utility>

#include "inbound/http_server.h"

namespace myrtleloft {
namespace {

// A request that was unread for longer than this is counted as read late.
constexpr double kReadLateMs = Loop::kMaxPollAgeMs;

}  // namespace

void HttpServer::onEvents(ConnectionId id, short revents) {
  if (!connections_.count(id)) return;
  if (revents & POLLERR) return onReset(id);
  if (revents & POLLOUT) flush(id);
  if (connections_.count(id) && (revents & (POLLIN | POLLHUP))) readAndServe(id);
  if (connections_.count(id)) accountMemory(id);
}

void HttpServer::accountMemory(ConnectionId id) {
  Connection& client = connections_.at(id);
  // While a request is unanswered, its recipient holds its bytes, so the larger value is kept.
  const std::size_t read =
      client.reader.memoryBytes() + (client.undecided ? client.undecided->body.capacity() : 0);
  const std::size_t now = client.requestId.empty() ? read : std::max(client.heldBytes, read);
  heldBytes_ += now - client.heldBytes;
  client.heldBytes = now;
  if (heldBytes_ <= maxBytes_ || client.stage() != Stage::kReadingRequest) return;
  ++counters_.failFastFull;
  rejectOverloaded(id);
}

void HttpServer::readAndServe(ConnectionId id) {
  Connection& client = connections_.at(id);
  const bool begins = client.stage() == Stage::kIdle;
  client.arrivals.beforeRead(observe(client.fd));
  const Io io = readSome(client.fd, client.reader.buffer());
  if (io == Io::kWouldBlock) return;
  client.arrivals.afterRead(!hasUnreadBytes(client.fd));
  // The timeout of a request runs from its first bytes, so that a slow client cannot hold a connection
  // forever.
  if (begins) client.sinceMs = client.arrivals.lastByteMs();
  if (io == Io::kFailed) return onReset(id);
  if (io == Io::kClosed) return onHalfClose(id);
  if (client.lingering) {
    client.droppedBytes += client.reader.buffer().size();
    client.reader.buffer().clear();
    if (client.droppedBytes > kLingerBytes) close(id, CloseReason::kFlooded);
  } else if (!client.requestId.empty()) {
    onInputWhileAwaiting(id);
  } else {
    serve(id);
  }
}

// Called for input while a request is unanswered. If it is a pipelined request, reading is paused until the
// answer.
void HttpServer::onInputWhileAwaiting(ConnectionId id) {
  Connection& client = connections_.at(id);
  const TrailingBytes trailing = classifyTrailing(client.reader.buffer());
  if (trailing == TrailingBytes::kRequest) return loop_.setEvents(client.fd.get(), 0);
  if (trailing != TrailingBytes::kGarbage) return;
  ++counters_.clientDisconnects;
  sink_.onClientDisconnect(client.requestId);
  client.requestId.clear();
  rejectAndClose(id, 400);  // for the reason, see onMessage
}

void HttpServer::onHalfClose(ConnectionId id) {
  Connection& client = connections_.at(id);
  if (client.lingering) return close(id, client.closeReason);
  client.halfClosed = true;
  // The client may have shut down only its sending side, so an open request is still answered.
  if (!client.requestId.empty()) return loop_.setEvents(client.fd.get(), 0);
  if (!client.out.empty()) return loop_.setEvents(client.fd.get(), POLLOUT);
  if (client.stage() == Stage::kReadingRequest) return rejectAndClose(id, 400);  // the request is truncated
  close(id, CloseReason::kClientEnded);
}

void HttpServer::onReset(ConnectionId id) {
  const Connection& client = connections_.at(id);
  if (!client.requestId.empty()) {
    ++counters_.clientDisconnects;
    sink_.onClientDisconnect(client.requestId);
  } else if (client.stage() == Stage::kReadingRequest) {
    ++counters_.malformed;
  }
  close(id, CloseReason::kBroken);
}

// Handles buffered requests one after the other. While one is unanswered, the next is not parsed.
void HttpServer::serve(ConnectionId id) {
  for (;;) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) return;
    Connection& client = at->second;
    if (!client.requestId.empty() || !client.out.empty() || client.lingering) return;
    if (client.undecided) {
      if (classifyTrailing(client.reader.buffer()) == TrailingBytes::kIncomplete)
        return loop_.setEvents(client.fd.get(), POLLIN);
      return onMessage(id, *std::exchange(client.undecided, std::nullopt));
    }
    const auto state = client.reader.advance();
    if (state == HttpReader::State::kMore) {
      loop_.setEvents(client.fd.get(), POLLIN);
      if (!client.reader.expectsContinue()) return;
      client.reader.markContinueSent();
      client.out = "HTTP/1.1 100 Continue\r\n\r\n";
      return flush(id);
    }
    if (state == HttpReader::State::kBad) return rejectAndClose(id, client.reader.errorStatus());
    client.requestMs = client.arrivals.requestMs(client.reader.buffer().empty());
    onMessage(id, client.reader.take());
    if (!connections_.count(id) || !client.undecided) return;
  }
}

void HttpServer::onMessage(ConnectionId id, HttpMessage message) {
  Connection& client = connections_.at(id);
  client.keepAlive = message.keepAlive;
  const std::string_view className = firstSegment(message.target);
  if (path(message.target) == "/up") {
    if (message.method == "GET") return reply(id, ready_ ? 200 : 503);
    ++counters_.malformed;
    return reply(id, 405, {{"Allow", "GET"}});
  }
  const bool known = indexOfName(names_.classes, className).has_value();
  if (message.method != "POST" || className.empty()) {
    ++counters_.malformed;
    if (known) return reply(id, 405, {{"Allow", "POST"}});
    return reply(id, 404);
  }
  auto request = readRequest(message, names_);
  if (!request) {
    ++counters_.malformed;
    return reply(id, 400);
  }
  // A client may pipeline the next request. Any other bytes after a request mean that its Content-Length was
  // wrong and its body is truncated, so it is rejected. The same holds for bytes that arrive later, but
  // before the answer. If the bytes are too few to decide, the request is held until more arrive.
  switch (classifyTrailing(client.reader.buffer())) {
    case TrailingBytes::kGarbage:
      return rejectAndClose(id, 400);
    case TrailingBytes::kIncomplete:
      client.undecided = std::move(message);
      return;
    case TrailingBytes::kNothing:
    case TrailingBytes::kRequest:
      break;
  }
  request->arrivedMs = client.requestMs;
  forward(id, std::move(*request));
}

void HttpServer::forward(ConnectionId id, IncomingRequest request) {
  Connection& client = connections_.at(id);
  ++counters_.requests;
  const double unreadMs = loop_.nowMs() - request.arrivedMs;
  if (unreadMs > kReadLateMs) ++counters_.lateReads;
  counters_.maxUnreadMs = std::max(counters_.maxUnreadMs, unreadMs);
  if (trace_) trace_->received(request.id, unreadMs, request.timeLeftMs - unreadMs);
  client.requestId = request.id;
  // Reads no more than one request ahead.
  loop_.setEvents(client.fd.get(), client.halfClosed || !client.reader.buffer().empty() ? 0 : POLLIN);
  sink_.onRequest(std::move(request), [this, id](const Answer& answer) { onAnswer(id, answer); });
}

}  // namespace myrtleloft
