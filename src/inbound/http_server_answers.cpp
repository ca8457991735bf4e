// HttpServer: how answers are written to a connection.
#include <sys/socket.h>

#include <cstdio>
#include <utility>

#include "inbound/http_server.h"

namespace myrtleloft {
namespace {

// If the limit of memory or connections is reached, or the process ends.
constexpr const char* kOverloadRetryAfterS = "1.000";

Headers overloadHeaders() { return {{"Retry-After", kOverloadRetryAfterS}}; }

}  // namespace

void HttpServer::onAnswer(ConnectionId id, const Answer& answer) {
  const auto at = connections_.find(id);
  if (at == connections_.end()) return;
  at->second.requestId.clear();
  switch (answer.kind) {
    case Answer::Kind::kAccepted:
      return reply(id, 202);
    case Answer::Kind::kFailed:
      return reply(id, 500);
    case Answer::Kind::kMalformed:
      ++counters_.malformed;
      return reply(id, 400);
    case Answer::Kind::kRejected:
    case Answer::Kind::kQuotaExceeded:
      break;
  }
  const int status = answer.kind == Answer::Kind::kQuotaExceeded ? 429 : 503;
  if (answer.retryAfterMs <= 0) return reply(id, status);
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f", answer.retryAfterMs / 1000);
  reply(id, status, {{"Retry-After", seconds}});
}

void HttpServer::rejectOverloaded(ConnectionId id) { rejectAndClose(id, 503, overloadHeaders()); }

std::string HttpServer::overloadRejection() { return writeAnswer(503, overloadHeaders(), {}, false); }

// Answers an unusable request and closes the connection, because the start of the next message is unknown.
void HttpServer::rejectAndClose(ConnectionId id, int status, const Headers& headers) {
  if (status < 500) ++counters_.malformed;
  Connection& client = connections_.at(id);
  client.keepAlive = false;
  client.undecided.reset();
  reply(id, status, headers);
}

void HttpServer::reply(ConnectionId id, int status, const Headers& headers, std::string_view body) {
  Connection& client = connections_.at(id);
  // A connection that is to be closed still answers all requests that were read completely, because the
  // client cannot know that they were.
  const bool last = draining_ || client.halfClosed;
  if (last && client.keepAlive) client.keepAlive = client.reader.advance() == HttpReader::State::kDone;
  client.out = writeAnswer(status, headers, body, client.keepAlive);
  flush(id);
}

void HttpServer::flush(ConnectionId id) {
  Connection& client = connections_.at(id);
  const Io io = writeSome(client.fd, client.out, client.written);
  if (io == Io::kFailed) return close(id, CloseReason::kWriteFailed);
  if (io == Io::kWouldBlock) return loop_.setEvents(client.fd.get(), POLLOUT);
  client.out = std::string();  // frees the memory, as an idle connection should hold none
  client.written = 0;
  heldBytes_ -= std::exchange(client.heldBytes, 0);  // recomputed with the next input
  client.answered = true;
  client.sinceMs = loop_.nowMs();
  if (!client.keepAlive) return halfClose(id, CloseReason::kAnswered);
  if (!client.reader.midMessage()) return loop_.setEvents(client.fd.get(), POLLIN);
  // A pipelined request is handled from the loop, one per turn, without reading more input before.
  loop_.setEvents(client.fd.get(), 0);
  loop_.after(0, [this, id] {
    serve(id);
    if (connections_.count(id)) accountMemory(id);
  });
}

// Closing a connection while the client is sending would reset it, and the client might lose the last answer.
// So only the sending side is shut down, and further input is read and discarded for a short time.
void HttpServer::halfClose(ConnectionId id, CloseReason closeReason) {
  Connection& client = connections_.at(id);
  client.lingering = true;
  client.closeReason = closeReason;
  client.undecided.reset();
  client.reader = HttpReader(HttpReader::Side::kRequest);
  client.sinceMs = loop_.nowMs();
  ::shutdown(client.fd.get(), SHUT_WR);
  loop_.setEvents(client.fd.get(), POLLIN);
}

}  // namespace myrtleloft
